"""Request traces are reconstructed from log files."""

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
    {
        'now_ms': 1600.0,
        'part': 'server',
        'event': 'leaving',
        'service': 's1',
        'server': 'i-7',
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
    """Return a log file that also has a traceback and a truncated line."""
    path = tmp_path / 'vm-1.log'
    text = '\n'.join(json.dumps(line) for line in LINES)
    path.write_text(f'Traceback (most recent call last):\n{text}\n{{"cut": ')
    return path


def run(*words):
    """Run the command."""
    return CliRunner().invoke(main, words)


def test_trace_has_current_state_and_relevant_server_events_in_order(log):
    ended = run('explain', 'r-1', str(log))
    rows = [line.split() for line in ended.stdout.splitlines()]
    assert [row[:3] for row in rows[2:7]] == [
        ['18800.0', 'server', 'leaving'],
        ['400.0', 'configuration', 'taken'],
        ['300.0', 'server', 'rests'],
        ['100.0', 'store', 'lost'],
        ['0.0', 'request', 'gathered'],
    ]
    assert 'version=7' in ended.stdout
    assert '12 lines were lost' in ended.stdout
    for unexpected in ('i-9', 'i-0', 'cut off', 'version=3'):
        assert unexpected not in ended.stdout


def test_json_output_has_request_and_lost_lines(log):
    ended = run('--output', 'json', 'explain', 'r-1', str(log))
    trace = json.loads(ended.stdout)
    assert trace['lines'][-1]['request_id'] == 'r-1'
    assert trace['lines_lost'] == 12


@pytest.mark.parametrize(
    ('request_id', 'name', 'code', 'expected'),
    [
        ('r-2', 'vm-1.log', 4, 'request r-2: not found in any of the files'),
        ('r-1', 'other.log', 1, 'other.log: cannot be read'),
    ],
)
def test_missing_request_or_file_is_reported(log, request_id, name, code, expected):
    ended = run('explain', request_id, str(log.parent / name))
    assert ended.exit_code == code
    assert expected in ended.stderr
