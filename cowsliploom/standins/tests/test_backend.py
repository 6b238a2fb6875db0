import threading
import time

import msgspec
import pytest
import urllib3

from cowsliploom.adapters import SystemClock
from cowsliploom.protocol import (
    CallRefusal,
    DocRange,
    LoadReport,
    RefusalReason,
    RunCall,
    RunReply,
    SearchCall,
    SearchReply,
    SnapshotInfo,
)
from cowsliploom.standins._backend import Backend
from cowsliploom.standins._hits import expected_hits
from cowsliploom.standins._server_log import RunLog, ServerCounters
from cowsliploom.standins._server_settings import (
    MismatchKind,
    ServerFaults,
    ServerSettings,
    Silence,
    SlowFault,
)

SNAPSHOT = SnapshotInfo(7, 'a', (DocRange(0, 1000),), 20_000)
SETTINGS = ServerSettings(
    'a1', 'a', snapshots=(SNAPSHOT,), latency_ms=0.1, connections_max=3
)
SLOW_MS = 60_000


@pytest.fixture
def backend():
    with Backend(SETTINGS, SystemClock()) as started:
        yield started


class Caller:
    """Client of one backend stand-in with a single connection."""

    def __init__(self, backend):
        host, port = backend.address.split(':')
        self.pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)

    def call(self, method, path, body=None, timeout_s=5.0):
        return self.pool.request(
            method,
            path,
            body=None if body is None else msgspec.json.encode(body),
            retries=False,
            timeout=timeout_s,
        )

    def search(self, number=1, **options):
        call = SearchCall(f'q.{number}', 'a', 'cellar', 7, 'text', 5, 60_000)
        return self.call('POST', '/v1/search', call, **options)


def read(response, shape):
    return msgspec.json.decode(response.data, type=shape)


def wait_until(condition, limit_s=10):
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, 'condition not met'
        time.sleep(0.002)


def test_search_returns_snapshot_hits_over_one_connection(backend):
    caller = Caller(backend)
    for number in range(5):
        reply = read(caller.search(number), SearchReply)
        assert (reply.request_id, reply.snapshot) == (f'q.{number}', 7)
        assert reply.hits == expected_hits('a', SNAPSHOT.ranges, 'text', 5)
    counters = read(caller.call('GET', '/admin/counters'), ServerCounters)
    assert (counters.served, counters.connections_opened) == (5, 1)


def test_run_appears_in_run_log(backend):
    caller = Caller(backend)
    reply = caller.call('POST', '/v1/run', RunCall('r1', 'a', 'book', 1000))
    assert read(reply, RunReply).request_id == 'r1'
    log = read(caller.call('GET', '/admin/runlog'), RunLog)
    assert [entry.payload for entry in log.runs] == ['book']


def test_cancel_ends_running_search_and_frees_slot(backend):
    backend.model.faults = ServerFaults(slow=(SlowFault(extra_ms=SLOW_MS),))
    replies = []
    thread = threading.Thread(target=lambda: replies.append(Caller(backend).search()))
    thread.start()
    wait_until(lambda: backend.model.busy)
    Caller(backend).call('POST', '/v1/cancel', {'request_id': 'q.1'})
    thread.join()
    assert read(replies[0], CallRefusal).reason is RefusalReason.EXPIRED
    assert backend.model.busy == 0


def test_connection_beyond_limit_is_closed(backend):
    callers = [Caller(backend) for _ in range(4)]
    for caller in callers[:3]:
        assert caller.search().status == 200
    with pytest.raises(urllib3.exceptions.ProtocolError):
        callers[3].search()
    callers[0].pool.close()
    wait_until(lambda: backend.model.server_log.counters.connections_now == 2)
    assert callers[3].search().status == 200


def test_admin_request_succeeds_at_connection_limit(backend):
    callers = [Caller(backend) for _ in range(4)]
    for caller in callers[:3]:
        caller.search()
    response = callers[3].call('PUT', '/admin/faults', ServerFaults(shed=True))
    assert response.status == 200
    assert callers[0].search().status == 429


