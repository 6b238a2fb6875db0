"""One request is sent, hedged, retried and answered in time."""

from dataclasses import replace

import pytest

from cowsliploom.forwarding import (
    BackendAnswer,
    CallerLeft,
    CallStep,
    ConstantShare,
    CancelCall,
    MergedAnswer,
    Outcome,
    ForwardedAnswer,
    ServerState,
    Stopping,
    ErrorReply,
)
from cowsliploom.forwarding.tests.desk_world import (
    SHARDS,
    RequestDriver,
    good,
    make_dispatcher,
    record,
    request,
)

NOT_RUN = BackendAnswer(503, ran=False)
WRONG = BackendAnswer(421, ran=False, wrong_server=True)
ERROR = BackendAnswer(500, signature='sig')


def test_an_answer_is_passed_on_as_it_is():
    play = RequestDriver.start(make_dispatcher(), '/safe/x')
    (call_id,) = play.open_ids
    answer = good(b'body')
    play.answer(call_id, 20, answer)
    assert play.reply == ForwardedAnswer(answer)


@pytest.mark.parametrize(
    ('path', 'answer', 'calls_after'),
    [
        ('/safe/x', NOT_RUN, 1),
        ('/once/x', NOT_RUN, 1),
        ('/once/x', WRONG, 1),
        ('/safe/x', ERROR, 1),
        ('/once/x', ERROR, 0),
    ],
)
def test_only_what_has_not_run_or_may_run_twice_is_sent_again(
    path, answer, calls_after
):
    play = RequestDriver.start(make_dispatcher(), path)
    (call_id,) = play.open_ids
    play.answer(call_id, 20, answer)
    assert len(play.open_ids) == calls_after


@pytest.mark.parametrize(
    ('may_have_run', 'outcome'), [(True, Outcome.FAILED), (False, None)]
)
def test_an_unsafe_request_whose_connection_broke_is_not_sent_again(
    may_have_run, outcome
):
    play = RequestDriver.start(make_dispatcher(), '/once/x')
    (call_id,) = play.open_ids
    play.fail(call_id, 5, CallStep.SEND, may_have_run)
    assert getattr(play.reply, 'outcome', None) == outcome
    assert bool(play.open_ids) is not may_have_run


@pytest.mark.parametrize(
    'answer',
    [
        BackendAnswer(200, signature=''),
        BackendAnswer(200, signature='sig', is_encoded=True),
        BackendAnswer(503, signature='sig'),
        BackendAnswer(429, signature='sig'),
    ],
)
def test_an_untrue_answer_is_never_passed_on(answer):
    play = RequestDriver.start(make_dispatcher(), '/once/x')
    play.answer(play.open_ids[0], 20, answer)
    assert isinstance(play.reply, ErrorReply)
    assert play.reply.outcome is Outcome.FAILED


def test_a_failure_is_passed_on_with_its_own_status():
    play = RequestDriver.start(make_dispatcher(), '/once/x')
    play.answer(play.open_ids[0], 20, ERROR)
    assert play.reply == ForwardedAnswer(ERROR)


def test_without_a_server_a_request_is_refused_at_once_and_truly():
    desk = make_dispatcher(servers=0)
    play = RequestDriver.start(desk, '/once/x')
    assert play.reply.outcome is Outcome.REFUSED
    assert play.reply.retry_after_ms > 0
    assert not play.calls


def test_a_slow_call_is_hedged_once_at_another_server():
    play = RequestDriver.start(make_dispatcher(), '/safe/x')
    first = play.calls[play.open_ids[0]].server
    play.tick(play.exchange.due_ms)
    play.tick(300)
    play.tick(400)
    assert len(play.open_ids) == 2
    assert play.calls[play.open_ids[1]].server is not first


def test_an_unsafe_request_is_never_hedged():
    play = RequestDriver.start(make_dispatcher(), '/once/x')
    for now_ms in range(0, 4000, 100):
        play.tick(now_ms)
    assert len(play.calls) == 1


