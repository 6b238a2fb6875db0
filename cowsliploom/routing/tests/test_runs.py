"""Non-idempotent requests run at most once, and "not run" is reported correctly."""

import itertools
import random

import pytest

from cowsliploom.protocol import CallRefusal, Ran, RefusalReason, RunReply
from cowsliploom.routing import (
    AnswerRun,
    CallerLeft,
    CallFailed,
    CallRefused,
    CancelAttempt,
    FailureStep,
    NaiveRouter,
    RefuseCaller,
    Router,
    RouterSettings,
    RunReplied,
    SendRun,
    Tick,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only
from cowsliploom.routing.tests.faults import inject_random_fault
from cowsliploom.routing.tests.loop import Loop


def refused(reason, ran, request_id=None):
    def make(driver, send):
        refusal = CallRefusal(request_id or send.call_id, reason, ran, 'i1', 'v1')
        return CallRefused(driver.now_ms, send.call_id, send.server, refusal)

    return make


def failed(step, ran, timed_out=False):
    def make(driver, send):
        return CallFailed(
            driver.now_ms, send.call_id, send.server, step, ran, timed_out
        )

    return make


def replied(**fields):
    def make(driver, send):
        values = {'request_id': send.call_id, 'service': 's0', **fields}
        reply = RunReply(outcome='booked', version='v1', incarnation='i1', **values)
        return RunReplied(driver.now_ms, send.call_id, send.server, reply)

    return make


NOT_RUN = {
    'shed': refused(RefusalReason.SHED, Ran.NO),
    'cold': refused(RefusalReason.COLD, Ran.NO),
    'leaving': refused(RefusalReason.LEAVING, Ran.NO),
    'wrong service': refused(RefusalReason.WRONG_SERVICE, Ran.NO),
    'connection refused': failed(FailureStep.CONNECT, Ran.NO),
    'connect timeout': failed(FailureStep.CONNECT, Ran.NO, timed_out=True),
}
MAY_HAVE_RUN = {
    'internal failure': refused(RefusalReason.FAILED, Ran.UNKNOWN),
    'refusal of another request': refused(RefusalReason.SHED, Ran.NO, 'x.0'),
    'reset while sending': failed(FailureStep.SEND, Ran.UNKNOWN),
    'reset while receiving': failed(FailureStep.RECEIVE, Ran.UNKNOWN),
    'timeout': failed(FailureStep.RECEIVE, Ran.UNKNOWN, timed_out=True),
    'unreadable': failed(FailureStep.DECODE, Ran.UNKNOWN),
    'reply to another request': replied(request_id='x.0'),
    'reply of another service': replied(service='s1'),
}


@pytest.mark.parametrize('fault', NOT_RUN)
def test_run_that_did_not_run_is_sent_to_another_server(fault):
    driver = Driver(services=1)
    first = driver.run()[0]
    again = only(driver.step(NOT_RUN[fault](driver, first)), SendRun)
    assert len(again) == 1
    assert again[0].server != first.server
    assert driver.refusal is None


@pytest.mark.parametrize('fault', NOT_RUN)
def test_run_that_ran_nowhere_is_refused_as_not_run(fault):
    driver = Driver(services=1)
    open_calls = driver.run()
    while open_calls:
        send = open_calls.pop()
        commands = driver.step(NOT_RUN[fault](driver, send))
        open_calls.extend(only(commands, SendRun))
    driver.tick(300)
    assert [refusal.ran for refusal in driver.all(RefuseCaller)] == [Ran.NO]


@pytest.mark.parametrize('fault', MAY_HAVE_RUN)
def test_run_that_may_have_run_is_not_resent(fault):
    driver = Driver(services=1)
    first = driver.run()[0]
    driver.step(MAY_HAVE_RUN[fault](driver, first))
    driver.tick(300)
    assert driver.all(SendRun) == [first]
    assert [refusal.ran for refusal in driver.all(RefuseCaller)] == [Ran.UNKNOWN]


@pytest.mark.parametrize(
    'first, second', list(itertools.product(NOT_RUN, MAY_HAVE_RUN))
)
def test_second_attempt_that_may_have_run_is_refused_as_unknown(first, second):
    driver = Driver(services=1)
    send = driver.run()[0]
    again = only(driver.step(NOT_RUN[first](driver, send)), SendRun)[0]
    driver.step(MAY_HAVE_RUN[second](driver, again))
    driver.tick(300)
    assert driver.all(SendRun) == [send, again]
    assert [refusal.ran for refusal in driver.all(RefuseCaller)] == [Ran.UNKNOWN]


def test_run_is_neither_hedged_nor_cancelled():
    driver = Driver(services=1)
    driver.warm_up()
    first = driver.run()[0]
    for _ in range(40):
        driver.tick(5)
    assert driver.all(SendRun) == [first]
    assert not driver.all(CancelAttempt)
    assert driver.refusal.ran is Ran.UNKNOWN


def test_late_outcome_after_the_refusal_is_discarded():
    driver = Driver(services=1)
    first = driver.run()[0]
    driver.tick(300)
    driver.step(replied()(driver, first))
    assert not driver.all(AnswerRun)
    assert driver.router.idle


def test_queued_run_is_refused_as_not_run():
    driver = Driver(services=1, replicas=1)
    for number in range(9):
        driver.run(f'r{number}', limit_ms=100 + number)
    sent = {send.call_id for send in driver.all(SendRun)}
    driver.tick(300)
    ran_by_query = {
        refusal.query_id: refusal.ran for refusal in driver.all(RefuseCaller)
    }
    assert len(ran_by_query) == 9
    for run_id, ran in ran_by_query.items():
        assert (ran is Ran.UNKNOWN) == (f'{run_id}.0' in sent)


def test_caller_disconnect_drops_only_unsent_runs():
    driver = Driver(services=1, replicas=1)
    first = driver.run('sent')[0]
    for number in range(4):
        driver.run(f'r{number}')
    waiting = f'r{3}'
    driver.step(CallerLeft(driver.now_ms, waiting))
    driver.step(CallerLeft(driver.now_ms, 'sent'))
    driver.step(replied()(driver, first))
    assert driver.all(AnswerRun) == [AnswerRun('sent', 'booked')]
    driver.step(Tick(driver.now_ms + 300))
    assert waiting not in {refusal.query_id for refusal in driver.all(RefuseCaller)}


def run_under_faults(policy, seed):
    routers = [
        policy(f'e{number}', samples.DATA_CENTRES[number], RouterSettings(), seed)
        for number in range(3)
    ]
    loop = Loop(routers, services=2, replicas=3, seed=seed)
    loop.at(50, inject_random_fault, loop, random.Random(seed))
    for number in range(600):
        entry = loop.entries[number % 3]
        service = f's{number % 2}'
        loop.at(20 + number * 4, loop.arrive_run, entry, f'r{number}', service)
    loop.run(3000)
    return loop


def read_log(loop):
    return [
        call_id.rsplit('.', 1)[0]
        for server in loop.servers.values()
        for call_id in server.run_log
    ]


@pytest.mark.parametrize('policy', [Router, NaiveRouter])
@pytest.mark.parametrize('seed', range(6))
def test_runs_execute_at_most_once_and_not_run_is_true(policy, seed):
    loop = run_under_faults(policy, seed)
    logged = read_log(loop)
    assert len(set(logged)) == len(logged)
    refusals = [refusal for entry in loop.entries for refusal in _refusals(entry)]
    for refusal in refusals:
        if refusal.ran is Ran.NO:
            assert refusal.query_id not in logged
    answers = sum(len(entry.answers) for entry in loop.entries)
    assert refusals
    assert answers + len(refusals) == 600


def _refusals(entry):
    return [refusal for _, refusal in entry.refusals.values()]


def test_run_log_detects_a_router_that_resends(monkeypatch):
    monkeypatch.setattr('cowsliploom.routing._runs.read_ran', lambda event: Ran.NO)
    logged = read_log(run_under_faults(Router, 1))
    assert len(set(logged)) < len(logged)
