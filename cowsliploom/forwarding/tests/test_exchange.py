"""One request is sent, hedged, retried and answered within its deadlines."""

from dataclasses import replace

import pytest

from cowsliploom.forwarding import (
    BackendAnswer,
    CallerLeft,
    CallStep,
    CancelCall,
    ConstantShare,
    ErrorReply,
    ForwardedAnswer,
    MergedAnswer,
    Outcome,
    ServerState,
    Stopping,
)
from cowsliploom.forwarding.tests.dispatcher_harness import (
    SHARDS,
    RequestDriver,
    good,
    make_dispatcher,
    record,
    request,
)

NOT_RUN = BackendAnswer(503, ran=False)
WRONG_SERVER = BackendAnswer(421, ran=False, wrong_server=True)
ERROR = BackendAnswer(500, signature='sig')


def test_good_answer_is_forwarded_unchanged():
    driver = RequestDriver.start(make_dispatcher(), '/safe/x')
    (call_id,) = driver.open_ids
    answer = good(b'body')
    driver.answer(call_id, 20, answer)
    assert driver.reply == ForwardedAnswer(answer)


@pytest.mark.parametrize(
    ('path', 'answer', 'calls_after'),
    [
        ('/safe/x', NOT_RUN, 1),
        ('/once/x', NOT_RUN, 1),
        ('/once/x', WRONG_SERVER, 1),
        ('/safe/x', ERROR, 1),
        ('/once/x', ERROR, 0),
    ],
)
def test_only_not_run_or_repeatable_requests_are_resent(path, answer, calls_after):
    driver = RequestDriver.start(make_dispatcher(), path)
    (call_id,) = driver.open_ids
    driver.answer(call_id, 20, answer)
    assert len(driver.open_ids) == calls_after


def test_call_without_room_is_refused_at_once_and_its_server_not_blamed():
    dispatcher = make_dispatcher()
    for number in range(20):
        driver = RequestDriver.start(dispatcher, '/safe/x')
        (call_id,) = driver.open_ids
        driver.fail(call_id, number, CallStep.LOCAL, may_have_run=False)
        assert driver.reply.outcome is Outcome.REFUSED
        assert not driver.open_ids
    later = RequestDriver.start(dispatcher, '/safe/x')
    assert len(later.open_ids) == 1


@pytest.mark.parametrize(
    ('may_have_run', 'outcome'), [(True, Outcome.FAILED), (False, None)]
)
def test_unrepeatable_request_is_resent_only_if_it_did_not_run(may_have_run, outcome):
    driver = RequestDriver.start(make_dispatcher(), '/once/x')
    (call_id,) = driver.open_ids
    driver.fail(call_id, 5, CallStep.SEND, may_have_run)
    assert getattr(driver.reply, 'outcome', None) == outcome
    assert bool(driver.open_ids) is not may_have_run


@pytest.mark.parametrize(
    'answer',
    [
        BackendAnswer(200, signature=''),
        BackendAnswer(200, signature='sig', is_encoded=True),
        BackendAnswer(503, signature='sig'),
        BackendAnswer(429, signature='sig'),
    ],
)
def test_misleading_answer_is_never_forwarded(answer):
    driver = RequestDriver.start(make_dispatcher(), '/once/x')
    driver.answer(driver.open_ids[0], 20, answer)
    assert isinstance(driver.reply, ErrorReply)
    assert driver.reply.outcome is Outcome.FAILED


def test_signed_failure_is_forwarded_with_its_status():
    driver = RequestDriver.start(make_dispatcher(), '/once/x')
    driver.answer(driver.open_ids[0], 20, ERROR)
    assert driver.reply == ForwardedAnswer(ERROR)


def test_request_without_a_server_is_refused_at_once_and_not_sent():
    dispatcher = make_dispatcher(servers=0)
    driver = RequestDriver.start(dispatcher, '/once/x')
    assert driver.reply.outcome is Outcome.REFUSED
    assert driver.reply.retry_after_ms > 0
    assert not driver.calls


def test_slow_call_is_hedged_once_at_another_server():
    driver = RequestDriver.start(make_dispatcher(), '/safe/x')
    first = driver.calls[driver.open_ids[0]].server
    driver.tick(driver.exchange.due_ms)
    driver.tick(300)
    driver.tick(400)
    assert len(driver.open_ids) == 2
    assert driver.calls[driver.open_ids[1]].server is not first


