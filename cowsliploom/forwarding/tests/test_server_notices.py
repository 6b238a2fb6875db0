"""A server that leaves or asks for a pause gets no new calls from this entry VM."""

import random
from dataclasses import replace

import pytest

from cowsliploom.forwarding import BackendAnswer, ErrorReply, Outcome, ServerNotice
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding._server_notices import PAUSE_MAX_MS
from cowsliploom.forwarding.tests.dispatcher_harness import (
    SHARDS,
    RequestDriver,
    good,
    make_dispatcher,
    record,
)

LEAVING = ServerNotice(is_leaving=True)
LIMITS = CallLimits(10, 4)
NAMES = ('one-0', 'one-1', 'one-2')
TRIES = 50
STEP_MAX_MS = 50


def tell(dispatcher, name, notice, now_ms=0):
    """Let a server send a notice."""
    fleet = dispatcher.fleet
    fleet.apply_notice(fleet.get(name), notice, now_ms)


def chosen(dispatcher, now_ms=0, tried=()):
    """Return the servers that calls of a service go to."""
    fleet = dispatcher.fleet
    found = [fleet.choose('one', tried, now_ms, LIMITS) for _ in range(TRIES)]
    return {server.name for server in found if server is not None}


def records(**changes):
    """Return the registrations of all services, with some fields of one changed."""
    names = ('one', *SHARDS)
    known = [record(f'{name}-{number}', name) for name in names for number in range(3)]
    return [
        replace(each, **changes) if each.name == 'one-0' else each for each in known
    ]


@pytest.fixture
def dispatcher():
    """Return a dispatcher with three servers for each service."""
    made = make_dispatcher(servers=3)
    made.fleet.update(records(), 0)
    return made


@pytest.mark.parametrize(
    'notice', [LEAVING, ServerNotice(pause_ms=500)], ids=['leaving', 'pause']
)
def test_server_gets_neither_calls_nor_hedges_nor_repeats(dispatcher, notice):
    tell(dispatcher, 'one-0', notice)
    assert chosen(dispatcher) == {'one-1', 'one-2'}
    assert chosen(dispatcher, tried=('one-1', 'one-2')) == set()
    assert not dispatcher.fleet.has_usable('one', ('one-1', 'one-2'), 0)


@pytest.mark.parametrize(
    'changes',
    [
        {},
        {'sequence': 9},
        {'cold_ms': 100},
        {'slots': 4},
    ],
    ids=['same', 'later', 'cold', 'slots'],
)
def test_leaving_holds_through_newer_registrations(dispatcher, changes):
    tell(dispatcher, 'one-0', LEAVING)
    dispatcher.fleet.update(records(**changes), 10)
    assert 'one-0' not in chosen(dispatcher, 60_000)


@pytest.mark.parametrize(
    ('notice', 'now_ms'), [(LEAVING, 60_000), (ServerNotice(pause_ms=5000), 4999)]
)
def test_notice_holds_for_a_registration_that_lapsed_and_returned(
    dispatcher, notice, now_ms
):
    """Guard against a leaving server in use again after an outage of the store."""
    tell(dispatcher, 'one-0', notice)
    dispatcher.fleet.update(records()[1:], 10)
    dispatcher.fleet.update(records(sequence=8), 20)
    assert 'one-0' not in chosen(dispatcher, now_ms)


@pytest.mark.parametrize(
    'changes',
    [{'born_ms': 7}, {'sequence': 0}, {'address': '10.0.0.9:1'}],
    ids=['born', 'lower-sequence', 'moved'],
)
@pytest.mark.parametrize('lapses', [False, True])
def test_new_start_of_a_server_ends_what_it_said(dispatcher, changes, lapses):
    tell(dispatcher, 'one-0', LEAVING)
    if lapses:
        dispatcher.fleet.update(records()[1:], 10)
    dispatcher.fleet.update(records(**changes), 20)
    assert 'one-0' in chosen(dispatcher, 30)


def test_new_server_at_the_address_of_a_leaving_one_is_used(dispatcher):
    tell(dispatcher, 'one-0', LEAVING)
    dispatcher.fleet.update(records(name='one-9'), 10)
    assert 'one-9' in chosen(dispatcher, 20)


@pytest.mark.parametrize(
    ('pauses', 'still', 'again'),
    [
        ([(0, 1000)], 999, 1300),
        ([(0, 1000), (500, 3000)], 3499, 4200),
        ([(0, 9000), (500, 200)], 8999, 10_000),
        ([(0, 9000), (500, 0)], 8999, 10_000),
        ([(0, float('inf'))], PAUSE_MAX_MS - 1, PAUSE_MAX_MS + 1001),
    ],
    ids=['one', 'longer', 'shorter', 'none', 'endless'],
)
def test_pause_that_ends_last_counts(dispatcher, pauses, still, again):
    for now_ms, pause_ms in pauses:
        tell(dispatcher, 'one-0', ServerNotice(pause_ms=pause_ms), now_ms)
    assert 'one-0' not in chosen(dispatcher, still)
    assert 'one-0' in chosen(dispatcher, again)


