"""A query's shards are called through relays, once each, and merged."""

import pytest

from cowsliploom.forwarding import (
    BackendAnswer,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    CancelCall,
    FanOut,
    MergedAnswer,
    RelayAnswered,
    RelayCallFailed,
    RelayCallsSent,
    Route,
    RouteTable,
    SendCall,
    SendToRelay,
    ServerNotice,
    ServiceRules,
    plan_relays,
    plan_remote_relays,
)
from cowsliploom.forwarding._relay_plan import SHARDS_MIN, SHARDS_PER_RELAY
from cowsliploom.forwarding.tests.dispatcher_harness import (
    RequestDriver,
    good,
    make_dispatcher,
    record,
)
from cowsliploom.members import Member

SHARDS = tuple(f'k{number:02}' for number in range(48))
MEMBERS = tuple(
    Member(f'vm-{number}', f'10.0.0.{number}:7000', 'de') for number in range(8)
)
WIDE = Route('many', 'h', '/many/', True, 2, 1500, 100, fan_out=FanOut(SHARDS, 4, 0.9))


def make_wide_dispatcher(members=MEMBERS):
    """Return a dispatcher with two servers for each of many shards."""
    dispatcher = make_dispatcher()
    rules = {name: ServiceRules(name, connections_max=55) for name in SHARDS}
    dispatcher.apply_table(RouteTable(4, (WIDE,), rules))
    dispatcher.fleet.update(
        [record(f'{name}-{at}', name) for name in SHARDS for at in range(2)], 0
    )
    dispatcher.members = lambda: members
    return dispatcher


def relay_commands(driver):
    """Return the commands that went to relays."""
    return [one for one in driver.commands if isinstance(one, SendToRelay)]


def sent_calls(driver):
    """Return the calls that were sent directly."""
    return [one for one in driver.commands if isinstance(one, SendCall)]


def relay_answer(now_ms, command, body=b'', left_out=()):
    """Return a relay's report on its calls, except those of some shards."""
    calls = [call for call in command.calls if call.shard not in left_out]
    bodies = [body, *(b'' for _ in calls[1:])]
    return RelayAnswered(
        now_ms,
        tuple(
            (call.call_id, good(part, f'sig-{call.shard}'))
            for call, part in zip(calls, bodies)
        ),
    )


@pytest.mark.parametrize(
    ('shards', 'members', 'shares'),
    [
        (SHARDS, MEMBERS, 6),
        (SHARDS, MEMBERS[:3], 3),
        (SHARDS, MEMBERS[:1], 0),
        (SHARDS[: SHARDS_MIN - 1], MEMBERS, 0),
    ],
)
def test_shards_are_divided_among_different_members(shards, members, shares):
    plan = plan_relays(shards, members)
    assert len(plan) == shares
    assert len({share.relays[0] for share in plan}) == shares
    named = [shard for share in plan for shard in share.shards]
    assert len(named) == len(set(named)) == shares * SHARDS_PER_RELAY


def test_most_shards_keep_their_relay_when_a_member_leaves():
    before = {share.shards: share.relays[0] for share in plan_relays(SHARDS, MEMBERS)}
    gone = next(iter(before.values()))
    remaining = tuple(member for member in MEMBERS if member is not gone)
    after = {share.shards: share.relays[0] for share in plan_relays(SHARDS, remaining)}
    kept = [shards for shards, relay in before.items() if after[shards] == relay]
    assert len(kept) >= len(before) / 2


REMOTE_MEMBERS = tuple(
    Member(f'vm-{data_centre}-{number}', f'10.1.{number}.1:7000', data_centre)
    for data_centre in ('a', 'b', 'c')
    for number in range(3)
)


