"""Queries whose snapshot is dropped before a newer one is reported."""

import pytest

from cowsliploom.protocol import Ran, RefusalReason
from cowsliploom.routing import (
    AnswerQuery,
    HealthReported,
    QueryArrived,
    RefusalCause,
    RefuseCaller,
    SendSearch,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only

GONE = RefusalReason.SNAPSHOT_GONE


def drop_first_service(driver, limit_ms=200.0):
    """Make every replica of the first service refuse the pinned snapshot."""
    sent = driver.ask(limit_ms=limit_ms)
    refused = only(driver.refuse(sent['s0'], GONE), SendSearch)
    while refused:
        refused = only(driver.refuse(refused[0], GONE), SendSearch)
    return sent


def report_all(driver, snapshots, services=2, replicas=2, after_ms=1.0):
    """Report the snapshots of every server and return the resulting commands."""
    driver.now_ms += after_ms
    commands = []
    for index in range(services):
        for replica in range(replicas):
            report = samples.make_health(index, replica, services, snapshots)
            event = HealthReported(driver.now_ms, report.server, report)
            commands.extend(driver.step(event))
    return commands


def test_query_waits_for_a_newer_snapshot_and_answers_completely():
    driver = Driver(services=2)
    drop_first_service(driver)
    assert not driver.all(RefuseCaller)
    again = only(report_all(driver, (2,)), SendSearch)
    assert {send.call.snapshot for send in again} == {2}
    for send in again:
        driver.reply(send)
    answer = driver.all(AnswerQuery)[-1]
    assert (answer.snapshot, answer.coverage.missing_services) == (2, ())


@pytest.mark.parametrize('limit_ms', [60.0, 200.0, 5000.0])
def test_wait_ends_with_a_partial_answer_from_the_old_snapshot(limit_ms):
    driver = Driver(services=2)
    sent = drop_first_service(driver, limit_ms)
    driver.reply(sent['s1'])
    assert not driver.all(AnswerQuery)
    driver.tick(min(limit_ms, 400.0))
    answer = driver.all(AnswerQuery)[-1]
    assert (answer.snapshot, answer.coverage.missing_services) == (1, ('s0',))
    assert driver.router.idle


def test_wait_without_any_reply_ends_in_one_refusal():
    driver = Driver(services=1)
    drop_first_service(driver)
    driver.tick(400.0)
    refusals = driver.all(RefuseCaller)
    assert [refusal.cause for refusal in refusals] == [RefusalCause.DEADLINE]
    assert driver.router.idle


def test_query_without_a_snapshot_waits_for_one():
    driver = Driver(services=1)
    drop_first_service(driver)
    late = QueryArrived(
        driver.now_ms, 'late', 'briefing', 'x', 'c', driver.now_ms + 200
    )
    assert not only(driver.step(late), RefuseCaller)
    sent = only(report_all(driver, (2,), services=1), SendSearch)
    for send in sent:
        driver.reply(send)
    answered = {answer.query_id: answer.snapshot for answer in driver.all(AnswerQuery)}
    assert answered == {'q': 2, 'late': 2}


def test_query_is_refused_as_not_run_if_no_snapshot_arrives():
    driver = Driver(services=1)
    drop_first_service(driver)
    late = QueryArrived(
        driver.now_ms, 'late', 'briefing', 'x', 'c', driver.now_ms + 200
    )
    driver.step(late)
    driver.tick(400.0)
    refusals = {refusal.query_id: refusal for refusal in driver.all(RefuseCaller)}
    assert refusals['late'].cause is RefusalCause.NO_SNAPSHOT
    assert refusals['late'].ran is Ran.NO
    assert driver.router.idle


def test_query_without_any_service_left_is_refused_once():
    driver = Driver(services=2)
    sent = driver.ask()
    for service in ('s0', 's1'):
        refused = only(driver.refuse(sent[service], GONE), SendSearch)
        while refused:
            refused = only(driver.refuse(refused[0], GONE), SendSearch)
    driver.tick(400.0)
    assert [refusal.query_id for refusal in driver.all(RefuseCaller)] == ['q']
    assert driver.router.idle
