"""Cold servers get calls only from their owner, within their allowance."""

import pytest

from cowsliploom.protocol import LoadReport, RefusalReason, ServerState
from cowsliploom.routing import (
    ConfigurationApplied,
    HealthReported,
    LoadReported,
    NaiveRouter,
    OwnershipChanged,
    Router,
    RouterSettings,
    SendSearch,
    ServersWarm,
)
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only
from cowsliploom.routing.tests.loop import Loop

COLD = ServerState.COLD
OTHERS = 's1r0', 's1r1', 's2r0', 's2r1'


def health(driver, state=ServerState.LIVE, incarnation='i1', server='s0r0'):
    index, replica = int(server[1]), int(server[3])
    report = samples.make_health(
        index, replica, 3, state=state, incarnation=incarnation
    )
    driver.step(HealthReported(driver.now_ms, server, report))


def set_owned(driver, *servers):
    driver.step(OwnershipChanged(driver.now_ms, frozenset(servers)))


def answer_once(driver, **fields):
    """Answer one query, with the given fields in the reply of the first service."""
    sends = driver.ask('cold')
    for send in sends.values():
        given = fields if send.call.service == 's0' else {}
        driver.reply(send, 0.2, **given)


def refuse_as_cold(driver):
    sends = driver.ask('cold')
    driver.refuse(sends['s0'], RefusalReason.COLD, state=COLD)
    driver.tick(200)


def refuse_connections(driver):
    for name in ('cold-1', 'cold-2'):
        driver.fail(driver.ask(name)['s0'])
        driver.tick(3000)
    health(driver)


def slow_down(driver):
    for number in range(12):
        sends = driver.ask(f'slow-{number}')
        for send in reversed(sends.values()):
            driver.reply(send, 60 if send.server == 's0r0' else 0.2)


COLD_SIGNS = {
    'new incarnation in health': lambda driver: health(driver, incarnation='i2'),
    'new incarnation in a reply': lambda driver: answer_once(driver, incarnation='i2'),
    'cold state in health': lambda driver: health(driver, COLD),
    'cold state in a reply': lambda driver: answer_once(driver, state=COLD),
    'refusal as cold': refuse_as_cold,
    'refused connections, then responses': refuse_connections,
    'sudden slowness': slow_down,
}


def probe_servers(driver, count=6):
    """Return the servers of the first service that simultaneous queries reach."""
    sent = [driver.ask(f'probe-{number}').get('s0') for number in range(count)]
    return [send.server for send in sent if send]


@pytest.mark.parametrize('cold_sign', COLD_SIGNS)
@pytest.mark.parametrize('owned, calls', [(False, 0), (True, 1)])
def test_cold_server_gets_one_call_from_its_owner_only(cold_sign, owned, calls):
    driver = Driver(slots=4)
    driver.warm_up()
    if owned:
        set_owned(driver, 's0r0')
    COLD_SIGNS[cold_sign](driver)
    driver.tick(300)
    assert driver.router.counters.cold_turns == 1
    assert probe_servers(driver).count('s0r0') == calls


def test_server_first_seen_after_the_grace_period_is_cold():
    driver = Driver(services=1, replicas=1)
    driver.now_ms = 9000
    configuration = samples.make_configuration(1, 2, revision=2)
    driver.step(ConfigurationApplied(driver.now_ms, configuration))
    driver.step(HealthReported(9000, 's0r1', samples.make_health(0, 1, 1)))
    assert 's0r1' not in probe_servers(driver)
    driver.tick(300)
    set_owned(driver, 's0r1')
    assert probe_servers(driver).count('s0r1') == 1


def test_server_reported_live_within_the_grace_period_is_warm():
    driver = Driver(services=1, replicas=1)
    assert probe_servers(driver, 2) == ['s0r0', 's0r0']


def test_late_report_of_a_past_incarnation_is_ignored():
    driver = Driver()
    health(driver, incarnation='i2')
    health(driver, incarnation='i1')
    health(driver, incarnation='i2')
    assert driver.router.counters.cold_turns == 1


@pytest.mark.parametrize(
    'reported, age_ms, allowed', [(3, 0, 1), (0, 0, 0), (0, 1500, 1)]
)
def test_fresh_load_report_only_lowers_the_allowance(reported, age_ms, allowed):
    driver = Driver(slots=4)
    driver.warm_up()
    set_owned(driver, 's0r0')
    report = LoadReport('s0r0', 4, 0, 1, 25, reported)
    driver.step(LoadReported(driver.now_ms, 's0r0', report))
    driver.now_ms += age_ms
    health(driver, COLD)
    assert probe_servers(driver).count('s0r0') == allowed


def answer_cold(driver, count, state=ServerState.LIVE):
    for number in range(count):
        sends = driver.ask(f'ok-{number}')
        for send in sends.values():
            state_of_server = state if send.server == 's0r0' else ServerState.LIVE
            driver.reply(
                send, 0.2, state=state_of_server, incarnation=incarnation_of(send)
            )


def incarnation_of(send):
    return 'i2' if send.server == 's0r0' else 'i1'