@pytest.mark.parametrize(
    ('data_centres', 'shares'),
    [
        ({'s1': 'ab', 's2': 'bc', 's3': 'b'}, [('b', 3)]),
        ({'s1': 'ab', 's2': 'bc'}, []),
        ({'s1': 'd', 's2': 'd', 's3': 'd'}, []),
        ({f's{at}': 'a' for at in range(13)}, [('a', 6), ('a', 7)]),
        ({**{f's{at}': 'a' for at in range(4)}, 't': 'c'}, [('a', 4)]),
    ],
    ids=[
        'one-data-centre-has-all',
        'too-few',
        'no-member-there',
        'two-shares',
        'one-left',
    ],
)
def test_shards_without_local_server_are_relayed_by_few_remote_members(
    data_centres, shares
):
    plan = plan_remote_relays(
        {shard: frozenset(found) for shard, found in data_centres.items()},
        REMOTE_MEMBERS,
        'own',
    )
    found = sorted((one.relays[0].data_centre, len(one.shards)) for one in plan)
    assert found == shares
    named = [shard for share in plan for shard in share.shards]
    assert len(named) == len(set(named))


def test_servers_of_no_data_centre_are_relayed_by_nobody():
    """Guard against an error for entries without a data centre where no VM is known."""
    nowhere = {shard: frozenset(('',)) for shard in SHARDS}
    assert not plan_remote_relays(nowhere, (), 'own')


def test_shards_with_a_local_server_are_not_relayed_remotely():
    dispatcher = make_wide_dispatcher(REMOTE_MEMBERS)
    assert not relay_commands(RequestDriver.start(dispatcher, '/many/x'))
    moved = [record(f'{name}-0', name, data_centre='b') for name in SHARDS[:5]]
    stayed = [record(f'{name}-0', name) for name in SHARDS[5:]]
    dispatcher.fleet.update([*moved, *stayed], 0)
    (command,) = relay_commands(RequestDriver.start(dispatcher, '/many/x'))
    assert [call.shard for call in command.calls] == list(SHARDS[:5])
    assert command.relay.record.data_centre == 'b'


def test_relay_reports_are_merged_into_the_answer():
    driver = RequestDriver.start(make_wide_dispatcher(), '/many/x')
    commands = relay_commands(driver)
    assert sum(len(one.calls) for one in commands) == len(SHARDS)
    assert not sent_calls(driver)
    for number, command in enumerate(commands):
        driver.step(relay_answer(20, command, bytes([number]) * 16))
    assert isinstance(driver.reply, MergedAnswer)
    assert set(driver.reply.signatures) == {f'sig-{shard}' for shard in SHARDS}
    assert driver.reply.body == b''.join(bytes([top]) * 16 for top in (5, 4, 3, 2))


def test_shard_missing_from_a_relay_report_is_hedged_once_elsewhere():
    driver = RequestDriver.start(make_wide_dispatcher(), '/many/x')
    first, *others = relay_commands(driver)
    for command in others:
        driver.step(relay_answer(15, command))
    missing = first.calls[0].shard
    driver.step(RelayCallsSent(2, ((first.calls[0].call_id, f'{missing}-0'),)))
    driver.step(relay_answer(15, first, left_out=(missing,)))
    for now_ms in range(16, 80):
        driver.tick(now_ms)
    (hedge,) = sent_calls(driver)
    assert hedge.server.name == f'{missing}-1'


def test_relay_report_replaces_the_answer_of_a_faster_hedge():
    driver = RequestDriver.start(make_wide_dispatcher(), '/many/x')
    first, *others = relay_commands(driver)
    for command in others[1:]:
        driver.step(relay_answer(15, command))
    for now_ms in range(16, 60):
        driver.tick(now_ms)
    hedged = {call.server.record.service: call for call in sent_calls(driver)}
    shard = first.calls[3].shard
    driver.answer(hedged[shard].call_id, 61, good(b'z' * 16, 'sig-hedge'))
    driver.step(relay_answer(62, first, b'y' * 16))
    driver.step(relay_answer(63, others[0], b'x' * 16))
    assert driver.reply.missing == 0
    assert 'sig-hedge' not in driver.reply.signatures
    assert driver.reply.body == b'y' * 16 + b'x' * 16


