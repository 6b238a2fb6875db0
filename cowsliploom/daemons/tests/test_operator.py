"""HTTP interface of the operator daemon, with an in-memory store that can fail."""

import json
import random
import threading
import time
from concurrent.futures import Future

import pytest

from cowsliploom.adapters import SystemClock
from cowsliploom.daemons._operator_feed import ConfigurationFeed
from cowsliploom.daemons._operator_store import ReadRequested, StoreReader
from cowsliploom.daemons.tests.operator_harness import FakeEntry, Operator
from cowsliploom.resources import ConfigurationLog
from cowsliploom.standins import MemoryStore, StoreFaults, StoreMode

DE = '/v1/resources/datacentre/de'
SERVICE = {
    'kind': 'service',
    'name': 'shard-1',
    'spec': {
        'servers': [
            {
                'name': 's1',
                'address': '127.0.0.1:9000',
                'data_centre': 'de',
                'version': 'v1',
            },
            {
                'name': 's2',
                'address': '127.0.0.1:9001',
                'data_centre': 'de',
                'version': 'v2',
            },
        ],
        'slots': 2,
        'connections_max': 25,
        'connect_cost_ms': 6,
    },
}
DATA_CENTRE = {'kind': 'datacentre', 'name': 'de', 'spec': {}}
MOVE = {
    'kind': 'versionmove',
    'name': 'to-v2',
    'spec': {
        'service': 'shard-1',
        'from_version': 'v1',
        'to_version': 'v2',
        'finish_by': '2030-01-31T18:00:00Z',
    },
}


@pytest.fixture
def store():
    return MemoryStore(SystemClock())


@pytest.fixture
def operator(store):
    with Operator(store) as running:
        yield running


def fail(store, mode, **changes):
    store.faults = StoreFaults(mode, **changes)


def test_resource_is_created_changed_read_and_deleted(operator):
    created = operator.put('de')
    assert (created.status, created.headers['ETag']) == (200, '"1"')
    changed = operator.put('de', 'out', If_Match='"1"')
    assert (changed.status, changed.headers['ETag']) == (200, '"2"')
    got = operator.request('GET', DE)
    assert (got.body['spec'], got.body['revision']) == ({'state': 'out'}, 2)
    assert operator.request('DELETE', DE, If_Match='"2"').status == 200
    assert operator.request('GET', DE).status == 404
    assert operator.request('DELETE', DE).status == 404
    assert operator.request('GET', '/v1/resources').body == {
        'revision': 3,
        'resources': [],
        'stale': False,
    }


def test_stale_if_match_gets_conflict_with_current_revision(operator):
    operator.put('de')
    operator.put('de', 'out')
    lost = operator.put('de', 'in', If_Match='"1"')
    assert (lost.status, lost.body['revision'], lost.body['ran']) == (409, 2, 'no')
    assert operator.request('DELETE', DE, If_Match='"1"').status == 409
    assert operator.request('GET', DE).body['spec'] == {'state': 'out'}


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'status'),
    [
        ('GET', '/nowhere', None, {}, 404),
        ('GET', '/v1/resources/shop', None, {}, 400),
        ('GET', '/v1/resources/search/a%20b', None, {}, 400),
        ('GET', '/v1/resources/search/x', None, {}, 404),
        ('GET', '/v1/resources/search/x/y', None, {}, 404),
        ('GET', '/v1/resources?watch=maybe', None, {}, 400),
        ('GET', '/v1/resources?limit=1', None, {}, 400),
        ('GET', '/v1/resources?watch=true&after_revision=x', None, {}, 400),
        ('PATCH', DE, {}, {}, 405),
        ('POST', DE, {}, {}, 405),
        ('PUT', '/v1/resources', {}, {}, 405),
        ('POST', '/healthz', {}, {}, 405),
        ('PUT', DE, {'spec': {}}, {'If_Match': 'x'}, 400),
        ('PUT', DE, {'spec': {}}, {'If_Match': '"0"'}, 400),
        ('PUT', DE, {'spec': {}}, {'If_None_Match': '*'}, 400),
        ('PUT', DE, {'spec': {}}, {'Change_Id': 'not an id'}, 400),
        ('PUT', DE, {'spec': {'state': 'gone'}}, {}, 422),
        ('PUT', DE, {'spec': {}, 'name': 'other'}, {}, 422),
        ('PUT', DE, {'spec': {}, 'kind': 'search'}, {}, 422),
        ('PUT', DE, [], {}, 422),
        ('PUT', DE, b'{', {}, 422),
        ('PUT', DE, b'\xff', {}, 422),
        ('PUT', DE, b'[' * 50_000, {}, 422),
        ('PUT', DE, b'x' * 100_001, {}, 413),
        ('POST', '/v1/resources', [], {}, 422),
        ('POST', '/v1/resources', [SERVICE], {}, 422),
        ('POST', '/v1/resources', [DATA_CENTRE, DATA_CENTRE], {}, 422),
    ],
)
def test_invalid_request_gets_problem_and_changes_nothing(
    operator, method, path, body, headers, status
):
    answer = operator.request(method, path, body, **headers)
    assert (answer.status, answer.body['status']) == (status, status)
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert answer.body['step']
    assert operator.revision() == 0


