"""A request's story is told from log files alone."""

import json

import pytest
from click.testing import CliRunner

from cowsliploom.cli.ctl import main

LINES = (
    {'now_ms': 1000.0, 'part': 'configuration', 'event': 'taken', 'version': 3},
    {
        'now_ms': 1500.0,
        'part': 'server',
        'event': 'rests',
        'service': 's0',
        'server': 'i-0',
    },
    {'now_ms': 20_000.0, 'part': 'configuration', 'event': 'taken', 'version': 7},
    {
        'now_ms': 20_100.0,
        'part': 'server',
        'event': 'rests',
        'service': 's1',
        'server': 'i-1',
    },
    {
        'now_ms': 20_200.0,
        'part': 'server',
        'event': 'rests',
        'service': 's9',
        'server': 'i-9',
    },
    {'now_ms': 20_300.0, 'part': 'store', 'event': 'lost', 'reason': 'status 503'},
    {'now_ms': 20_350.0, 'part': 'log', 'event': 'lines lost', 'lines': 12},
    {
        'now_ms': 20_400.0,
        'part': 'request',
        'event': 'gathered',
        'request_id': 'r-1',
        'elapsed_ms': 95.0,
        'missing': ['s1 tried=i-1 open'],
        'reason': '',
    },
    {'now_ms': 20_500.0, 'part': 'isolation', 'event': 'cut off'},
)


@pytest.fixture
def log(tmp_path):
    """Return a log file with other output between its lines."""
    path = tmp_path / 'vm-1.log'
    text = '\n'.join(json.dumps(line) for line in LINES)
    path.write_text(f'Traceback (most recent call last):\n{text}\n{{"cut": ')
    return path


def run(*words):
    """Run the command."""
    return CliRunner().invoke(main, words)


def test_the_beliefs_in_force_and_the_servers_concerned_are_told_in_order(log):
    ended = run('explain', 'r-1', str(log))
    rows = [line.split() for line in ended.stdout.splitlines()]
    assert [row[:3] for row in rows[2:6]] == [
        ['400.0', 'configuration', 'taken'],
        ['300.0', 'server', 'rests'],
        ['100.0', 'store', 'lost'],
        ['0.0', 'request', 'gathered'],
    ]
    assert 'version=7' in ended.stdout
    assert '12 lines were lost' in ended.stdout
    for untold in ('i-9', 'i-0', 'cut off', 'version=3'):
        assert untold not in ended.stdout


def test_programs_get_the_story_as_json(log):
    ended = run('--output', 'json', 'explain', 'r-1', str(log))
    story = json.loads(ended.stdout)
    assert story['lines'][-1]['request_id'] == 'r-1'
    assert story['lines_lost'] == 12


@pytest.mark.parametrize(
    ('request_id', 'name', 'code', 'told'),
    [
        ('r-2', 'vm-1.log', 4, 'request r-2: expected in one of the files'),
        ('r-1', 'other.log', 1, 'other.log: can not be read'),
    ],
)
def test_what_is_missing_is_named(log, request_id, name, code, told):
    ended = run('explain', request_id, str(log.parent / name))
    assert ended.exit_code == code
    assert told in ended.stderr