@pytest.mark.parametrize(
    ('may_have_run', 'is_extra'),
    [(False, False), (True, True)],
    ids=['never-reached', 'connection-lost'],
)
def test_shards_of_a_lost_relay_are_called_directly(may_have_run, is_extra):
    dispatcher = make_wide_dispatcher()
    driver = RequestDriver.start(dispatcher, '/many/x')
    first = relay_commands(driver)[0]
    for call in first.calls:
        driver.step(CallFailed(5, call.call_id, CallStep.CONNECT, 'gone', may_have_run))
    assert {call.server.record.service for call in sent_calls(driver)} == {
        call.shard for call in first.calls
    }
    assert driver.exchange.retries == is_extra * len(first.calls)
    again = RequestDriver.start(dispatcher, '/many/x', now_ms=10)
    assert first.relay.name not in {one.relay.name for one in relay_commands(again)}


@pytest.mark.parametrize('may_have_run', [True, False])
def test_shard_that_failed_at_a_relay_is_called_directly(may_have_run):
    driver = RequestDriver.start(make_wide_dispatcher(), '/many/x')
    call = relay_commands(driver)[0].calls[0]
    driver.step(RelayCallFailed(5, call.call_id, may_have_run))
    (direct,) = sent_calls(driver)
    assert direct.server.record.service == call.shard
    assert driver.exchange.retries == 1  # the relay's call may have reached a server
    driver.fail(direct.call_id, 8)
    assert len(sent_calls(driver)) == 1 + (not may_have_run)


def test_relay_calls_are_cancelled_when_the_caller_leaves():
    driver = RequestDriver.start(make_wide_dispatcher(), '/many/x')
    ids = {call.call_id for command in relay_commands(driver) for call in command.calls}
    driver.step(CallerLeft(5))
    cancelled = {one.call_id for one in driver.commands if isinstance(one, CancelCall)}
    assert cancelled == ids


def make_share(report_ms=40, dispatcher=None):
    """Return a share of three shards, as a relay runs it."""
    dispatcher = dispatcher or make_wide_dispatcher(())
    request = CallerRequest('r1', '', '', '', (), b'', 0, 1000)
    fan_out = FanOut(SHARDS[:3], 4, 0)
    return dispatcher.open_share(request, 'many', fan_out, report_ms)


def start_share(report_ms=40, dispatcher=None):
    """Return a share and its calls by shard."""
    share = make_share(report_ms, dispatcher)
    driver = RequestDriver(share)
    driver.collect(share.start(0))
    return (
        share,
        driver,
        {call.server.record.service: call for call in sent_calls(driver)},
    )


def test_relay_batches_results_until_report_time_then_sends_each():
    share, driver, calls = start_share()
    assert share.chosen_servers() == tuple(
        calls[shard].server.name for shard in SHARDS[:3]
    )
    driver.answer(calls['k00'].call_id, 10, good(b'a' * 32, 's0'))
    assert share.report(10) is None
    assert share.due_ms <= 40
    driver.answer(calls['k01'].call_id, 12, good(b'b' * 48, 's1'))
    report = share.report(40)
    assert [part.signature for part in report.parts] == ['s0', 's1']
    assert report.records == b'b' * 48 + b'a' * 16
    driver.answer(calls['k02'].call_id, 45, good(b'c' * 16, 's2'))
    report = share.report(45)
    assert [part.signature for part in report.parts] == ['s2']
    assert report.records == b'c' * 16
    assert share.is_over


def test_relay_reports_a_failure_at_once_and_keeps_the_answers_for_later():
    """Answers lost on many servers were called for again too late for the caller."""
    share, driver, calls = start_share()
    driver.answer(calls['k00'].call_id, 10, good(b'a' * 32, 's0'))
    lost = CallFailed(12, calls['k01'].call_id, CallStep.RECEIVE, 'reset', True)
    driver.step(lost)
    report = share.report(12)
    assert [(part.shard, part.may_have_run) for part in report.parts] == [('k01', True)]
    assert not report.records
    assert share.report(13) is None
    driver.answer(calls['k02'].call_id, 14, good(b'c' * 16, 's2'))
    assert [part.shard for part in share.report(14).parts] == ['k00', 'k02']


def test_relay_reports_at_once_when_all_shards_answered():
    share, driver, calls = start_share()
    for call in calls.values():
        driver.answer(call.call_id, 10, good(b'a' * 16))
    assert len(share.report(10).parts) == 3
    assert share.report(11) is None


