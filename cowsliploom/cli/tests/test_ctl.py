"""Commands of cowsliploomctl, with their exit statuses and output."""

import json
import threading
import time

import pytest
from click.testing import CliRunner

from cowsliploom.adapters import (
    HttpResponse,
    HttpServer,
    Problem,
    SystemClock,
    problem_response,
)
from cowsliploom.cli.ctl import main
from cowsliploom.daemons.tests.operator_harness import FakeEntry, Operator
from cowsliploom.standins import MemoryStore, StoreFaults, StoreMode

UNREACHABLE = '127.0.0.1:1'
DOCUMENTS = """
kind: datacentre
name: de
spec: {state: in}
---
kind: service
name: van-rota
spec:
  servers:
  - {name: r1, address: '127.0.0.1:9000', data_centre: de, version: v1}
  - {name: r2, address: '127.0.0.1:9001', data_centre: de, version: v2}
  slots: 6
  connections_max: 110
  connect_cost_ms: 1
"""
MOVE = """
kind: versionmove
name: rota-2
spec:
  service: van-rota
  from_version: v1
  to_version: v2
  finish_by: 2030-01-31T18:00:00Z
"""


@pytest.fixture
def store():
    return MemoryStore(SystemClock())


@pytest.fixture
def operator(store):
    with Operator(store) as running:
        yield running


@pytest.fixture
def files(tmp_path):
    path = tmp_path / 'wales.yaml'
    path.write_text(DOCUMENTS)
    return path


def ctl(servers, *arguments, stdin=None):
    flags = [flag for server in servers for flag in ('--server', server)]
    return CliRunner(env={'COLUMNS': '88'}).invoke(
        main, [*flags, *map(str, arguments)], input=stdin
    )


def run(operator, *arguments, stdin=None):
    return ctl([operator.daemon.address], *arguments, stdin=stdin)


def test_file_is_applied_shown_and_deleted(operator, files):
    assert run(operator, 'apply', '-f', files).output == 'accepted at revision 1\n'
    table = run(operator, 'get').output
    assert table.splitlines()[1].split() == ['datacentre', 'de', '1']
    assert 'unknown: no entry VM' in run(operator, 'get', 'service/van-rota').output
    assert run(operator, 'delete', 'service/van-rota').exit_code == 0
    assert run(operator, 'get', 'service/van-rota').exit_code == 4


def test_json_output_is_valid(operator, files):
    accepted = run(operator, '--output', 'json', 'apply', '-f', files)
    assert json.loads(accepted.output)['revision'] == 1
    shown = json.loads(run(operator, '--output', 'json', 'get').output)
    assert [each['name'] for each in shown['resources']] == ['de', 'van-rota']
    assert json.loads(run(operator, '--output', 'json', 'status').output)


def test_dash_reads_documents_from_standard_input(operator):
    assert run(operator, 'apply', '-f', '-', stdin=DOCUMENTS).exit_code == 0


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (f'{DOCUMENTS}---\nkind: search\nname: x\nspec: {{}}\n', 'spec.services'),
        (DOCUMENTS.replace('slots: 6', 'slots: six'), "spec.slots: got 'six'"),
        (f'{DOCUMENTS}---{DOCUMENTS}', 'only once'),
        (MOVE, 'versionmove/rota-2: spec.service: got van-rota'),
        ('', 'no document'),
        ('[', 'YAML or JSON'),
    ],
)
def test_file_with_invalid_document_changes_nothing(operator, tmp_path, text, expected):
    path = tmp_path / 'wrong.yaml'
    path.write_text(text)
    refused = run(operator, 'apply', '-f', path)
    assert refused.exit_code == 3
    assert expected in refused.output
    assert operator.revision() == 0


def test_problems_of_all_files_are_reported_together(tmp_path):
    for name in ('one', 'two'):
        text = f'kind: datacentre\nname: {name}\nspec: {{state: gone}}\n'
        (tmp_path / name).write_text(text)
    paths = ['-f', tmp_path / 'one', '-f', tmp_path / 'two', '-f', tmp_path / 'none']
    refused = ctl([UNREACHABLE], 'apply', *map(str, paths[:4]))
    assert [line.split(':')[0] for line in refused.output.splitlines()] == [
        'error',
        'datacentre/two',
    ]
    assert ctl([UNREACHABLE], 'apply', *map(str, paths)).exit_code == 3


def test_outdated_revision_exits_with_conflict(operator, files, tmp_path):
    run(operator, 'apply', '-f', files)
    operator.put('de', 'out')
    path = tmp_path / 'old.yaml'
    path.write_text('{kind: datacentre, name: de, revision: 1, spec: {}}')
    lost = run(operator, 'apply', '-f', path)
    assert (lost.exit_code, 'revision 2' in lost.output) == (5, True)
    assert run(operator, 'delete', 'datacentre/de', '--revision', '1').exit_code == 5


@pytest.mark.parametrize(
    'arguments',
    [
        ('--timeout-ms', 'soon', 'status'),
        ('get', 'shop/x'),
        ('get', 'search/a b'),
        ('delete', 'search'),
        ('apply',),
        ('nonsense',),
        ('--output', 'xml', 'status'),
    ],
)
def test_usage_error_has_own_exit_status(arguments):
    assert ctl([UNREACHABLE], *arguments).exit_code == 2


def test_unreachable_server_fails_over_to_next(operator, files):
    servers = [UNREACHABLE, operator.daemon.address]
    assert ctl(servers, 'apply', '-f', files).exit_code == 0


