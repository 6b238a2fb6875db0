"""Each event that the gateway logs is on the operators' page, with its part."""

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
    """Return the rows of the table of lines, as cells."""
    return [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in PAGE.read_text().splitlines()
        if line.startswith('|') and line.count('|') == 5
    ]


def documented():
    """Return the parts and events in the table of lines."""
    return {(row[0], event.strip()) for row in rows() for event in row[1].split(',')}


def documented_fields():
    """Return the fields that the table gives to each part."""
    fields = {}
    for part, _, _, names in rows():
        known = fields.setdefault(part, set())
        known.update(name.strip() for name in names.split(','))
    return fields


def constants(node):
    """Return the literals in an expression."""
    return [part.value for part in ast.walk(node) if isinstance(part, ast.Constant)]


def is_log_call(node):
    """Tell whether a node writes a line whose part is a literal."""
    is_write = getattr(getattr(node, 'func', None), 'attr', '') == 'write'
    return is_write and len(node.args) > 1 and isinstance(node.args[0], ast.Constant)


def log_calls():
    """Return all log calls of the gateway."""
    trees = [ast.parse(path.read_text()) for path in SOURCES]
    return [node for tree in trees for node in ast.walk(tree) if is_log_call(node)]


def logged():
    """Return the parts and literal events of all log calls."""
    return {
        (call.args[0].value, event)
        for call in log_calls()
        for event in constants(call.args[1])
    }


def logged_fields():
    """Return the parts and the names of fields of all log calls."""
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
