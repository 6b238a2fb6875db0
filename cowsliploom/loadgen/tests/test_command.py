import json
from http import HTTPStatus

import msgspec
import pytest
import urllib3
from click.testing import CliRunner

from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen.command import main
from cowsliploom.protocol import (
    AnswerCoverage,
    DocRange,
    RunAnswer,
    RunCall,
    RunRequest,
    SearchAnswer,
    SearchCall,
    SnapshotInfo,
)
from cowsliploom.standins import ServerSettings
from cowsliploom.standins._backend import Backend
from cowsliploom.standins._http import (
    StandinServer,
    decode_body,
    json_reply,
    problem_reply,
)

SNAPSHOT = SnapshotInfo(7, 'a', (DocRange(0, 10),), 10)
SETTINGS = ServerSettings('a1', 'a', snapshots=(SNAPSHOT,), latency_ms=0.1, slots=64)


class StubEntry:
    """Entry VM with one backend server that can misreport coverage or repeat runs."""

    def __init__(self, backend, extra_docs=0, runs=1):
        self.backend = backend
        self.extra_docs = extra_docs
        self.runs = runs

    def answer(self, request):
        if request.path == '/metrics':
            return problem_reply(HTTPStatus.NOT_FOUND, 'no metrics')
        request_id = request.header('request-id')
        if request.path.startswith('/v1/searches/'):
            return self._search(request_id)
        return self._run(request_id, decode_body(request, RunRequest).payload)

    def _search(self, request_id):
        self._send(
            '/v1/search', SearchCall(f'{request_id}.1', 'a', 'x', 7, 't', 1, 5000)
        )
        coverage = AnswerCoverage(10 + self.extra_docs, 10, ())
        return json_reply(SearchAnswer(request_id, 7, coverage, ()))

    def _run(self, request_id, payload):
        for number in range(self.runs):
            self._send('/v1/run', RunCall(f'{request_id}.{number}', 'a', payload, 5000))
        return json_reply(RunAnswer(request_id, 'done', replayed=False))

    def _send(self, path, call):
        url = f'http://{self.backend.address}{path}'
        body = msgspec.json.encode(call)
        assert urllib3.request('POST', url, body=body).status == HTTPStatus.OK


@pytest.fixture
def backend():
    with Backend(SETTINGS, SystemClock()) as started:
        yield started


def run_load(backend, *flags, **entry):
    stub = StubEntry(backend, **entry)
    with StandinServer('127.0.0.1:0', stub.answer, threads=8) as server:
        return CliRunner().invoke(
            main,
            [
                '--entry',
                server.address,
                '--backend-admin',
                backend.address,
                '--mix',
                'cellar=3',
                '--bookings',
                'a=1',
                '--duration-s',
                '0.5',
                '--rate-per-s',
                '60',
                '--timeout-ms',
                '5000',
                *flags,
            ],
        )


def test_run_writes_results_plot_and_table(backend, tmp_path):
    results_path, plot = tmp_path / 'load.json', tmp_path / 'load.svg'
    outcome = run_load(backend, '--json', str(results_path), '--plot', str(plot))
    assert outcome.exit_code == 0, outcome.output
    load = json.loads(results_path.read_bytes())
    recount = load['recount']
    sent = sum(work['sent'] for work in load['works'])
    assert sent
    assert recount['equal'] + recount['bookings_run'] == sent
    assert 'search cellar' in outcome.output
    assert plot.read_bytes().startswith(b'<?xml')


@pytest.mark.parametrize(
    ('entry', 'status'),
    [({}, 0), ({'extra_docs': 1}, 1), ({'extra_docs': -1}, 1), ({'runs': 2}, 1)],
)
def test_discrepancy_with_run_logs_exits_with_failure_status(backend, entry, status):
    assert run_load(backend, **entry).exit_code == status


@pytest.mark.parametrize(
    ('flags', 'status', 'named'),
    [
        ((), 2, '--entry'),
        (('--entry', 'a:1'), 2, 'mix'),
        (('--entry', 'nowhere', '--mix', 'x'), 2, 'nowhere'),
        (('--entry', 'a:1', '--mix', 'x=0'), 2, 'x=0'),
        (('--entry', 'a:1', '--mix', 'x', '--rate-per-s', '0'), 2, '--rate-per-s'),
        (
            ('--entry', '127.0.0.1:1', '--mix', 'x', '--duration-s', '0.1'),
            3,
            'search x',
        ),
        (
            (
                *('--entry', '127.0.0.1:1', '--mix', 'x', '--duration-s', '0.1'),
                *('--backend-admin', '127.0.0.1:1'),
            ),
            4,
            'runlog 127.0.0.1:1',
        ),
    ],
)
def test_failed_run_exits_with_status_and_reason(flags, status, named):
    outcome = CliRunner().invoke(main, ['run', *flags])
    assert outcome.exit_code == status
    assert named in outcome.output


def test_compare_sends_same_arrivals_to_both_systems(backend, tmp_path):
    results_path = tmp_path / 'compare.json'
    stub = StubEntry(backend)
    with StandinServer('127.0.0.1:0', stub.answer, threads=8) as server:
        outcome = CliRunner().invoke(
            main,
            [
                'compare',
                *('--first-entry', server.address, '--second-entry', server.address),
                *('--first-backend-admin', backend.address),
                *('--mix', 'cellar', '--duration-s', '0.4', '--rate-per-s', '60'),
                *('--slices', '2', '--json', str(results_path)),
            ],
        )
    assert outcome.exit_code == 0, outcome.output
    comparison = json.loads(results_path.read_bytes())
    sent = [comparison[side]['works'][0]['sent'] for side in ('first', 'second')]
    assert sent[0]
    assert sent[0] == sent[1]
    assert comparison['second']['recount'] is None
