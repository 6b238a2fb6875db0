"""A query's shards are asked through relays, once each, and taken together."""

import pytest

from cowsliploom.forwarding import (
    SendToRelay,
    BackendAnswer,
    CallerLeft,
    CallerRequest,
    CallFailed,
    CallStep,
    CancelCall,
    FanOut,
    MergedAnswer,
    RelayCallFailed,
    RelayAnswered,
    RelayCallsSent,
    Route,
    RouteTable,
    SendCall,
    ServiceRules,
    plan_far_relays,
    plan_relays,
)
from cowsliploom.forwarding._relay_plan import SHARDS_MIN, SHARDS_PER_RELAY
from cowsliploom.forwarding.tests.desk_world import (
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


def make_wide_desk(members=MEMBERS):
    """Return a desk with two servers for each of many shards."""
    desk = make_dispatcher()
    rules = {name: ServiceRules(name, connections_max=55) for name in SHARDS}
    desk.apply_table(RouteTable(4, (WIDE,), rules))
    desk.fleet.update(
        [record(f'{name}-{at}', name) for name in SHARDS for at in range(2)], 0
    )
    desk.members = lambda: members
    return desk


def asked(play):
    """Return the commands to relays."""
    return [one for one in play.commands if isinstance(one, SendToRelay)]


def sent(play):
    """Return the calls that were sent directly."""
    return [one for one in play.commands if isinstance(one, SendCall)]


def relayed(now_ms, command, body=b'', left_out=()):
    """Return the report of a relay on its calls but some."""
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
    assert len({share.relay for share in plan}) == shares
    named = [shard for share in plan for shard in share.shards]
    assert len(named) == len(set(named)) == shares * SHARDS_PER_RELAY


def test_most_shards_stay_where_they_were_when_a_member_goes():
    before = {share.shards: share.relay for share in plan_relays(SHARDS, MEMBERS)}
    gone = next(iter(before.values()))
    left = tuple(member for member in MEMBERS if member is not gone)
    after = {share.shards: share.relay for share in plan_relays(SHARDS, left)}
    kept = [shards for shards, relay in before.items() if after[shards] == relay]
    assert len(kept) >= len(before) / 2


FAR = tuple(
    Member(f'vm-{place}-{number}', f'10.1.{number}.1:7000', place)
    for place in ('a', 'b', 'c')
    for number in range(3)
)


@pytest.mark.parametrize(
    ('places', 'shares'),
    [
        ({'s1': 'ab', 's2': 'bc', 's3': 'b'}, [('b', 3)]),
        ({'s1': 'ab', 's2': 'bc'}, []),
        ({'s1': 'd', 's2': 'd', 's3': 'd'}, []),
        ({f's{at}': 'a' for at in range(13)}, [('a', 6), ('a', 7)]),
        ({**{f's{at}': 'a' for at in range(4)}, 't': 'c'}, [('a', 4)]),
    ],
    ids=['one-place-has-all', 'too-few', 'nobody-there', 'two-shares', 'one-left'],
)
def test_shards_without_a_server_here_are_asked_by_few_members_elsewhere(
    places, shares
):
    plan = plan_far_relays(
        {shard: frozenset(found) for shard, found in places.items()}, FAR, 'own'
    )
    found = sorted((one.relay.data_centre, len(one.shards)) for one in plan)
    assert found == shares
    named = [shard for share in plan for shard in share.shards]
    assert len(named) == len(set(named))


def test_shards_with_a_server_here_never_go_elsewhere():
    desk = make_wide_desk(FAR)
    assert not asked(RequestDriver.start(desk, '/many/x'))
    moved = [record(f'{name}-0', name, zone='b') for name in SHARDS[:5]]
    stayed = [record(f'{name}-0', name) for name in SHARDS[5:]]
    desk.fleet.update([*moved, *stayed], 0)
    (command,) = asked(RequestDriver.start(desk, '/many/x'))
    assert [call.shard for call in command.calls] == list(SHARDS[:5])
    assert command.relay.record.data_centre == 'b'


def test_reports_of_relays_make_up_the_answer():
    play = RequestDriver.start(make_wide_desk(), '/many/x')
    commands = asked(play)
    assert sum(len(one.calls) for one in commands) == len(SHARDS)
    assert not sent(play)
    for number, command in enumerate(commands):
        play.step(relayed(20, command, bytes([number]) * 16))
    assert isinstance(play.reply, MergedAnswer)
    assert set(play.reply.signatures) == {f'sig-{shard}' for shard in SHARDS}
    assert play.reply.body == b''.join(bytes([top]) * 16 for top in (5, 4, 3, 2))


def test_what_a_relay_has_not_told_is_hedged_elsewhere_and_only_once():
    play = RequestDriver.start(make_wide_desk(), '/many/x')
    first, *others = asked(play)
    for command in others:
        play.step(relayed(15, command))
    late = first.calls[0].shard
    play.step(RelayCallsSent(2, ((first.calls[0].call_id, f'{late}-0'),)))
    play.step(relayed(15, first, left_out=(late,)))
    for now_ms in range(16, 80):
        play.tick(now_ms)
    (hedge,) = sent(play)
    assert hedge.server.name == f'{late}-1'


def test_a_report_counts_whole_even_if_a_hedge_was_quicker():
    play = RequestDriver.start(make_wide_desk(), '/many/x')
    first, *others = asked(play)
    for command in others[1:]:
        play.step(relayed(15, command))
    for now_ms in range(16, 60):
        play.tick(now_ms)
    hedged = {call.server.record.service: call for call in sent(play)}
    shard = first.calls[3].shard
    play.answer(hedged[shard].call_id, 61, good(b'z' * 16, 'sig-hedge'))
    play.step(relayed(62, first, b'y' * 16))
    play.step(relayed(63, others[0], b'x' * 16))
    assert play.reply.missing == 0
    assert 'sig-hedge' not in play.reply.signatures
    assert play.reply.body == b'y' * 16 + b'x' * 16


@pytest.mark.parametrize(
    ('may_have_run', 'is_extra'),
    [(False, False), (True, True)],
    ids=['never-reached', 'connection-lost'],
)
def test_shards_of_a_lost_relay_are_asked_directly(may_have_run, is_extra):
    desk = make_wide_desk()
    play = RequestDriver.start(desk, '/many/x')
    first = asked(play)[0]
    for call in first.calls:
        play.step(CallFailed(5, call.call_id, CallStep.CONNECT, 'gone', may_have_run))
    assert {call.server.record.service for call in sent(play)} == {
        call.shard for call in first.calls
    }
    assert play.exchange.retries == is_extra * len(first.calls)
    again = RequestDriver.start(desk, '/many/x', now_ms=10)
    assert first.relay.name not in {one.relay.name for one in asked(again)}


@pytest.mark.parametrize('may_have_run', [True, False])
def test_a_shard_that_a_relay_missed_is_asked_directly(may_have_run):
    play = RequestDriver.start(make_wide_desk(), '/many/x')
    call = asked(play)[0].calls[0]
    play.step(RelayCallFailed(5, call.call_id, may_have_run))
    (direct,) = sent(play)
    assert direct.server.record.service == call.shard
    assert play.exchange.retries == 1  # the relay's call may have arrived
    play.fail(direct.call_id, 8)
    assert len(sent(play)) == 1 + (not may_have_run)


def test_all_shares_are_dropped_when_the_caller_leaves():
    play = RequestDriver.start(make_wide_desk(), '/many/x')
    ids = {call.call_id for command in asked(play) for call in command.calls}
    play.step(CallerLeft(5))
    dropped = {one.call_id for one in play.commands if isinstance(one, CancelCall)}
    assert dropped == ids


def make_share(report_ms=40):
    """Return a share of three shards that a relay carries out."""
    desk = make_wide_desk(())
    request = CallerRequest('r1', '', '', '', (), b'', 0, 1000)
    gather = FanOut(SHARDS[:3], 4, 0)
    return desk.open_share(request, 'many', gather, report_ms)


def start_share(report_ms=40):
    """Return a share and its calls by shard."""
    share = make_share(report_ms)
    play = RequestDriver(share)
    play.note(share.start(0))
    return share, play, {call.server.record.service: call for call in sent(play)}


def test_a_relay_reports_together_before_its_time_and_then_at_once():
    share, play, calls = start_share()
    assert share.chosen_servers() == tuple(
        calls[shard].server.name for shard in SHARDS[:3]
    )
    play.answer(calls['k00'].call_id, 10, good(b'a' * 32, 's0'))
    assert share.report(10) is None
    assert share.due_ms <= 40
    play.answer(calls['k01'].call_id, 12, good(b'b' * 48, 's1'))
    report = share.report(40)
    assert [part.signature for part in report.parts] == ['s0', 's1']
    assert report.records == b'b' * 48 + b'a' * 16
    play.answer(calls['k02'].call_id, 45, good(b'c' * 16, 's2'))
    report = share.report(45)
    assert [part.signature for part in report.parts] == ['s2']
    assert report.records == b'c' * 16
    assert share.is_over


def test_a_relay_reports_at_once_when_all_is_in():
    share, play, calls = start_share()
    for call in calls.values():
        play.answer(call.call_id, 10, good(b'a' * 16))
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
def test_a_relay_asks_again_only_what_has_not_run(answer, sends, may_have_run):
    share, play, calls = start_share(report_ms=0)
    play.answer(calls['k00'].call_id, 5, answer)
    of_shard = [call for call in sent(play) if call.server.record.service == 'k00']
    assert len(of_shard) == sends
    report = share.report(5)
    if may_have_run:
        assert report.parts[0].may_have_run
    else:
        assert report is None


def test_a_relay_drops_its_calls_when_nobody_needs_them():
    share, play, calls = start_share()
    play.step(CallerLeft(5))
    dropped = {one.call_id for one in play.commands if isinstance(one, CancelCall)}
    assert dropped == {call.call_id for call in calls.values()}
    assert share.is_over


def test_a_query_counts_once_for_the_budget_however_it_is_sent():
    desk = make_wide_desk()
    RequestDriver.start(desk, '/many/x')
    spare = desk.budgets.of_service('k00').tokens
    share = desk.open_share(
        CallerRequest('r', '', '', '', (), b'', 0, 1000),
        'many',
        FanOut(('k00',), 4, 0),
        40,
    )
    share.start(0)
    assert desk.budgets.of_service('k00').tokens == spare


@pytest.mark.parametrize('has_spoken', [True, False])
def test_a_relay_that_says_nothing_is_not_asked_again(has_spoken):
    """Each query that it was asked for took an extra call of each shard."""
    desk = make_wide_desk()
    play = RequestDriver.start(desk, '/many/x')
    first = asked(play)[0]
    for command in asked(play)[has_spoken is False :]:
        servers = tuple((call.call_id, 'k') for call in command.calls)
        play.step(RelayCallsSent(2, servers))
    again = RequestDriver.start(desk, '/many/x', now_ms=150)
    relays = {one.relay.name for one in asked(again)}
    assert (first.relay.name in relays) == has_spoken