def test_parts_of_all_shards_are_merged_greatest_first():
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    assert len(play.open_ids) == len(SHARDS)
    for number, call_id in enumerate(play.open_ids):
        body = bytes([number]) * 16
        play.answer(call_id, 20, good(body, f'sig{number}'))
    assert isinstance(play.reply, MergedAnswer)
    assert play.reply.missing == 0
    assert play.reply.body == b''.join(bytes([top]) * 16 for top in (9, 8, 7, 6))


@pytest.mark.parametrize(('missing', 'answered'), [(0, 20), (2, 97), (3, None)])
def test_an_answer_goes_out_at_its_target_if_enough_parts_are_in(missing, answered):
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in play.open_ids[missing:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    if missing:
        assert play.reply is None
        play.tick(96.9)
        assert play.reply is None
        play.tick(97)
    assert (play.reply is not None) is (answered is not None)


def test_a_late_answer_that_becomes_whole_enough_is_delivered():
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    ids = play.open_ids
    for call_id in ids[3:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    play.tick(97)
    assert play.reply is None
    play.answer(ids[0], 300, good(b'a' * 16, 'late'))
    assert isinstance(play.reply, MergedAnswer)


def test_a_failure_is_no_part():
    play = RequestDriver.start(make_dispatcher(servers=1), '/wide/x')
    ids = play.open_ids
    play.answer(ids[0], 10, ERROR)
    for call_id in ids[1:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    assert play.reply.missing == 1
    assert 'sig' not in play.reply.signatures


def test_a_request_has_a_final_answer_by_its_routes_timeout():
    play = RequestDriver.start(make_dispatcher(), '/wide/x', patience_ms=60_000)
    for now_ms in range(0, 1501, 5):
        play.tick(now_ms)
    assert play.reply.outcome is Outcome.TIMED_OUT


def test_calls_are_dropped_when_the_caller_leaves():
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    play.step(CallerLeft(30))
    drops = [command for command in play.commands if isinstance(command, CancelCall)]
    assert len(drops) == len(SHARDS)
    assert play.exchange.is_over


def test_calls_that_nobody_needs_are_dropped_soon_after_the_answer():
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in play.open_ids[1:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    play.tick(97)
    assert not play.exchange.is_over
    play.tick(play.exchange.due_ms)
    assert play.exchange.is_over


def test_a_server_that_stays_silent_comes_to_rest():
    desk = make_dispatcher()
    play = RequestDriver.start(desk, '/wide/x')
    silent = play.calls[play.open_ids[0]].server
    for call_id in play.open_ids[1:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    play.tick(97)
    play.tick(play.exchange.due_ms)
    assert silent.is_resting(400)
    for now_ms in (500, 520, 540):
        later = RequestDriver.start(desk, '/wide/x', now_ms=now_ms)
        assert all(call.server is not silent for call in later.calls.values())


def test_no_call_is_sent_at_the_moment_of_the_answer():
    play = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in play.open_ids[1:]:
        play.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    play.tick(97)
    assert len(play.open_ids) == 1


def test_a_running_request_keeps_the_version_it_began_with():
    desk = make_dispatcher()
    play = RequestDriver.start(desk, '/wide/x')
    desk.apply_table(desk.table.__class__(9, ()))
    for number, call_id in enumerate(play.open_ids):
        play.answer(call_id, 20, good(b'a' * 16, f'sig{number}'))
    assert isinstance(play.reply, MergedAnswer)
    assert isinstance(desk.open(play.exchange.request), ErrorReply)


def test_an_older_version_is_never_taken():
    desk = make_dispatcher()
    assert not desk.apply_table(desk.table.__class__(3, ()))
    assert not desk.apply_table(desk.table.__class__(2, ()))


def test_extra_calls_of_a_service_stay_within_the_budget():
    desk = make_dispatcher()
    desk.budgets.read_share = lambda: ConstantShare(1 / 8, is_settled=True)
    sent = 0
    requests = 200
    for number in range(requests):
        now_ms = number * 10.0
        play = RequestDriver.start(desk, '/safe/x', now_ms=now_ms)
        sent += 1
        play.answer(play.open_ids[0], now_ms + 1, ERROR)
        for call_id in play.open_ids:
            sent += 1
            play.answer(call_id, now_ms + 2, good())
    assert requests < sent <= 1.2 * requests + 56 / 8


@pytest.mark.parametrize(
    ('changes', 'is_sent'),
    [
        ({}, True),
        ({'state': ServerState.DRAINING}, False),
        ({'cold_ms': 3000}, False),
        ({'zone': 'closed'}, False),
    ],
)
def test_no_new_request_goes_where_none_may(changes, is_sent):
    desk = make_dispatcher(owns=lambda server: False, servers=0)
    desk.fleet.closed_data_centres = frozenset(('closed',))
    desk.fleet.update([record('only', 'one', **changes)], 0)
    play = RequestDriver.start(desk, '/safe/x')
    assert bool(play.calls) is is_sent


def test_the_owner_of_a_cold_server_sends_it_two_requests_a_second_at_most():
    desk = make_dispatcher(servers=0)
    desk.fleet.update([record('cold', 'one', cold_ms=60_000)], 0)
    sent = 0
    for now_ms in range(0, 2000, 10):
        play = RequestDriver.start(desk, '/safe/x', now_ms=float(now_ms))
        sent += len(play.calls)
        for call_id in play.open_ids:
            play.answer(call_id, now_ms + 1, good())
    assert sent == 4


@pytest.mark.parametrize(
    ('path_ms', 'late_ms', 'answered_ms'),
    [(0, 0, 97), (6, 0, 91), (6, 4, 83), (6, 400, 75)],
)
def test_an_answer_leaves_time_for_its_way_and_for_a_loop_that_is_behind(
    path_ms, late_ms, answered_ms
):
    desk = make_dispatcher()
    for _ in range(20):
        desk.record_loop_lag(late_ms)
    play = RequestDriver(desk.open(replace(request('/wide/x'), path_ms=path_ms)))
    play.note(play.exchange.start(0))
    for call_id in play.open_ids[1:]:
        play.answer(call_id, 10, good(b'x' * 16))
    play.tick(answered_ms - 1)
    assert play.reply is None
    play.tick(answered_ms)
    assert isinstance(play.reply, MergedAnswer)


@pytest.mark.parametrize('status', [302, 400, 404, 413, 431, 500])
@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_an_unsigned_failure_is_not_passed_on_as_the_answer(status, path):
    """Bytes of a server in trouble that read as a 404 are no answer of it."""
    play = RequestDriver.start(make_dispatcher(servers=1), path)
    (call_id,) = play.open_ids
    play.answer(call_id, 10, BackendAnswer(status))
    assert play.reply.outcome is Outcome.FAILED


@pytest.mark.parametrize(
    ('path', 'parts', 'outcome'),
    [
        ('/safe/x', 0, Outcome.TIMED_OUT),
        ('/once/x', 0, Outcome.TIMED_OUT),
        ('/wide/x', 7, Outcome.TIMED_OUT),
        ('/wide/x', 8, None),
    ],
)
def test_a_process_that_stops_answers_with_what_there_is(path, parts, outcome):
    """Open requests were cut without an answer."""
    play = RequestDriver.start(make_dispatcher(), path)
    for number, call_id in enumerate(play.open_ids[:parts]):
        play.answer(call_id, 5, good(b'a' * 16, f'sig{number}'))
    assert play.reply is None
    play.step(Stopping(10))
    if outcome is None:
        assert isinstance(play.reply, MergedAnswer)
    else:
        assert play.reply.outcome is outcome
    assert play.exchange.is_over


def test_a_process_that_stops_refuses_what_was_never_sent():
    desk = make_dispatcher(servers=1)
    desk.fleet.get('one-0').shed(0)
    play = RequestDriver.start(desk, '/once/x')
    assert not play.calls
    play.step(Stopping(2))
    assert play.reply.outcome is Outcome.REFUSED
