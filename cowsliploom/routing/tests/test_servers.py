"""Which servers get work: data centres, leaving, versions, limits, failures."""

from collections import Counter

import pytest

from cowsliploom.protocol import Ran, RefusalReason, ServerState
from cowsliploom.rollout import RecordSample, SharesChanged, VersionShare
from cowsliploom.routing import (
    CancelSent,
    ConfigurationApplied,
    Coverage,
    EntriesCounted,
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


def servers_of(driver, queries=12, answer=True, **fields):
    """Count the servers of the first service over queries, one after another."""
    seen = Counter()
    for number in range(queries):
        sends = driver.ask(f'{driver.now_ms:.1f}-{number}')
        if 's0' in sends:
            seen[sends['s0'].server] += 1
        for send in sends.values() if answer else ():
            driver.reply(send, 0.2, **fields)
    return seen


def test_own_data_centre_comes_first():
    assert set(servers_of(Driver(replicas=3))) == {'s0r0'}


def test_others_serve_when_the_own_data_centre_is_full():
    seen = servers_of(Driver(), 4, answer=False)
    assert set(seen) == {'s0r0', 's0r1'}


def take_data_centre_out(driver):
    configuration = samples.make_configuration(revision=2, out=('gogledd',))
    driver.step(ConfigurationApplied(driver.now_ms, configuration))


def list_leaving(driver):
    driver.step(ServersLeaving(driver.now_ms, frozenset(('s0r0',))))


def leave_in_health(driver):
    report = samples.make_health(0, 0, state=ServerState.LEAVING)
    driver.step(HealthReported(driver.now_ms, 's0r0', report))


def leave_in_reply(driver):
    sends = driver.ask('word')
    driver.reply(sends['s0'], state=ServerState.LEAVING)


def leave_by_refusal(driver):
    sends = driver.ask('word')
    again = only(driver.refuse(sends['s0'], RefusalReason.LEAVING), SendSearch)
    assert [send.server for send in again] == ['s0r1']


@pytest.mark.parametrize(
    'event',
    [
        take_data_centre_out,
        list_leaving,
        leave_in_health,
        leave_in_reply,
        leave_by_refusal,
    ],
)
def test_no_new_work_while_work_in_flight_finishes(event):
    driver = Driver()
    sends = driver.ask('before')
    event(driver)
    assert set(servers_of(driver)) == {'s0r1'}
    for send in sends.values():
        driver.reply(send, 0.1)
    assert driver.answer.coverage == Coverage(300, 300)


def test_stale_health_does_not_bring_a_leaving_server_back():
    driver = Driver()
    leave_in_reply(driver)
    driver.step(HealthReported(driver.now_ms, 's0r0', samples.make_health(0, 0)))
    assert set(servers_of(driver)) == {'s0r1'}


def move(driver, share):
    shares = (VersionShare('s0', 'v1', 'v2', share),)
    driver.step(SharesChanged(driver.now_ms, shares))


NEW_SERVERS = frozenset(('s0r0', 's0r1'))


def servers_asked(driver):
    """Return the servers that got a search."""
    return {send.server for send in driver.all(SendSearch)}


def with_new_version_preferred(**options):
    """Start with the new version in the own data centre, where it is preferred."""
    return with_versions(('v2', 'v1'), **options)


def with_versions(versions, **options):
    """Start with servers of these versions."""
    driver = Driver(services=1, versions=versions, **options)
    for replica, version in enumerate(versions):
        report = samples.make_health(0, replica, 1, version=version)
        driver.step(HealthReported(driver.now_ms, report.server, report))
    return driver


def count_calls_by_version(driver, queries):
    """Return how many calls each version got; the new one fails now and then."""
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
def test_new_version_gets_its_share_of_all_calls_and_no_more(share):
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


def test_new_version_gets_its_share_of_demand_when_the_old_is_gone():
    driver = with_new_version_preferred()
    move(driver, 0.5)
    driver.step(ServersLeaving(driver.now_ms, frozenset(('s0r1',))))
    assert servers_of(driver, 40, version='v2') == {'s0r0': 20}


def test_whole_share_moves_all_calls():
    driver = with_new_version_preferred()
    move(driver, 1)
    assert not servers_of(driver, 30)['s0r1']


@pytest.mark.parametrize('versions', [('v2', 'v1'), ('v2', 'v2', 'v1', 'v1')])
def test_a_slow_search_is_not_hedged_at_an_old_server_once_all_has_moved(versions):
    """The old servers got a search after the end of a move."""
    driver = with_versions(versions, replicas=len(versions))
    old = {f's0r{place}' for place, one in enumerate(versions) if one == 'v1'}
    move(driver, 1)
    for number in range(30):
        (send,) = driver.ask(f'quick-{number}').values()
        driver.reply(send, 0.2, version='v2')
    assert not servers_asked(driver) & old
    driver.commands.clear()
    driver.ask('slow')
    for _ in range(30):
        driver.tick(3)
    assert not servers_asked(driver) & old
    assert len(driver.all(SendSearch)) > 1


@pytest.mark.parametrize('is_new_lost', [False, True])
def test_old_servers_get_a_failed_search_only_if_no_new_one_is_there(is_new_lost):
    driver = with_versions(('v2', 'v2', 'v1'), replicas=3)
    move(driver, 1)
    if is_new_lost:
        driver.step(ServersLeaving(driver.now_ms, NEW_SERVERS))
    open_calls = list(driver.ask('failing').values())
    while open_calls:
        send = open_calls.pop()
        again = driver.refuse(send, RefusalReason.FAILED, Ran.UNKNOWN, version='v2')
        open_calls.extend(only(again, SendSearch))
    assert ('s0r2' in servers_asked(driver)) == is_new_lost
    assert driver.answer or driver.refusal


def test_versions_without_a_move_serve_as_usual():
    assert set(servers_of(with_new_version_preferred())) == {'s0r0'}


@pytest.mark.parametrize('entries, at_once', [(1, 3), (2, 1), (3, 1), (8, 1)])
def test_slots_are_divided_among_entries(entries, at_once):
    driver = Driver(replicas=1)
    driver.step(EntriesCounted(driver.now_ms, entries))
    assert servers_of(driver, 6, answer=False).total() == at_once


@pytest.mark.parametrize('entries, connections', [(1, 11), (3, 5), (8, 2), (40, 1)])
def test_connections_are_divided_with_headroom(entries, connections):
    driver = Driver()
    driver.step(EntriesCounted(driver.now_ms, entries))
    assert driver.router.connection_allowance('s0r0') == connections


def test_server_that_fails_fast_draws_no_traffic():
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


def test_server_that_calls_fresh_work_expired_is_blamed():
    driver = Driver(services=1)
    driver.warm_up()
    first = driver.ask()['s0']
    again = only(driver.refuse(first, RefusalReason.EXPIRED), SendSearch)
    assert [send.server for send in again] == ['s0r1']
    assert not driver.all(RecordSample)[-1].ok


def test_work_that_expired_for_lack_of_time_blames_nobody():
    driver = Driver(services=1)
    first = driver.ask()['s0']
    driver.now_ms += 180
    driver.refuse(first, RefusalReason.EXPIRED)
    assert not driver.all(RecordSample)


def test_calls_never_need_more_connections_than_allowed():
    """A hedge may pass the limit, but it needs a connection as well."""
    driver = Driver(services=1)
    driver.warm_up()
    driver.step(EntriesCounted(driver.now_ms, 24))
    assert driver.router.connection_allowance('s0r1') == 1
    driver.ask('slow-0')
    driver.ask('slow-1')
    driver.tick(3)
    driver.tick(3)
    open_calls = Counter(send.server for send in driver.all(SendSearch))
    open_calls.subtract(cancel.server for cancel in driver.all(CancelSent))
    assert max(open_calls.values()) == 1


def test_replaced_servers_are_forgotten():
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
    assert set(servers_of(driver, 5)) == {'s0r1'}


def test_service_without_servers_is_missing_at_once():
    driver = Driver(replicas=1)
    sends = driver.ask()
    for service in ('s1', 's2'):
        driver.reply(sends[service])
    driver.fail(sends['s0'], FailureStep.CONNECT)
    assert driver.answer.coverage == Coverage(200, 300, ('s0',))


def test_all_out_is_refused_as_not_run():
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
    """Count whole answers a second of queries that arrived in a span."""
    whole = 0
    for entry in loop.entries:
        for query_id, (_, answer) in entry.answers.items():
            arrived_ms, asked = loop.arrived[query_id]
            in_span = from_ms <= arrived_ms < until_ms
            if in_span and asked == (search or asked):
                whole += not answer.coverage.missing_services
    return whole * 1000 / (until_ms - from_ms)


def run_overload(count, per_second):
    loop = Loop(build(count), services=6)
    loop.plan_arrivals(per_second, 100, 2600, ('urgent', 'briefing', 'idle'))
    loop.run(3000)
    return loop


@pytest.mark.parametrize('count', [3, 8])
def test_goodput_holds_at_twice_the_capacity(count):
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