def test_one_invalid_document_rejects_whole_bulk_change(operator):
    wrong = {**SERVICE, 'spec': {**SERVICE['spec'], 'slots': 0}}
    answer = operator.request('POST', '/v1/resources', [DATA_CENTRE, wrong])
    assert [
        (problem['document'], problem['field']) for problem in answer.body['problems']
    ] == [('service/shard-1', 'spec.slots')]
    assert operator.revision() == 0


def test_delete_of_referenced_resource_is_refused(operator):
    operator.request('POST', '/v1/resources', [DATA_CENTRE, SERVICE])
    refused = operator.request('DELETE', DE)
    assert refused.status == 422
    assert refused.body['problems'][0]['field'] == 'spec.servers[0].data_centre'


def test_accepted_change_is_readable_through_another_daemon(store, operator):
    assert operator.put('de', 'out').status == 200
    with Operator(store) as other:
        assert other.request('GET', DE).body['spec'] == {'state': 'out'}


def test_same_change_id_through_two_daemons_applies_once(store, operator):
    first = operator.put('de', Change_Id='c-1')
    operator.put('de', 'out')
    with Operator(store) as other:
        again = other.put('de', Change_Id='c-1')
        assert again.body == first.body
        assert other.request('GET', DE).body['spec'] == {'state': 'out'}


def test_change_whose_store_response_is_lost_succeeds(store, operator):
    fail(
        store, StoreMode.LOSE_ANSWERS, calls=1, key_prefix='config/head', writes_only=1
    )
    answer = operator.put('de')
    assert (answer.status, answer.body['revision']) == (200, 1)


def test_change_with_store_down_is_refused_as_not_run(store, operator):
    fail(store, StoreMode.DOWN)
    refused = operator.put('de')
    assert (refused.status, refused.body['ran']) == (503, 'no')
    assert int(refused.headers['Retry-After']) >= 1
    fail(store, StoreMode.OK)
    assert operator.revision() == 0


@pytest.mark.parametrize('mode', [StoreMode.LOSE_ANSWERS, StoreMode.LOSE_REQUESTS])
def test_change_with_unknown_outcome_can_be_retried(store, operator, mode):
    fail(store, mode, key_prefix='config/head', writes_only=True)
    unknown = operator.put('de', 'out')
    if unknown.status == 200:
        assert mode is StoreMode.LOSE_ANSWERS
    else:
        assert (unknown.status, unknown.body['ran']) == (504, 'unknown')
    fail(store, StoreMode.OK)
    again = operator.put('de', 'out', Change_Id=unknown.body['change_id'])
    assert (again.status, again.body['revision']) == (200, 1)
    assert operator.revision() == 1


def test_read_with_store_down_is_marked_stale(store, operator):
    operator.put('de')
    fail(store, StoreMode.DOWN)
    got = operator.request('GET', DE)
    assert (got.status, got.headers['Configuration-Stale']) == (200, 'true')
    assert operator.request('GET', '/v1/resources').body['stale'] is True
    assert operator.request('GET', '/v1/status').body['store_failure']
    with Operator(store) as fresh:
        assert fresh.request('GET', DE).status == 503


def test_idle_daemon_makes_no_store_calls(store, operator):
    time.sleep(0.5)
    counters = store.counters
    assert (counters.reads, counters.watches, counters.swaps) == (0, 0, 0)
    assert operator.request('GET', '/healthz').body == {'healthy': True}


def test_watch_lists_resources_then_reports_changes(store, operator):
    operator.put('de')
    with operator.watch() as watch, Operator(store) as other:
        assert watch.until('put')['resource']['name'] == 'de'
        assert watch.until('bookmark')['revision'] == 1
        other.put('gogledd')
        assert watch.until('put')['resource']['name'] == 'gogledd'
        assert watch.until('bookmark')['revision'] == 2
        other.request('DELETE', DE)
        assert watch.until('delete')['resource']['name'] == 'de'
        assert watch.until('bookmark')['revision'] == 3


def test_watch_resumes_after_its_bookmark(operator):
    with operator.watch() as watch:
        watch.until('bookmark')
    for name in ('de', 'gogledd'):
        operator.put(name)
    with operator.watch(after_revision='1') as watch:
        line = watch.until('put')
        assert (line['resource']['name'], line['revision']) == ('gogledd', 2)


def test_watch_reports_only_resources_in_its_scope(operator):
    with operator.watch('/v1/resources/datacentre/gogledd') as watch:
        operator.put('de')
        operator.put('gogledd')
        assert watch.until('put')['resource']['name'] == 'gogledd'


def test_watch_from_too_old_revision_is_refused_as_gone(store, operator):
    operator.put('de')
    operator.put('de', 'out')
    with Operator(store) as fresh:
        gone = fresh.request('GET', '/v1/resources?watch=true&after_revision=1')
        assert (gone.status, gone.body['step']) == (410, 'operator.watch')