def test_no_reachable_server_exits_with_not_applied(files):
    refused = ctl([UNREACHABLE], '--timeout-ms', '500', 'apply', '-f', files)
    assert refused.exit_code == 6


class RecordingServer:
    """Return a fixed response to changes and record their ids."""

    def __init__(self, response):
        self.response = response
        self.change_ids = set()
        self.server = HttpServer('127.0.0.1:0', self.answer)

    def answer(self, request):
        self.change_ids.add(request.headers['change-id'])
        return self.response


UNKNOWN = problem_response(Problem('Maybe applied.', 504, ran='unknown'))
NOT_RUN = problem_response(Problem('Not run.', 503, ran='no'))


@pytest.mark.parametrize(
    ('response', 'code'),
    [(UNKNOWN, 7), (NOT_RUN, 6), (HttpResponse(500), 7)],
)
def test_unconfirmed_change_exits_with_correct_status(files, response, code):
    recorder = RecordingServer(response)
    with recorder.server:
        address = recorder.server.address
        ended = ctl([address], '--timeout-ms', '800', 'apply', '-f', files)
    assert ended.exit_code == code
    assert len(recorder.change_ids) == 1
    has_retry_hint = f'--change-id {recorder.change_ids.pop()}' in ended.output
    assert has_retry_hint is (code == 7)


def test_fail_over_after_unknown_outcome_keeps_change_id(operator, files):
    recorder = RecordingServer(UNKNOWN)
    with recorder.server:
        servers = [recorder.server.address, operator.daemon.address]
        ended = ctl(servers, '--output', 'json', 'apply', '-f', files)
    assert {json.loads(ended.output)['change_id']} == recorder.change_ids
    again = run(operator, 'apply', '-f', files, '--change-id', *recorder.change_ids)
    assert again.output == 'accepted at revision 1\n'


def test_unknown_outcome_is_reported_if_other_servers_are_down(files):
    recorder = RecordingServer(UNKNOWN)
    with recorder.server:
        servers = [recorder.server.address, UNREACHABLE]
        ended = ctl(servers, '--timeout-ms', '800', 'apply', '-f', files)
    assert ended.exit_code == 7


def test_stale_response_prints_note(store, operator, files):
    run(operator, 'apply', '-f', files)
    store.faults = StoreFaults(StoreMode.DOWN)
    assert 'out of date' in run(operator, 'get').output


def watch_events(output):
    lines = [line for line in output.splitlines() if line.startswith('{')]
    return [json.loads(line) for line in lines]


def test_watch_fails_over_when_its_daemon_stops(store):
    outputs = []
    with Operator(store) as second:
        with Operator(store) as first:
            servers = [first.daemon.address, second.daemon.address]
            arguments = ('--output', 'json', 'watch', '--for-ms', '4000')
            follower = threading.Thread(
                target=lambda: outputs.append(ctl(servers, *arguments).output)
            )
            follower.start()
            wait_until(lambda: first.daemon.feed.state.watches == 1)
            first.put('de')
            time.sleep(0.3)
            first.put('gogledd')
        second.put('canolbarth')
        second.request('DELETE', '/v1/resources/datacentre/de')
        follower.join(10)
    events = [
        (event['event'], event['name'])
        for event in watch_events(outputs[0])
        if event['event'] != 'status'
    ]
    assert events[0] == ('put', 'de')
    assert sorted(events[1:]) == [
        ('delete', 'de'),
        ('put', 'canolbarth'),
        ('put', 'gogledd'),
    ]


def wait_until(reached):
    deadline = time.monotonic() + 5
    while not reached():
        assert time.monotonic() < deadline
        time.sleep(0.02)


@pytest.mark.parametrize(
    ('status', 'code'), [('finished', 0), ('taken_back', 8), ('running', 9)]
)
def test_wait_for_move_exits_with_status_of_move(store, operator, files, status, code):
    run(operator, 'apply', '-f', files)
    run(operator, 'apply', '-f', '-', stdin=MOVE)
    stored = {'status': status, 'generation': 1, 'to_version': 'v2', 'reason': 'slow'}
    store.swap('moves/rota-2', json.dumps(stored), 0, 100)
    ended = run(operator, 'wait', 'move', 'rota-2', '--for-ms', '1500')
    assert ended.exit_code == code


def test_wait_for_revision_ends_when_in_force_on_all_entries(store):
    entry = FakeEntry()
    with entry.server, Operator(store, entries=(entry.server.address,)) as operator:
        operator.put('de')
        operator.put('de', 'out')
        entry.daemons = {'entry-1': 2, 'entry-2': 1}
        late = run(operator, 'wait', 'revision', '--for-ms', '600')
        assert (late.exit_code, '1 of 2 behind' in late.output) == (9, True)
        threading.Timer(0.5, entry.daemons.update, [{'entry-2': 2}]).start()
        assert run(operator, 'wait', 'revision').exit_code == 0
        assert run(operator, 'wait', 'revision', '3', '--for-ms', '100').exit_code == 9


@pytest.mark.parametrize('shell', ['bash', 'zsh', 'fish'])
def test_completion_script_names_the_program(shell):
    assert 'cowsliploomctl' in ctl([UNREACHABLE], 'completion', shell).output


def test_help_matches_snapshot(snapshot):
    commands = [(), ('apply',), ('get',), ('delete',), ('watch',), ('status',)]
    texts = [ctl([UNREACHABLE], *command, '--help').output for command in commands]
    assert '\n'.join(texts) == snapshot
