"""The operations page documents each log event of the gateway with its fields."""

import ast
from pathlib import Path

import pytest

from cowsliploom.forwarding import Outcome, ServerState

ROOT = Path(__file__).parents[3]
PAGE = ROOT / 'docs' / 'OPERATIONS.md'
SOURCES = sorted((ROOT / 'cowsliploom' / 'gateway').glob('_*.py'))
DYNAMIC = {
    'request': [outcome.value for outcome in Outcome],
    'server': [*(state.value for state in ServerState), 'new', 'gone', 'rests'],
}


def rows():
    """Return the rows of the page's table of log lines, as cells."""
    return [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in PAGE.read_text().splitlines()
        if line.startswith('|') and line.count('|') == 5
    ]


def documented():
    """Return the documented pairs of part and event."""
    return {(row[0], event.strip()) for row in rows() for event in row[1].split(',')}


def documented_fields():
    """Return the documented fields of each part."""
    fields = {}
    for part, _, _, names in rows():
        known = fields.setdefault(part, set())
        known.update(name.strip() for name in names.split(','))
    return fields


def constants(node):
    """Return the literals in an expression."""
    return [part.value for part in ast.walk(node) if isinstance(part, ast.Constant)]


def is_log_call(node):
    """Return whether a node is a ``write`` call with a literal part."""
    is_write = getattr(getattr(node, 'func', None), 'attr', '') == 'write'
    return is_write and len(node.args) > 1 and isinstance(node.args[0], ast.Constant)


def log_calls():
    """Return all log calls of the gateway."""
    trees = [ast.parse(path.read_text()) for path in SOURCES]
    return [node for tree in trees for node in ast.walk(tree) if is_log_call(node)]


def logged():
    """Return the pairs of part and literal event of all log calls."""
    return {
        (call.args[0].value, event)
        for call in log_calls()
        for event in constants(call.args[1])
    }


def logged_fields():
    """Return the pairs of part and field name of all log calls."""
    return {
        (call.args[0].value, keyword.arg)
        for call in log_calls()
        for keyword in call.keywords
    }


def test_log_calls_are_found():
    assert ('daemon', 'started') in logged()


@pytest.mark.parametrize('pair', sorted(logged()), ids='-'.join)
def test_each_logged_event_is_documented(pair):
    assert pair in documented()


@pytest.mark.parametrize('pair', sorted(logged_fields()), ids='-'.join)
def test_each_logged_field_is_documented(pair):
    part, name = pair
    assert name in documented_fields()[part]


@pytest.mark.parametrize('part', sorted(DYNAMIC))
def test_outcomes_and_states_are_documented(part):
    for event in DYNAMIC[part]:
        assert (part, event) in documented()