def test_existing_connections_time_out_and_new_ones_respond(backend):
    old, admin = Caller(backend), Caller(backend)
    old.search()
    admin.call('PUT', '/admin/faults', ServerFaults(silent=Silence.EXISTING))
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        old.search(timeout_s=0.05)
    assert Caller(backend).search().status == 200
    wait_until(lambda: backend.model.server_log.counters.silenced == 1)


def test_second_fault_update_keeps_newer_connections_responsive(backend):
    admin = Caller(backend)
    admin.call('PUT', '/admin/faults', ServerFaults(silent=Silence.EXISTING))
    fresh = Caller(backend)
    assert fresh.search().status == 200
    shedding = ServerFaults(silent=Silence.EXISTING, shed=True)
    admin.call('PUT', '/admin/faults', shedding)
    assert fresh.search().status == 429


def test_silent_answers_fault_executes_run_without_reply(backend):
    caller = Caller(backend)
    backend.model.faults = ServerFaults(silent=Silence.ANSWERS)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        caller.call('POST', '/v1/run', RunCall('r1', 'a', 'b', 1000), timeout_s=0.2)
    wait_until(lambda: len(backend.model.server_log.run_log.runs) == 1)


def test_silent_connection_is_closed_after_hold_time(backend):
    old = Caller(backend)
    backend.model.faults = ServerFaults(silent=Silence.ALL, silent_hold_ms=0)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        old.search(timeout_s=0.05)
    wait_until(lambda: backend.model.server_log.counters.silenced == 1)
    assert backend.model.server_log.counters.connections_now == 1
    backend.model.faults = ServerFaults(silent_hold_ms=0)
    fresh = Caller(backend)
    assert fresh.search().status == 200
    assert backend.model.server_log.counters.connections_now == 1


@pytest.mark.parametrize(
    ('crossing', 'request_id', 'snapshot'),
    [
        (MismatchKind.PREVIOUS, 'q.1', 7),
        (MismatchKind.REQUEST_ID, 'crossed', 7),
        (MismatchKind.SNAPSHOT, 'q.2', 8),
    ],
)
def test_mismatched_reply_has_defect_of_its_kind(
    backend, crossing, request_id, snapshot
):
    caller = Caller(backend)
    caller.search(1)
    backend.model.faults = ServerFaults(crossed_share=1, crossing=crossing)
    reply = read(caller.search(2), SearchReply)
    assert (reply.request_id, reply.snapshot) == (request_id, snapshot)


def test_late_reply_frees_slot_before_delay(backend):
    backend.model.faults = ServerFaults(late_share=1, late_ms=300)
    with pytest.raises(urllib3.exceptions.ReadTimeoutError):
        Caller(backend).search(timeout_s=0.1)
    wait_until(lambda: backend.model.server_log.counters.served == 1)
    assert backend.model.busy == 0


def test_search_of_replaced_snapshot_is_refused(backend):
    caller = Caller(backend)
    moved = SnapshotInfo(8, 'a', (DocRange(0, 500), DocRange(900, 950)), 20_000)
    caller.call('PUT', '/admin/snapshots', [moved])
    refusal = caller.search()
    assert refusal.status == 409
    assert read(refusal, CallRefusal).reason is RefusalReason.SNAPSHOT_GONE


def test_load_lie_replaces_load_report(backend):
    caller = Caller(backend)
    false_report = LoadReport('a1', 100, 0, 0, 1000, 100)
    backend.model.faults = ServerFaults(load_lie=false_report)
    assert read(caller.call('GET', '/v1/load'), LoadReport) == false_report


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status'),
    [
        ('POST', '/v1/search', {'request_id': 1}, 400),
        ('GET', '/v1/nothing', None, 404),
        ('PUT', '/admin/nothing', None, 404),
        ('PUT', '/admin/faults', {'slow': [{'share': 1, 'factor': 9}]}, 200),
        ('PUT', '/admin/faults', {'sheds': True}, 400),
        ('PUT', '/admin/faults', {'slow': [{'shares': 1}]}, 400),
        ('PUT', '/admin/cold', {'new_incarnation': True}, 200),
        ('PUT', '/admin/leave', None, 200),
        ('GET', '/v1/health', None, 200),
    ],
)
def test_request_returns_expected_status(backend, method, path, body, status):
    assert Caller(backend).call(method, path, body).status == status
