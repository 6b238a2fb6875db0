"""Run the benchmarks and write their results to docs/results/.

Run as ``python -m benchmarks.run_all [NAME ...]``. Each result file holds
the machine, commit, command and elapsed time besides the output of the benchmark,
so that versions can be compared.
"""

import datetime
import os
import pathlib
import platform
import subprocess
import sys
import time
from dataclasses import dataclass, field

import msgspec

ROOT = pathlib.Path(__file__).resolve().parent.parent
RESULTS = ROOT / 'docs' / 'results'
TIMEOUT_S = 900  # the longest, version_moves, takes a few minutes


@dataclass(frozen=True, slots=True)
class Benchmark:
    """Describe a benchmark module, its flags and what it measures."""

    name: str
    measures: str
    flags: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Machine:
    """Describe the machine of a measurement."""

    cores: int
    system: str
    python: str
    load_average: float


@dataclass(frozen=True, slots=True)
class BenchmarkResult:
    """Hold the output of one benchmark and the conditions of its run."""

    benchmark: str
    measures: str
    command: str
    commit: str
    measured_at: str
    elapsed_s: float
    exit_code: int
    machine: Machine
    figures: object = None
    printed: tuple[str, ...] = field(default=())


BENCHMARKS = (
    Benchmark('entry_cost', 'an entry daemon: idle, and for each sub-request'),
    Benchmark('routing_cost', 'processor time of routing for each sub-request'),
    Benchmark('routing_policies', 'router beside naive, simulated servers'),
    Benchmark('policies', 'router beside naive, real processes'),
    Benchmark('overload', 'goodput at 0.5 to 2 times capacity, real processes'),
    Benchmark('store_calls', 'calls on the store by fleet size'),
    Benchmark('membership_slopes', 'cost of membership by fleet size', ('--quick',)),
    Benchmark('ownership_cost', 'processor time of electing owners'),
    Benchmark('claims', 'store calls of claims'),
    Benchmark('configuration', 'cost of configuration by its size'),
    Benchmark('judge_cost', 'cost of evidence for version moves'),
    Benchmark('server_notices', 'requests after a server left or asked for a pause'),
    Benchmark('version_moves', 'seeded version moves, good and bad'),
)


def describe_machine() -> Machine:
    """Describe this machine without its host name."""
    return Machine(
        os.cpu_count() or 1,
        platform.system(),
        platform.python_version(),
        os.getloadavg()[0],
    )


def read_commit() -> str:
    """Return the checked-out commit, with a suffix if the tree is dirty."""
    described = subprocess.run(
        ['git', 'describe', '--always', '--dirty'],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or 'unknown'


def run_benchmark(benchmark: Benchmark) -> BenchmarkResult:
    """Run one benchmark in a separate process."""
    module = f'benchmarks.{benchmark.name}'
    command = [sys.executable, '-m', module, *benchmark.flags]
    machine = describe_machine()
    commit = read_commit()
    started_s = time.monotonic()
    completed = subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=TIMEOUT_S,
    )
    figures = _decode(completed.stdout)
    return BenchmarkResult(
        benchmark.name,
        benchmark.measures,
        ' '.join(('python -m', module, *benchmark.flags)),
        commit,
        datetime.datetime.now(datetime.UTC).isoformat(timespec='seconds'),
        round(time.monotonic() - started_s, 1),
        completed.returncode,
        machine,
        figures,
        () if figures else tuple(completed.stdout.splitlines()),
    )


def _decode(printed: str) -> object:
    """Return the decoded JSON, or None if the output is not only JSON."""
    try:
        return msgspec.json.decode(printed)
    except msgspec.MsgspecError:
        return None


def write_result(result: BenchmarkResult) -> None:
    """Write one result file."""
    text = msgspec.json.format(msgspec.json.encode(result))
    (RESULTS / f'{result.benchmark}.json').write_text(f'{text.decode()}\n')


def main() -> None:
    """Run the benchmarks named on the command line, by default all."""
    selected = sys.argv[1:]
    failed: list[str] = []
    for benchmark in BENCHMARKS:
        if selected and benchmark.name not in selected:
            continue
        result = run_benchmark(benchmark)
        write_result(result)
        status = 'done' if result.exit_code == 0 else 'failed'
        print(f'{benchmark.name}: {status} in {result.elapsed_s} s')
        if result.exit_code:
            failed.append(benchmark.name)
    if failed:
        sys.exit(f'failed: {", ".join(failed)}')


if __name__ == '__main__':
    main()
