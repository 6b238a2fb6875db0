"""Hedges, retries, cancellation and partial answers."""

import pytest

from cowsliploom.protocol import Ran, RefusalReason
from cowsliploom.rollout import RecordSample
from cowsliploom.routing import (
    CallerLeft,
    CallFailed,
    CancelAttempt,
    Coverage,
    FailureStep,
    NaiveRouter,
    RefusalCause,
    RetireConnections,
    Router,
    RouterSettings,
    SendSearch,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only
from cowsliploom.routing.tests.loop import Loop, summarise


def answer_all_but_one(driver):
    """Answer all services but the first; return its sub-request."""
    sends = driver.ask()
    for service in ('s1', 's2'):
        driver.reply(sends[service], 0.2)
    return sends['s0']


def test_hedge_is_sent_after_the_quantile_to_another_replica():
    driver = Driver()
    driver.warm_up()
    slow = answer_all_but_one(driver)
    assert not only(driver.tick(1), SendSearch)
    hedge = only(driver.tick(2), SendSearch)
    assert [send.call.service for send in hedge] == ['s0']
    assert hedge[0].server != slow.server
    assert driver.router.counters.hedges == 1


def test_slower_call_is_cancelled_and_sampled_as_a_lower_bound():
    driver = Driver()
    driver.warm_up()
    slow = answer_all_but_one(driver)
    hedge = only(driver.tick(3), SendSearch)[0]
    commands = driver.reply(hedge)
    assert only(commands, CancelAttempt) == [CancelAttempt(slow.call_id, slow.server)]
    sample = only(commands, RecordSample)[-1]
    assert (sample.server, sample.elapsed_ms > 3) == (slow.server, True)
    assert driver.answer.coverage == Coverage(300, 300)


def test_second_hedge_resends_to_the_first_server():
    driver = Driver()
    driver.warm_up()
    slow = answer_all_but_one(driver)
    driver.tick(3)
    commands = driver.tick(10)
    assert only(commands, CancelAttempt) == [CancelAttempt(slow.call_id, slow.server)]
    assert [send.server for send in only(commands, SendSearch)] == [slow.server]
    assert not only(driver.tick(20), SendSearch)


def test_no_hedge_without_budget():
    driver = Driver(settings=RouterSettings(extra_load_ratio=0))
    driver.warm_up()
    hedges = []
    for number in range(4):
        sends = driver.ask(f'q{number}')
        for service in ('s1', 's2'):
            driver.reply(sends[service], 0.2)
        hedges.extend(only(driver.tick(10), SendSearch))
        driver.tick(200)
    assert len(hedges) == 1


def test_no_hedge_while_servers_shed():
    driver = Driver()
    driver.warm_up()
    sends = driver.ask('shed')
    driver.refuse(sends['s0'], RefusalReason.SHED)
    slow = answer_all_but_one(driver)
    assert slow.call.service == 's0'
    assert not driver.router.counters.hedges
    driver.tick(4)
    assert not driver.router.counters.hedges


def test_no_retry_with_less_time_left_than_the_median():
    driver = Driver()
    driver.warm_up(after_ms=40)
    sends = driver.ask()
    driver.now_ms += 182
    refusal = driver.refuse(sends['s0'], RefusalReason.FAILED, Ran.UNKNOWN)
    assert not only(refusal, SendSearch)


def test_failure_is_retried_once_at_another_replica():
    driver = Driver()
    driver.warm_up()
    first = driver.ask()['s0']
    again = only(driver.refuse(first, RefusalReason.FAILED, Ran.UNKNOWN), SendSearch)
    assert again[0].server != first.server
    assert driver.router.counters.retries == 1
    assert not only(
        driver.refuse(again[0], RefusalReason.FAILED, Ran.UNKNOWN), SendSearch
    )


def test_shed_call_is_requeued_with_a_delay():
    driver = Driver(replicas=1)
    driver.warm_up()
    first = driver.ask()['s0']
    assert not only(driver.refuse(first, RefusalReason.SHED, after_ms=0.1), SendSearch)
    assert only(driver.tick(5), SendSearch)[0].call.service == 's0'
    assert driver.router.counters.requeues == 1


def test_shed_call_is_not_resent_without_shed_requeue():
    driver = Driver(replicas=1, settings=RouterSettings(shed_requeue=False))
    first = driver.ask()['s0']
    driver.refuse(first, RefusalReason.SHED)
    assert not only(driver.tick(50), SendSearch)


def test_partial_answer_is_sent_a_margin_before_the_deadline():
    driver = Driver()
    driver.reply(driver.ask(limit_ms=200)['s1'])
    assert not driver.tick(180)
    driver.tick(4)
    assert driver.answer.coverage == Coverage(100, 300, ('s0', 's2'))
    assert len(driver.all(CancelAttempt)) == 2


def test_calls_get_the_deadline_minus_the_margin():
    driver = Driver()
    send = driver.ask(limit_ms=200)['s0']
    assert send.call.timeout_ms == 185
    assert send.deadline_ms == driver.now_ms + 185


def test_query_past_its_deadline_sends_no_calls():
    driver = Driver()
    assert not driver.ask(limit_ms=0)
    assert driver.refusal.cause is RefusalCause.DEADLINE
    assert driver.refusal.ran is Ran.NO


def test_caller_disconnect_cancels_all_calls():
    driver = Driver()
    driver.ask()
    commands = driver.step(CallerLeft(driver.now_ms, 'q'))
    assert len(only(commands, CancelAttempt)) == 3
    assert driver.router.idle


def test_query_without_replies_is_refused_as_unknown():
    driver = Driver()
    driver.ask()
    driver.tick(200)
    assert driver.refusal.cause is RefusalCause.DEADLINE
    assert driver.refusal.ran is Ran.UNKNOWN


def test_timeout_retires_connections_before_the_server_backs_off():
    driver = Driver(replicas=1)
    driver.warm_up()
    silent = driver.ask('one', limit_ms=60)['s0']
    commands = driver.fail(silent, FailureStep.RECEIVE, Ran.UNKNOWN, True, 50)
    assert only(commands, RetireConnections) == [RetireConnections(silent.server)]
    fresh = driver.ask('two', limit_ms=60)['s0']
    assert fresh.server == silent.server
    driver.fail(fresh, FailureStep.RECEIVE, Ran.UNKNOWN, True, 50)
    assert 's0' not in driver.ask('three')


def test_late_timeout_of_a_cancelled_call_retires_connections():
    driver = Driver()
    driver.warm_up()
    slow = answer_all_but_one(driver)
    driver.reply(only(driver.tick(3), SendSearch)[0])
    late = CallFailed(
        driver.now_ms + 90,
        slow.call_id,
        slow.server,
        FailureStep.RECEIVE,
        Ran.UNKNOWN,
        timed_out=True,
    )
    assert RetireConnections(slow.server) in driver.step(late)


def routers(policy, count, **options):
    settings = RouterSettings(**options)
    return [
        policy(f'e{number}', samples.DATA_CENTRES[number % 3], settings, number)
        for number in range(count)
    ]


def run_load(policy, straggler_ratio):
    loop = Loop(routers(policy, 3), services=20, straggler_ratio=straggler_ratio)
    loop.plan_arrivals(150, 100, 3100)
    loop.run(3500)
    return loop, summarise(loop, 600)


def test_rare_stragglers_add_little_latency_and_load():
    plain = run_load(Router, 0)[1]
    loop, metrics = run_load(Router, 0.01)
    naive = run_load(NaiveRouter, 0.01)[1]
    limit_ms = 2.2 * plain['p99_ms']
    assert metrics['p99_ms'] <= limit_ms
    assert naive['p99_ms'] > limit_ms
    assert metrics['partial'] == 0
    counts = [entry.router.counters for entry in loop.entries]
    extra = sum(count.hedges + count.retries for count in counts)
    assert extra <= 0.05 * sum(count.sub_requests for count in counts)


def silence_connections(loop):
    """Silence the connections of one entry VM to a quarter of the servers."""
    entry = loop.entries[0]
    for name in ('s0r0', 's2r0', 's4r1', 's5r0'):
        loop.servers[name].silent_to.add(id(entry))


def test_silent_connections_are_detected_and_retired():
    loop = Loop(routers(Router, 3), services=8)
    loop.plan_arrivals(150, 100, 4000)
    loop.at(1500, silence_connections, loop)
    loop.run(4500)
    metrics = summarise(loop, 600)
    assert metrics['partial'] <= 3
    assert {'s0r0', 's2r0', 's5r0'} <= set(loop.entries[0].retired)
    assert not loop.entries[1].retired
    later = summarise(loop, 2500)
    assert later['partial'] == 0
    assert later['p99_ms'] < 25
    fleet = loop.entries[0].router._fleet
    assert not any(track.is_cold for track in fleet.servers.values())


@pytest.mark.parametrize('straggler_ratio', [0.05, 0.2])
def test_extra_load_stays_within_the_budget(straggler_ratio):
    loop, _ = run_load(Router, straggler_ratio)
    for entry in loop.entries:
        counts = entry.router.counters
        allowed = 0.05 * counts.sub_requests + 1
        assert 0 < counts.hedges + counts.retries <= allowed