def test_unrepeatable_request_is_never_hedged():
    driver = RequestDriver.start(make_dispatcher(), '/once/x')
    for now_ms in range(0, 4000, 100):
        driver.tick(now_ms)
    assert len(driver.calls) == 1


def test_records_of_all_shards_are_merged_greatest_first():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    assert len(driver.open_ids) == len(SHARDS)
    for number, call_id in enumerate(driver.open_ids):
        body = bytes([number]) * 16
        driver.answer(call_id, 20, good(body, f'sig{number}'))
    assert isinstance(driver.reply, MergedAnswer)
    assert driver.reply.missing == 0
    assert driver.reply.body == b''.join(bytes([top]) * 16 for top in (9, 8, 7, 6))


@pytest.mark.parametrize(('missing', 'answered'), [(0, 20), (2, 97), (3, None)])
def test_partial_answer_is_sent_near_the_target_if_coverage_suffices(missing, answered):
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in driver.open_ids[missing:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    if missing:
        assert driver.reply is None
        driver.tick(96.9)
        assert driver.reply is None
        driver.tick(97)
    assert (driver.reply is not None) is (answered is not None)


def test_answer_that_reaches_coverage_after_the_target_is_sent():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    ids = driver.open_ids
    for call_id in ids[3:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    driver.tick(97)
    assert driver.reply is None
    driver.answer(ids[0], 300, good(b'a' * 16, 'late'))
    assert isinstance(driver.reply, MergedAnswer)


def test_failure_counts_as_a_missing_shard():
    driver = RequestDriver.start(make_dispatcher(servers=1), '/wide/x')
    ids = driver.open_ids
    driver.answer(ids[0], 10, ERROR)
    for call_id in ids[1:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    assert driver.reply.missing == 1
    assert 'sig' not in driver.reply.signatures


def test_request_times_out_by_its_route_timeout():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x', patience_ms=60_000)
    for now_ms in range(0, 1501, 5):
        driver.tick(now_ms)
    assert driver.reply.outcome is Outcome.TIMED_OUT


def test_calls_are_cancelled_when_the_caller_leaves():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    driver.step(CallerLeft(30))
    cancelled = [
        command for command in driver.commands if isinstance(command, CancelCall)
    ]
    assert len(cancelled) == len(SHARDS)
    assert driver.exchange.is_over


def test_lingering_calls_are_cancelled_after_the_reply():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in driver.open_ids[1:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    driver.tick(97)
    assert not driver.exchange.is_over
    driver.tick(driver.exchange.due_ms)
    assert driver.exchange.is_over


def test_silent_server_is_ejected():
    dispatcher = make_dispatcher()
    driver = RequestDriver.start(dispatcher, '/wide/x')
    silent = driver.calls[driver.open_ids[0]].server
    for call_id in driver.open_ids[1:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    driver.tick(97)
    driver.tick(driver.exchange.due_ms)
    assert silent.is_ejected(400)
    for now_ms in (500, 520, 540):
        later = RequestDriver.start(dispatcher, '/wide/x', now_ms=now_ms)
        assert all(call.server is not silent for call in later.calls.values())


def test_no_call_is_sent_with_the_reply():
    driver = RequestDriver.start(make_dispatcher(), '/wide/x')
    for call_id in driver.open_ids[1:]:
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{call_id}'))
    driver.tick(97)
    assert len(driver.open_ids) == 1


def test_open_request_keeps_the_route_table_it_started_with():
    dispatcher = make_dispatcher()
    driver = RequestDriver.start(dispatcher, '/wide/x')
    dispatcher.apply_table(dispatcher.table.__class__(9, ()))
    for number, call_id in enumerate(driver.open_ids):
        driver.answer(call_id, 20, good(b'a' * 16, f'sig{number}'))
    assert isinstance(driver.reply, MergedAnswer)
    assert isinstance(dispatcher.open(driver.exchange.request), ErrorReply)


def test_route_table_of_same_or_older_version_is_not_applied():
    dispatcher = make_dispatcher()
    assert not dispatcher.apply_table(dispatcher.table.__class__(3, ()))
    assert not dispatcher.apply_table(dispatcher.table.__class__(2, ()))


def test_extra_calls_of_a_service_stay_within_the_budget():
    dispatcher = make_dispatcher()
    dispatcher.budgets.read_share = lambda: ConstantShare(1 / 8, is_settled=True)
    sent = 0
    requests = 200
    for number in range(requests):
        now_ms = number * 10.0
        driver = RequestDriver.start(dispatcher, '/safe/x', now_ms=now_ms)
        sent += 1
        driver.answer(driver.open_ids[0], now_ms + 1, ERROR)
        for call_id in driver.open_ids:
            sent += 1
            driver.answer(call_id, now_ms + 2, good())
    assert requests < sent <= 1.2 * requests + 56 / 8


@pytest.mark.parametrize(
    ('changes', 'is_sent'),
    [
        ({}, True),
        ({'state': ServerState.DRAINING}, False),
        ({'cold_ms': 3000}, False),
        ({'data_centre': 'closed'}, False),
    ],
)
def test_draining_cold_or_closed_server_gets_no_request(changes, is_sent):
    dispatcher = make_dispatcher(owns=lambda server: False, servers=0)
    dispatcher.fleet.closed_data_centres = frozenset(('closed',))
    dispatcher.fleet.update([record('only', 'one', **changes)], 0)
    driver = RequestDriver.start(dispatcher, '/safe/x')
    assert bool(driver.calls) is is_sent


def test_cold_server_gets_two_requests_per_second_from_its_owner():
    dispatcher = make_dispatcher(servers=0)
    dispatcher.fleet.update([record('cold', 'one', cold_ms=60_000)], 0)
    sent = 0
    for now_ms in range(0, 2000, 10):
        driver = RequestDriver.start(dispatcher, '/safe/x', now_ms=float(now_ms))
        sent += len(driver.calls)
        for call_id in driver.open_ids:
            driver.answer(call_id, now_ms + 1, good())
    assert sent == 4


@pytest.mark.parametrize(
    ('path_ms', 'lag_ms', 'answered_ms'),
    [(0, 0, 97), (6, 0, 91), (6, 4, 83), (6, 400, 75)],
)
def test_answer_margin_covers_network_time_and_loop_lag(path_ms, lag_ms, answered_ms):
    dispatcher = make_dispatcher()
    for _ in range(20):
        dispatcher.record_loop_lag(lag_ms)
    driver = RequestDriver(
        dispatcher.open(replace(request('/wide/x'), path_ms=path_ms))
    )
    driver.collect(driver.exchange.start(0))
    for call_id in driver.open_ids[1:]:
        driver.answer(call_id, 10, good(b'x' * 16))
    driver.tick(answered_ms - 1)
    assert driver.reply is None
    driver.tick(answered_ms)
    assert isinstance(driver.reply, MergedAnswer)


@pytest.mark.parametrize('status', [302, 400, 404, 413, 431, 500])
@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_unsigned_failure_is_not_forwarded(status, path):
    """Garbage from a faulty server that parses as a 404 is not its answer."""
    driver = RequestDriver.start(make_dispatcher(servers=1), path)
    (call_id,) = driver.open_ids
    driver.answer(call_id, 10, BackendAnswer(status))
    assert driver.reply.outcome is Outcome.FAILED


@pytest.mark.parametrize(
    ('path', 'parts', 'outcome'),
    [
        ('/safe/x', 0, Outcome.TIMED_OUT),
        ('/once/x', 0, Outcome.TIMED_OUT),
        ('/wide/x', 7, Outcome.TIMED_OUT),
        ('/wide/x', 8, None),
    ],
)
def test_stopping_process_replies_with_available_answers(path, parts, outcome):
    """Guards against a stop that leaves open requests without a reply."""
    driver = RequestDriver.start(make_dispatcher(), path)
    for number, call_id in enumerate(driver.open_ids[:parts]):
        driver.answer(call_id, 5, good(b'a' * 16, f'sig{number}'))
    assert driver.reply is None
    driver.step(Stopping(10))
    if outcome is None:
        assert isinstance(driver.reply, MergedAnswer)
    else:
        assert driver.reply.outcome is outcome
    assert driver.exchange.is_over


def test_stopping_process_refuses_unsent_request():
    dispatcher = make_dispatcher(servers=1)
    dispatcher.fleet.get('one-0').record_shed(0)
    driver = RequestDriver.start(dispatcher, '/once/x')
    assert not driver.calls
    driver.step(Stopping(2))
    assert driver.reply.outcome is Outcome.REFUSED
