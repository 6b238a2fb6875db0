"""Run the examples of docstrings and of examples/."""

import doctest
import importlib
import runpy
from pathlib import Path

import pytest

EXAMPLE = Path(__file__).parents[3] / 'examples' / 'embed_membership.py'
MODULES = (
    'coordination._dissemination',
    'coordination._leases',
    'coordination._membership',
    'coordination._node',
    'coordination._ownership',
    'coordination._piggyback',
    'members._membership_table',
    'members._mirror',
    'members._rendezvous',
    'coordination._store_watch',
    'forwarding._budget',
    'forwarding._fleet',
    'forwarding._latency',
    'forwarding._records',
    'forwarding._routes',
    'daemons._peer_task',
)


@pytest.mark.parametrize('name', MODULES)
def test_docstring_examples_run(name):
    outcome = doctest.testmod(importlib.import_module(f'cowsliploom.{name}'))
    assert outcome.attempted
    assert not outcome.failed


def test_embedded_nodes_share_all_servers(capsys):
    runpy.run_path(str(EXAMPLE), run_name='__main__')
    printed = capsys.readouterr().out
    for number in range(9):
        assert printed.count(f"'server-{number}'") == 1