def test_owner_reports_a_server_warm_after_successes():
    driver = Driver(slots=2)
    set_owned(driver, 's0r0')
    health(driver, incarnation='i2')
    assert 's0r0' not in driver.router.warm_owned
    answer_cold(driver, 20)
    assert 's0r0' in driver.router.warm_owned


def test_other_entries_accept_the_owners_report():
    driver = Driver()
    health(driver, incarnation='i2')
    driver.step(ServersWarm(driver.now_ms, frozenset(('s0r0',))))
    driver.tick(100)
    assert 's0r0' in probe_servers(driver)


def test_owners_report_is_rejected_while_the_server_reports_cold():
    driver = Driver()
    health(driver, COLD)
    driver.step(ServersWarm(driver.now_ms, frozenset(('s0r0',))))
    assert 's0r0' not in probe_servers(driver)


def test_cold_server_gets_no_calls_after_ownership_is_lost():
    driver = Driver()
    set_owned(driver, 's0r0')
    health(driver, COLD)
    assert probe_servers(driver).count('s0r0') == 1
    set_owned(driver)
    driver.tick(200)
    assert 's0r0' not in probe_servers(driver)


def test_slow_last_warm_replica_is_not_marked_cold():
    driver = Driver(replicas=1)
    driver.warm_up()
    slow_down(driver)
    assert not driver.router.counters.cold_turns


def test_slowness_of_all_servers_marks_none_cold():
    """A pause of the entry VM itself makes all servers look slow at once."""
    driver = Driver(services=8, slots=4)
    driver.warm_up()
    for number in range(30):
        sends = driver.ask(f'slow-{number}')
        driver.now_ms += 60
        for send in sends.values():
            driver.reply(send, 0)
    assert not driver.router.counters.cold_turns


def test_slowness_alone_does_not_pace_a_server():
    driver = Driver(services=1, replicas=1)
    driver.warm_up()
    for number in range(100):
        for send in driver.ask(f'slow-{number}').values():
            driver.reply(send, 6)
        driver.now_ms += 1
    assert driver.router.counters.sub_requests == 130
    assert driver.ask('next')


def test_returning_data_centre_is_cold():
    driver = Driver(slots=4)
    driver.warm_up()
    for revision, out in ((2, ('gogledd',)), (3, ())):
        configuration = samples.make_configuration(slots=4, revision=revision, out=out)
        driver.step(ConfigurationApplied(driver.now_ms, configuration))
    assert set(probe_servers(driver)) == {'s0r1'}


def build(policy, count):
    return [
        policy(f'e{number}', samples.DATA_CENTRES[number % 3], RouterSettings(), number)
        for number in range(count)
    ]


def run_with_cold_start(policy, count, restart):
    loop = Loop(build(policy, count), services=4, slots=4, warm_after=60)
    loop.plan_arrivals(300, 100, 6000)
    loop.at(2000, restart, loop)
    loop.run(6400)
    return loop


def restart_one_cold(loop):
    loop.servers['s0r0'].turn_cold('i2')


def restart_one_unreported(loop):
    loop.servers['s0r0'].turn_cold()
    loop.servers['s0r0'].reports_live = True


def restart_data_centre_cold(loop):
    for server in loop.servers.values():
        if server.replica == 0:
            server.turn_cold('i2')


@pytest.mark.parametrize('count', [1, 3, 8])
@pytest.mark.parametrize('restart', [restart_one_cold, restart_data_centre_cold])
def test_calls_of_all_entries_stay_within_cold_capacity(count, restart):
    """Only calls in flight when the server restarted cold may exceed its capacity."""
    loop = run_with_cold_start(Router, count, restart)
    servers = [server for server in loop.servers.values() if server.replica == 0]
    for server in servers:
        assert server.cold_overloads <= 2 * count
    assert loop.servers['s0r0'].state is ServerState.LIVE
    answers = [answer for entry in loop.entries for answer in entry.answers.values()]
    missed = sum(bool(answer.coverage.missing_services) for _, answer in answers)
    assert missed <= len(answers) * 0.01


def test_cold_overloads_detect_a_router_that_exceeds_the_allowance(monkeypatch):
    name = 'cowsliploom.routing._tracks.cold_allowance'
    monkeypatch.setattr(name, lambda cold, owned, reported: 4)
    loop = run_with_cold_start(Router, 3, restart_one_cold)
    assert loop.servers['s0r0'].cold_overloads > 6


def test_baseline_overloads_a_cold_server():
    loop = run_with_cold_start(NaiveRouter, 3, restart_one_cold)
    assert loop.servers['s0r0'].cold_overloads > 20


def test_server_with_unreported_cold_start_gets_few_excess_calls():
    loop = run_with_cold_start(Router, 3, restart_one_unreported)
    assert loop.servers['s0r0'].cold_overloads <= 12


def test_hedge_does_not_reach_a_cold_server():
    driver = Driver()
    driver.warm_up()
    health(driver, COLD, server='s0r1')
    sends = driver.ask()
    for service in ('s1', 's2'):
        driver.reply(sends[service], 0.2)
    later = driver.tick(3) + driver.tick(5)
    assert 's0r1' not in [send.server for send in only(later, SendSearch)]