@pytest.mark.parametrize(
    ('answer', 'sends', 'may_have_run'),
    [
        (BackendAnswer(500, signature='sig'), 1, True),
        (BackendAnswer(503, ran=False), 2, False),
        (BackendAnswer(421, ran=False, wrong_server=True), 2, False),
    ],
)
def test_relay_retries_only_calls_that_did_not_run(answer, sends, may_have_run):
    share, driver, calls = start_share(report_ms=0)
    driver.answer(calls['k00'].call_id, 5, answer)
    of_shard = [
        call for call in sent_calls(driver) if call.server.record.service == 'k00'
    ]
    assert len(of_shard) == sends
    report = share.report(5)
    if may_have_run:
        assert report.parts[0].may_have_run
    else:
        assert report is None


def test_relay_cancels_its_calls_when_the_requester_leaves():
    share, driver, calls = start_share()
    driver.step(CallerLeft(5))
    cancelled = {one.call_id for one in driver.commands if isinstance(one, CancelCall)}
    assert cancelled == {call.call_id for call in calls.values()}
    assert share.is_over


def test_relayed_share_earns_no_budget_tokens():
    dispatcher = make_wide_dispatcher()
    RequestDriver.start(dispatcher, '/many/x')
    spare = dispatcher.budgets.of_service('k00').tokens
    share = dispatcher.open_share(
        CallerRequest('r', '', '', '', (), b'', 0, 1000),
        'many',
        FanOut(('k00',), 4, 0),
        40,
    )
    share.start(0)
    assert dispatcher.budgets.of_service('k00').tokens == spare


@pytest.mark.parametrize('has_responded', [True, False])
def test_unresponsive_relay_gets_no_further_share(has_responded):
    """Guards against an extra call for each shard of each query sent to it."""
    dispatcher = make_wide_dispatcher()
    driver = RequestDriver.start(dispatcher, '/many/x')
    first = relay_commands(driver)[0]
    for command in relay_commands(driver)[has_responded is False :]:
        servers = tuple((call.call_id, 'k') for call in command.calls)
        driver.step(RelayCallsSent(2, servers))
    again = RequestDriver.start(dispatcher, '/many/x', now_ms=150)
    relays = {one.relay.name for one in relay_commands(again)}
    assert (first.relay.name in relays) == has_responded


def hedges_with_reports_late_by(lag_ms, queries=4):
    """Return the hedges of the last query, whose relays each lack one shard at first.

    The load pattern: a weak VM handles the reports of many relays one after the other,
    so that they arrive some time after they were due.
    """
    dispatcher = make_wide_dispatcher()
    for number in range(queries):
        start_ms = number * 1000
        driver = RequestDriver.start(dispatcher, '/many/x', now_ms=start_ms)
        commands = relay_commands(driver)
        reports = {
            start_ms + round(one.report_after_ms + lag_ms): one for one in commands
        }
        arrives_ms = min(reports)
        for now_ms in range(start_ms, start_ms + 70):
            if now_ms == arrives_ms:
                for command in commands:
                    slow = (command.calls[0].shard,)
                    driver.step(relay_answer(now_ms, command, left_out=slow))
            driver.tick(now_ms)
        for command in commands:
            driver.step(relay_answer(start_ms + 71, command))
    return driver.exchange.hedges, len(commands)


@pytest.mark.parametrize('lag_ms', [0, 5, 15])
def test_late_reports_cause_hedges_of_slow_shards_only(lag_ms):
    """Whole shares were hedged: 23 of 135 shards, though 7 were slow."""
    hedges, slow_shards = hedges_with_reports_late_by(lag_ms)
    assert hedges <= slow_shards


def test_relay_reports_servers_that_leave():
    """Guard against a direct call of a server that left by its word to a relay."""
    dispatcher = make_wide_dispatcher(())
    share, driver, calls = start_share(dispatcher=dispatcher)
    notice = ServerNotice(is_leaving=True)
    dispatcher.fleet.apply_notice(calls['k01'].server, notice, 5)
    for call in calls.values():
        driver.answer(call.call_id, 10, good(b'a' * 16))
    assert share.report(10).leaving == (calls['k01'].server.name,)