def test_idle_watch_gets_bookmarks_with_store_state(store, operator):
    operator.put('de')
    with operator.watch() as watch:
        assert watch.until('bookmark')['store_failure'] == ''
        fail(store, StoreMode.DOWN)
        watch.until_store(failing=True)
        fail(store, StoreMode.OK)
        watch.until_store(failing=False)


def test_watch_above_limit_is_refused_until_one_closes(operator):
    held = [operator.watch() for _ in range(4)]
    for watch in held:
        watch.__enter__().until('bookmark')
    assert operator.request('GET', '/v1/resources?watch=true').status == 503
    held[0].__exit__(None, None, None)
    deadline = time.monotonic() + 5
    while operator.daemon.feed.state.watches > 3:
        assert time.monotonic() < deadline
        time.sleep(0.05)
    with operator.watch() as again:
        assert again.status == 200
    for left in held[1:]:
        left.__exit__(None, None, None)


def test_draining_daemon_ends_watches_and_answers_changes_in_flight(store):
    answers = []
    with Operator(store) as operator:
        held = operator.watch()
        watch = held.__enter__()
        watch.until('bookmark')
        fail(store, StoreMode.DOWN)
        caller = threading.Thread(target=lambda: answers.append(operator.put('de')))
        caller.start()
        time.sleep(0.2)
        fail(store, StoreMode.OK)
    caller.join(5)
    assert watch.until('closing')
    held.__exit__(None, None, None)
    assert [answer.status for answer in answers] == [200]


def test_status_lists_daemons_behind_from_any_entry_that_answers(store):
    entry, broken = FakeEntry(), FakeEntry()
    broken.status = 500
    with entry.server, broken.server:
        entries = ('127.0.0.1:1', broken.server.address, entry.server.address)
        with Operator(store, entries=entries) as operator:
            operator.put('de')
            operator.put('de', 'out')
            entry.daemons = {'entry-1': 2, 'entry-2': 1}
            status = operator.request('GET', DE).body['status']
            assert (status['in_force_everywhere'], status['behind']) == (
                False,
                ['de/entry-2'],
            )
            assert fleet_status(operator, 2) is False
            assert fleet_status(operator, 1) is True
            with operator.watch() as watch:
                assert watch.until('status')['status']['behind'] == ['de/entry-2']
                entry.daemons = {'entry-1': 2, 'entry-2': 2}
                assert watch.until('status')['status']['in_force_everywhere'] is True


def fleet_status(operator, revision):
    answer = operator.request('GET', f'/v1/status?revision={revision}').body
    assert (answer['revision'], answer['newest_revision']) == (revision, 2)
    return answer['status']['in_force_everywhere']


@pytest.mark.parametrize('entries', [(), ('127.0.0.1:1',)])
def test_unknown_status_gives_its_reason(store, entries):
    with Operator(store, entries=entries) as operator:
        operator.put('de')
        status = operator.request('GET', DE).body['status']
        assert status['in_force_everywhere'] is None
        assert 'entry VM' in status['unknown']


def test_status_of_version_move_is_as_written_by_controller(store, operator):
    operator.request('POST', '/v1/resources', [DATA_CENTRE, SERVICE, MOVE])
    path = '/v1/resources/versionmove/to-v2'
    assert operator.request('GET', path).body['status']['move'] is None
    store.swap('moves/to-v2', '{"phase":"running"}', 0, 100)
    assert operator.request('GET', path).body['status']['move'] == {'phase': 'running'}
    with operator.watch(path) as watch:
        assert watch.until('status')['status']['move'] == {'phase': 'running'}
        store.swap('moves/to-v2', '{"phase":"done"}', 1, 100)
        assert watch.until('status')['status']['move'] == {'phase': 'done'}
    store.swap('moves/to-v2', 'broken', 2, 100)
    assert 'move' in operator.request('GET', path).body['status']['unknown']


def test_metrics_count_store_calls(operator):
    operator.put('de')
    text = operator.http.request('GET', operator.url('/metrics')).data.decode()
    assert 'cowsliploom_store_swaps_total 2' in text
    assert 'cowsliploom_latency_ms_count{work="put",caller=""} 1' in text


def test_request_id_is_returned_truncated_or_generated(operator):
    assert operator.put('de', Request_Id='r-1').headers['Request-Id'] == 'r-1'
    assert operator.request('GET', DE).headers['Request-Id']
    assert len(operator.put('de', Request_Id='r' * 999).headers['Request-Id']) == 128


def test_read_requests_made_before_a_read_share_its_result(store):
    clock = TickingClock()
    log = ConfigurationLog(store, clock, clock.pause, random.Random(1), 100)
    reader = StoreReader(log, ConfigurationFeed())
    messages = [
        ReadRequested(requested_ms, Future()) for requested_ms in (0, 0, 1, 0, 2)
    ]
    for message in messages:
        reader(message)
    assert all(message.answer.done() for message in messages)
    assert store.counters.reads == 2


class TickingClock:
    """Clock that advances by a millisecond each time it is read."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        self.time_ms += 1
        return self.time_ms

    def pause(self, wait_ms):
        self.time_ms += wait_ms


def test_documents_are_valid_json(operator):
    operator.put('de')
    body = operator.request('GET', DE).body
    assert json.loads(json.dumps(body)) == body
