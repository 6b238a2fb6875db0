"""Server selection by data centre, state, version, limits and failures."""

from collections import Counter

import pytest

from cowsliploom.protocol import Ran, RefusalReason, ServerState
from cowsliploom.rollout import RecordSample, SharesChanged, VersionShare
from cowsliploom.routing import (
    CancelAttempt,
    ConfigurationApplied,
    Coverage,
    EntryCountChanged,
    FailureStep,
    HealthReported,
    RefusalCause,
    Router,
    RouterSettings,
    SendSearch,
    ServersLeaving,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only
from cowsliploom.routing.tests.loop import Loop


def count_calls_by_server(driver, queries=12, answer=True, **fields):
    """Count the calls to each server of the first service over successive queries."""
    seen = Counter()
    for number in range(queries):
        sends = driver.ask(f'{driver.now_ms:.1f}-{number}')
        if 's0' in sends:
            seen[sends['s0'].server] += 1
        for send in sends.values() if answer else ():
            driver.reply(send, 0.2, **fields)
    return seen


def test_local_data_centre_is_preferred():
    assert set(count_calls_by_server(Driver(replicas=3))) == {'s0r0'}


def test_remote_servers_are_used_when_local_ones_are_full():
    seen = count_calls_by_server(Driver(), 4, answer=False)
    assert set(seen) == {'s0r0', 's0r1'}


def take_data_centre_out(driver):
    configuration = samples.make_configuration(revision=2, out=('gogledd',))
    driver.step(ConfigurationApplied(driver.now_ms, configuration))


def list_as_leaving(driver):
    driver.step(ServersLeaving(driver.now_ms, frozenset(('s0r0',))))


def report_leaving_in_health(driver):
    report = samples.make_health(0, 0, state=ServerState.LEAVING)
    driver.step(HealthReported(driver.now_ms, 's0r0', report))


def report_leaving_in_reply(driver):
    sends = driver.ask('leaving')
    driver.reply(sends['s0'], state=ServerState.LEAVING)


def refuse_as_leaving(driver):
    sends = driver.ask('leaving')
    again = only(driver.refuse(sends['s0'], RefusalReason.LEAVING), SendSearch)
    assert [send.server for send in again] == ['s0r1']


@pytest.mark.parametrize(
    'event',
    [
        take_data_centre_out,
        list_as_leaving,
        report_leaving_in_health,
        report_leaving_in_reply,
        refuse_as_leaving,
    ],
)
def test_withdrawn_server_gets_no_new_work_and_finishes_calls_in_flight(event):
    driver = Driver()
    sends = driver.ask('before')
    event(driver)
    assert set(count_calls_by_server(driver)) == {'s0r1'}
    for send in sends.values():
        driver.reply(send, 0.1)
    assert driver.answer.coverage == Coverage(300, 300)


def test_stale_health_report_does_not_restore_a_leaving_server():
    driver = Driver()
    report_leaving_in_reply(driver)
    driver.step(HealthReported(driver.now_ms, 's0r0', samples.make_health(0, 0)))
    assert set(count_calls_by_server(driver)) == {'s0r1'}


def move(driver, share):
    shares = (VersionShare('s0', 'v1', 'v2', share),)
    driver.step(SharesChanged(driver.now_ms, shares))


NEW_SERVERS = frozenset(('s0r0', 's0r1'))


def list_called_servers(driver):
    """Return the servers that received a search call."""
    return {send.server for send in driver.all(SendSearch)}


def with_new_version_preferred(**options):
    """Start with the new version in the local data centre, which is preferred."""
    return start_with_versions(('v2', 'v1'), **options)


def start_with_versions(versions, **options):
    """Start with servers of the given versions."""
    driver = Driver(services=1, versions=versions, **options)
    for replica, version in enumerate(versions):
        report = samples.make_health(0, replica, 1, version=version)
        driver.step(HealthReported(driver.now_ms, report.server, report))
    return driver


def count_calls_by_version(driver, queries):
    """Return the calls to each version while every seventh query fails."""
    seen = Counter()
    for number in range(queries):
        open_calls = list(driver.ask(f'{driver.now_ms:.1f}-{number}').values())
        while open_calls:
            send = open_calls.pop()
            version = 'v2' if send.server == 's0r0' else 'v1'
            seen[version] += 1
            if number % 7 == 3:
                again = driver.refuse(
                    send, RefusalReason.FAILED, Ran.UNKNOWN, version=version
                )
                open_calls.extend(only(again, SendSearch))
            else:
                driver.reply(send, 2, version=version)
        driver.now_ms += 20
    return seen


@pytest.mark.parametrize('share', [0.02, 0.1, 0.5, 0.9])
def test_new_version_gets_at_most_its_share_of_all_calls(share):
    driver = with_new_version_preferred()
    move(driver, share)
    seen = count_calls_by_version(driver, 300)
    assert seen['v2'] <= share * seen.total()
    assert seen['v2'] >= 0.8 * share * seen.total() - 1


def test_veto_stops_the_new_version_at_once():
    driver = with_new_version_preferred()
    move(driver, 0.9)
    count_calls_by_version(driver, 50)
    move(driver, 0)
    assert not count_calls_by_version(driver, 100)['v2']


def test_new_version_gets_its_share_of_demand_without_old_servers():
    driver = with_new_version_preferred()
    move(driver, 0.5)
    driver.step(ServersLeaving(driver.now_ms, frozenset(('s0r1',))))
    assert count_calls_by_server(driver, 40, version='v2') == {'s0r0': 20}


def test_share_of_one_moves_all_calls():
    driver = with_new_version_preferred()
    move(driver, 1)
    assert not count_calls_by_server(driver, 30)['s0r1']


@pytest.mark.parametrize('versions', [('v2', 'v1'), ('v2', 'v2', 'v1', 'v1')])
def test_hedges_avoid_old_servers_at_a_share_of_one(versions):
    """Guards against a fault where old servers got hedges after the end of a move."""
    driver = start_with_versions(versions, replicas=len(versions))
    old = {f's0r{replica}' for replica, one in enumerate(versions) if one == 'v1'}
    move(driver, 1)
    for number in range(30):
        (send,) = driver.ask(f'quick-{number}').values()
        driver.reply(send, 0.2, version='v2')
    assert not list_called_servers(driver) & old
    driver.commands.clear()
    driver.ask('slow')
    for _ in range(30):
        driver.tick(3)
    assert not list_called_servers(driver) & old
    assert len(driver.all(SendSearch)) > 1


@pytest.mark.parametrize('is_new_leaving', [False, True])
def test_retries_use_old_servers_only_without_new_ones(is_new_leaving):
    driver = start_with_versions(('v2', 'v2', 'v1'), replicas=3)
    move(driver, 1)
    if is_new_leaving:
        driver.step(ServersLeaving(driver.now_ms, NEW_SERVERS))
    open_calls = list(driver.ask('failing').values())
    while open_calls:
        send = open_calls.pop()
        again = driver.refuse(send, RefusalReason.FAILED, Ran.UNKNOWN, version='v2')
        open_calls.extend(only(again, SendSearch))
    assert ('s0r2' in list_called_servers(driver)) == is_new_leaving
    assert driver.answer or driver.refusal


def test_versions_are_ignored_without_a_move():
    assert set(count_calls_by_server(with_new_version_preferred())) == {'s0r0'}


@pytest.mark.parametrize('entries, at_once', [(1, 3), (2, 1), (3, 1), (8, 1)])
def test_slots_are_divided_among_entries(entries, at_once):
    driver = Driver(replicas=1)
    driver.step(EntryCountChanged(driver.now_ms, entries))
    assert count_calls_by_server(driver, 6, answer=False).total() == at_once


@pytest.mark.parametrize('entries, connections', [(1, 11), (3, 5), (8, 2), (40, 1)])
def test_connections_are_divided_with_headroom(entries, connections):
    driver = Driver()
    driver.step(EntryCountChanged(driver.now_ms, entries))
    assert driver.router.connection_allowance('s0r0') == connections


def test_server_that_fails_fast_gets_little_traffic():
    driver = Driver(replicas=4, services=1)
    driver.warm_up()
    seen = Counter()
    for number in range(60):
        open_calls = list(driver.ask(f'q{number}').values())
        while open_calls:
            send = open_calls.pop()
            seen[send.server] += 1
            if send.server == 's0r0':
                again = driver.refuse(
                    send, RefusalReason.FAILED, Ran.UNKNOWN, after_ms=0.1
                )
                open_calls.extend(only(again, SendSearch))
            else:
                driver.reply(send, 2)
    assert seen['s0r0'] < 10


def test_refusal_as_expired_with_time_left_is_a_server_error():
    driver = Driver(services=1)
    driver.warm_up()
    first = driver.ask()['s0']
    again = only(driver.refuse(first, RefusalReason.EXPIRED), SendSearch)
    assert [send.server for send in again] == ['s0r1']
    assert not driver.all(RecordSample)[-1].ok


def test_refusal_as_expired_without_time_left_records_no_sample():
    driver = Driver(services=1)
    first = driver.ask()['s0']
    driver.now_ms += 180
    driver.refuse(first, RefusalReason.EXPIRED)
    assert not driver.all(RecordSample)


def test_calls_in_flight_never_exceed_the_connection_allowance():
    """A hedge may exceed the concurrency limit, but it still needs a connection."""
    driver = Driver(services=1)
    driver.warm_up()
    driver.step(EntryCountChanged(driver.now_ms, 24))
    assert driver.router.connection_allowance('s0r1') == 1
    driver.ask('slow-0')
    driver.ask('slow-1')
    driver.tick(3)
    driver.tick(3)
    open_calls = Counter(send.server for send in driver.all(SendSearch))
    open_calls.subtract(cancel.server for cancel in driver.all(CancelAttempt))
    assert max(open_calls.values()) == 1


def test_removed_servers_are_dropped_from_the_snapshot_table():
    driver = Driver(services=3, replicas=3)
    configuration = samples.make_configuration(2, 2, revision=2)
    driver.step(ConfigurationApplied(driver.now_ms, configuration))
    table = driver.router._fleet.table
    assert sorted(table.holdings) == ['s0r0', 's0r1', 's1r0', 's1r1']
    assert sorted(table.shards) == ['s0', 's1']


def test_refused_connection_is_rerouted_without_budget_and_backs_off():
    driver = Driver(settings=RouterSettings(extra_load_ratio=0))
    send = driver.ask('one')['s0']
    again = only(driver.fail(send), SendSearch)
    assert [other.server for other in again] == ['s0r1']
    assert driver.router.counters.reroutes == 1
    assert set(count_calls_by_server(driver, 5)) == {'s0r1'}


def test_service_without_servers_is_missing_at_once():
    driver = Driver(replicas=1)
    sends = driver.ask()
    for service in ('s1', 's2'):
        driver.reply(sends[service])
    driver.fail(sends['s0'], FailureStep.CONNECT)
    assert driver.answer.coverage == Coverage(200, 300, ('s0',))


def test_query_without_usable_servers_is_refused_as_not_run():
    driver = Driver(services=1, replicas=1)
    take_data_centre_out(driver)
    driver.ask()
    assert driver.refusal.cause in {RefusalCause.NO_SERVER, RefusalCause.NO_SNAPSHOT}
    assert driver.refusal.ran is Ran.NO


def build(count):
    return [
        Router(f'e{number}', samples.DATA_CENTRES[number % 3], RouterSettings(), number)
        for number in range(count)
    ]


def complete_per_second(loop, from_ms, until_ms, search=None):
    """Return complete answers per second for queries that arrived in a time span."""
    complete = 0
    for entry in loop.entries:
        for query_id, (_, answer) in entry.answers.items():
            arrived_ms, asked = loop.arrived[query_id]
            in_span = from_ms <= arrived_ms < until_ms
            if in_span and asked == (search or asked):
                complete += not answer.coverage.missing_services
    return complete * 1000 / (until_ms - from_ms)


def run_overload(count, per_second):
    loop = Loop(build(count), services=6)
    loop.plan_arrivals(per_second, 100, 2600, ('urgent', 'briefing', 'idle'))
    loop.run(3000)
    return loop


@pytest.mark.parametrize('count', [3, 8])
def test_goodput_is_maintained_at_twice_the_capacity(count):
    peak = complete_per_second(run_overload(count, 900), 1100, 2600)
    loop = run_overload(count, 1800)
    assert complete_per_second(loop, 1100, 2600) >= 0.9 * peak
    offered = 600
    assert complete_per_second(loop, 1100, 2600, 'urgent') >= 0.95 * offered
    assert complete_per_second(loop, 1100, 2600, 'idle') > 0
    for entry in loop.entries:
        refusals = [refusal for _, refusal in entry.refusals.values()]
        assert {refusal.ran for refusal in refusals} == {Ran.NO}
        assert all(refusal.retry_after_ms > 0 for refusal in refusals)
