PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format bench soak clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	PATH="$(CURDIR)/$(BIN):$$PATH" bash examples/demo/run

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 cowsliploom benchmarks examples tests
	$(BIN)/mypy

test: $(STAMP) lint
	$(BIN)/python -m tests.known_red -n 4 --dist loadfile -m "not crowds"
	$(BIN)/python -m tests.known_red -m crowds

format: $(STAMP)
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m benchmarks.run_all

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seeds 1-50 --jobs 2

clean:
	rm -rf $(VENV) build .demo .soak
