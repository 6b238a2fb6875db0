"""Pinned snapshots, coverage and mismatched replies."""

import pytest

from cowsliploom.protocol import DocRange, RefusalReason, SnapshotInfo
from cowsliploom.routing import CancelAttempt, Coverage, HealthReported, SendSearch
from cowsliploom.routing._coverage import count_docs, measure_coverage
from cowsliploom.routing._snapshots import (
    Plan,
    SnapshotTable,
    apply_report,
    pin_snapshot,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only


def table_of(*holdings):
    """Build a table from (index, replica, snapshots)."""
    table = SnapshotTable()
    for index, replica, snapshots in holdings:
        report = samples.make_health(index, replica, 2, snapshots)
        table = apply_report(table, report)
    return table


def can_answer_from(table, lost=()):
    def can_answer(service, snapshot):
        return any(
            snapshot in holding.snapshots
            for server, holding in table.holdings.items()
            if server.startswith(f'{service}r') and server not in lost
        )

    return can_answer


@pytest.mark.parametrize(
    'holdings, lost, snapshot',
    [
        ([(0, 0, (1, 2)), (1, 0, (1, 2))], (), 2),
        ([(0, 0, (1, 2)), (1, 0, (1,))], (), 1),
        ([(0, 0, (1, 2)), (1, 0, (1,)), (1, 1, (1, 2))], (), 2),
        ([(0, 0, (1, 2)), (1, 0, (1,)), (1, 1, (1, 2))], ('s1r1',), 1),
        ([(0, 0, (2,)), (1, 0, (1,))], (), 2),
        ([(0, 0, (1,)), (1, 0, (1,))], ('s0r0', 's1r0'), None),
    ],
)
def test_newest_snapshot_with_best_coverage_is_pinned(holdings, lost, snapshot):
    table = table_of(*holdings)
    plan = pin_snapshot(table, ('s0', 's1'), can_answer_from(table, lost))
    assert (plan and plan.snapshot) == snapshot


def test_documents_of_a_lost_server_stay_in_the_total():
    table = table_of((0, 0, (1,)), (1, 0, (1,)))
    plan = pin_snapshot(table, ('s0', 's1'), can_answer_from(table, ('s1r0',)))
    assert plan.total_docs == 200
    assert dict(plan.shards)['s1'] == (samples.shard_range(1),)


def test_unchanged_report_returns_the_same_table():
    table = table_of((0, 0, (1,)))
    assert apply_report(table, samples.make_health(0, 0, 2)) is table


@pytest.mark.parametrize(
    'ranges, count',
    [
        ([], 0),
        ([(0, 10), (10, 20)], 20),
        ([(0, 10), (5, 15)], 15),
        ([(5, 15), (0, 30), (2, 3)], 30),
        ([(7, 7), (9, 8)], 0),
    ],
)
def test_overlapping_ranges_count_once(ranges, count):
    assert count_docs(DocRange(*span) for span in ranges) == count


@pytest.mark.parametrize(
    'reply_ranges, coverage',
    [
        ([(0, 100)], Coverage(100, 200, ('s1',))),
        ([(0, 60)], Coverage(60, 200, ('s0', 's1'))),
        ([(0, 60), (60, 100)], Coverage(100, 200, ('s1',))),
        ([(0, 900)], Coverage(200, 200, ('s1',))),
    ],
)
def test_coverage_counts_the_ranges_in_replies(reply_ranges, coverage):
    shards = (('s0', (DocRange(0, 100),)), ('s1', (DocRange(100, 200),)))
    driver = Driver(services=2)
    send = driver.ask()['s0']
    ranges = tuple(DocRange(*span) for span in reply_ranges)
    reply = samples.make_reply(send.call, ranges=ranges)
    assert measure_coverage(Plan(1, 200, shards), {'s0': reply}) == coverage


@pytest.mark.parametrize(
    'fields, counter',
    [
        ({'request_id': 'q.9'}, 'crossed_replies'),
        ({'service': 's1'}, 'crossed_replies'),
        ({'snapshot': 7}, 'snapshot_mismatches'),
    ],
)
def test_mismatched_reply_is_retried_at_another_replica(fields, counter):
    driver = Driver()
    driver.warm_up()
    sends = driver.ask()
    again = only(driver.reply(sends['s0'], **fields), SendSearch)
    assert getattr(driver.router.counters, counter) == 1
    assert [send.call.service for send in again] == ['s0']
    assert again[0].server != sends['s0'].server
    for send in (again[0], sends['s1'], sends['s2']):
        driver.reply(send)
    assert driver.answer.coverage == Coverage(300, 300)


def test_reply_from_another_server_is_discarded():
    driver = Driver()
    sends = driver.ask()
    driver.reply(sends['s0'], server='s1r1')
    assert driver.router.counters.foreign_replies == 1
    for send in sends.values():
        driver.reply(send)
    assert driver.answer.coverage == Coverage(300, 300)


def test_duplicate_and_late_replies_are_counted_and_discarded():
    driver = Driver()
    sends = driver.ask()
    for send in (sends['s0'], sends['s0'], sends['s1']):
        driver.reply(send)
    driver.tick(200)
    answered = list(driver.commands)
    driver.reply(sends['s2'])
    assert driver.router.counters.late_replies == 2
    assert driver.answer.coverage == Coverage(200, 300, ('s2',))
    assert driver.commands == answered


def test_dropped_snapshot_is_rerouted_to_the_other_replica():
    driver = Driver()
    sends = driver.ask()
    again = only(driver.refuse(sends['s0'], RefusalReason.SNAPSHOT_GONE), SendSearch)
    assert again[0].server != sends['s0'].server
    assert again[0].call.snapshot == 1
    assert driver.router.counters.reroutes == 1


def drop_snapshot_everywhere(driver, sends):
    """Make both replicas of the first service refuse the first snapshot."""
    again = only(driver.refuse(sends['s0'], RefusalReason.SNAPSHOT_GONE), SendSearch)
    return driver.refuse(again[0], RefusalReason.SNAPSHOT_GONE)


def test_query_restarts_all_services_on_newer_snapshot():
    driver = Driver(snapshots=(1, 2))
    for server in ('s1r0', 's1r1'):
        report = samples.make_health(1, int(server[-1]), 3, (1,))
        driver.step(HealthReported(2.0, server, report))
    sends = driver.ask()
    assert {send.call.snapshot for send in sends.values()} == {1}
    driver.reply(sends['s1'])
    for replica in (0, 1):
        report = samples.make_health(1, replica, 3, (1, 2))
        driver.step(HealthReported(driver.now_ms, report.server, report))
    commands = drop_snapshot_everywhere(driver, sends)
    restarted = only(commands, SendSearch)
    assert {send.call.snapshot for send in restarted} == {2}
    assert len(restarted) == 3
    assert [cancel.call_id for cancel in only(commands, CancelAttempt)] == ['q.2']
    for send in restarted:
        driver.reply(send)
    assert driver.answer.snapshot == 2
    assert driver.answer.coverage == Coverage(300, 300)
    assert driver.router.counters.restarts == 1


@pytest.mark.parametrize(
    'snapshots, waited_ms, wait_ms', [((1,), 0, 200), ((1, 2), 168, 0)]
)
def test_answer_is_partial_without_newer_snapshot_or_time(
    snapshots, waited_ms, wait_ms
):
    driver = Driver(snapshots=(1,))
    sends = driver.ask()
    for index in (0, 1, 2):
        for replica in (0, 1):
            report = samples.make_health(index, replica, 3, snapshots)
            driver.step(HealthReported(driver.now_ms, report.server, report))
    driver.now_ms += waited_ms
    drop_snapshot_everywhere(driver, sends)
    for service in ('s1', 's2'):
        driver.reply(sends[service])
    assert (driver.answer is None) is (wait_ms > 0)
    driver.tick(wait_ms)
    assert driver.answer.snapshot == 1
    assert driver.answer.coverage == Coverage(200, 300, ('s0',))
    assert not driver.router.counters.restarts


def test_late_health_report_does_not_restore_a_dropped_snapshot():
    driver = Driver()
    sends = driver.ask()
    drop_snapshot_everywhere(driver, sends)
    for replica in (0, 1):
        report = samples.make_health(0, replica, 3, (1,))
        driver.step(HealthReported(driver.now_ms, report.server, report))
    assert 's0' not in driver.ask('next')


def test_reply_with_part_of_the_shard_lowers_coverage():
    driver = Driver()
    info = SnapshotInfo(1, 's0', (DocRange(0, 100),), 300)
    assert info.total_docs == 300
    sends = driver.ask()
    driver.reply(sends['s0'], ranges=(DocRange(0, 40),))
    for service in ('s1', 's2'):
        driver.reply(sends[service])
    assert driver.answer.coverage == Coverage(240, 300, ('s0',))


def test_repartition_counts_each_document_once():
    """Snapshot 2 moves documents 50 to 100 from the first service to the second."""
    driver = Driver(services=2, snapshots=(1,))
    moved = {0: (DocRange(0, 50),), 1: (DocRange(50, 200),)}
    sends = driver.ask('before')
    for index in (0, 1):
        for replica in (0, 1):
            report = samples.make_health(index, replica, 2, (1,))
            info = SnapshotInfo(2, report.service, moved[index], 200)
            infos = (*report.snapshots, info)
            fields = (report.server, report.service, 'i1', 'v1', report.state, infos)
            driver.step(
                HealthReported(driver.now_ms, report.server, type(report)(*fields))
            )
    for send in sends.values():
        driver.reply(send)
    assert driver.answer.coverage == Coverage(200, 200)
    assert driver.answer.snapshot == 1
    after = driver.ask('after')
    assert {send.call.snapshot for send in after.values()} == {2}
    driver.reply(after['s0'], ranges=moved[0])
    driver.tick(200)
    assert driver.answer.coverage == Coverage(50, 200, ('s1',))
