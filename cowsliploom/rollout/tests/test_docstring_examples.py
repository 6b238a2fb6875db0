"""Docstring examples of claims and version moves."""

import doctest
import pathlib
from importlib import util

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLES = [
    'examples/embed_claims.py',
    'examples/embed_judge.py',
    'cowsliploom/coordination/_claims.py',
    'cowsliploom/coordination/_claims_registry.py',
    'cowsliploom/rollout/_controller.py',
    'cowsliploom/rollout/_judge.py',
    'cowsliploom/rollout/_moves.py',
    'cowsliploom/rollout/_rollout.py',
    'cowsliploom/rollout/_schedule.py',
    'cowsliploom/rollout/_sequential.py',
]


@pytest.mark.parametrize('path', EXAMPLES)
def test_docstring_examples_pass(path):
    spec = util.spec_from_file_location('example', ROOT / path)
    module = util.module_from_spec(spec)
    spec.loader.exec_module(module)
    outcome = doctest.testmod(module)
    assert outcome.attempted
    assert not outcome.failed