def rejected(pause_ms=None):
    """Return a rejection and the notice that its head carried."""
    return BackendAnswer(503, ran=False), ServerNotice(pause_ms=pause_ms)


def reject_all(dispatcher, driver, pauses_ms):
    """Let each server that is called reject, with a pause of its own."""
    for now_ms, pause_ms in enumerate(pauses_ms, start=1):
        ((call_id, call),) = driver.calls.items()
        answer, notice = rejected(pause_ms)
        dispatcher.fleet.apply_notice(call.server, notice, now_ms)
        driver.answer(call_id, now_ms, answer)


@pytest.mark.parametrize('path', ['/once/x', '/safe/x'])
def test_request_without_a_server_is_refused_at_once_with_the_shortest_pause(
    dispatcher, path
):
    """Guard against holding a request until its deadline that can't be served."""
    driver = RequestDriver.start(dispatcher, path)
    reject_all(dispatcher, driver, (3000, 800, 2000))
    (reply,) = [each for each in driver.commands if isinstance(each, ErrorReply)]
    assert reply.outcome is Outcome.REFUSED
    assert reply.reason.startswith('no server, 3 paused for ')
    assert 800 <= reply.retry_after_ms < 1500


def test_pause_beyond_the_deadline_is_not_passed_on(dispatcher):
    """Guard against a caller that waits in vain, as another entry VM may serve it."""
    driver = RequestDriver.start(dispatcher, '/safe/x', patience_ms=2000)
    reject_all(dispatcher, driver, (9000, 9000, 9000))
    (reply,) = [each for each in driver.commands if isinstance(each, ErrorReply)]
    assert reply.retry_after_ms < 1000


def test_service_whose_servers_all_leave_is_refused_at_once(dispatcher):
    for name in NAMES:
        tell(dispatcher, name, LEAVING)
    driver = RequestDriver.start(dispatcher, '/safe/x')
    (reply,) = driver.commands
    assert (reply.outcome, reply.reason) == (Outcome.REFUSED, 'no server, 3 leaving')


def test_open_calls_of_a_leaving_server_end_as_usual(dispatcher):
    driver = RequestDriver.start(dispatcher, '/safe/x')
    ((call_id, call),) = driver.calls.items()
    dispatcher.fleet.apply_notice(call.server, LEAVING, 1)
    driver.answer(call_id, 5, good(b'ok'))
    assert driver.commands[-1].answer.body == b'ok'


def test_leaving_servers_of_gathered_answers_are_left_out(dispatcher):
    for number in range(3):
        tell(dispatcher, f's0-{number}', LEAVING)
    driver = RequestDriver.start(dispatcher, '/wide/x')
    assert {call.server.record.service for call in driver.calls.values()} == set(
        SHARDS[1:]
    )


def test_unreadable_notice_changes_nothing_and_is_reported_once(dispatcher):
    changes = []
    dispatcher.fleet.on_health_change = changes.append
    dispatcher.fleet.update(records(born_ms=5), 0)
    for _ in range(3):
        tell(dispatcher, 'one-0', ServerNotice(problem='soon'))
    assert [(each.health, each.reason) for each in changes] == [
        ('notice unreadable', 'soon')
    ]
    assert 'one-0' in chosen(dispatcher)
    assert dispatcher.fleet.notices.counts['unreadable'] == 3


class OverloadedServer:
    """Server that rejects all requests of one entry VM at a time with a pause."""

    def __init__(self, pause_ms):
        self.pause_ms = pause_ms
        self.arrivals = []
        self.paused_until_ms = {}
        self.broken = 0

    def receive(self, vm, now_ms):
        """Count a request, and one that came while the VM was asked to pause."""
        self.arrivals.append(now_ms)
        if now_ms < self.paused_until_ms.get(vm, 0):
            self.broken += 1
        self.paused_until_ms[vm] = now_ms + self.pause_ms


@pytest.mark.parametrize('vms', [8, 195])
@pytest.mark.parametrize('pause_ms', [200, 2500, 10_000])
def test_pause_is_kept_by_all_vms_and_their_return_is_spread(vms, pause_ms):
    """Guard against all entry VMs meeting a server in the moment of its return."""
    dispatchers = []
    for number in range(vms):
        made = make_dispatcher(servers=3)
        made.fleet.notices._random = random.Random(number)  # noqa: SLF001
        dispatchers.append(made)
    server = OverloadedServer(pause_ms)
    others = 0
    for now_ms in range(0, 2 * pause_ms, min(STEP_MAX_MS, pause_ms // 40)):
        for vm, dispatcher in enumerate(dispatchers):
            choice = dispatcher.fleet.choose('one', (), now_ms, LIMITS)
            if choice.name == 'one-0':
                server.receive(vm, now_ms)
                notice = ServerNotice(pause_ms=pause_ms)
                dispatcher.fleet.apply_notice(choice, notice, now_ms)
            else:
                others += 1
    returned = [at for at in server.arrivals if at >= pause_ms]
    most = max(returned.count(at) for at in set(returned))
    assert not server.broken
    assert others
    assert most <= max(3, vms // 3)
