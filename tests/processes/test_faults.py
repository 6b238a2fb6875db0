"""Faults on real processes: kills, freezes, outages, stalled connections."""

import threading
from functools import partial

import pytest

from tests.processes.fleet import wait_until
from tests.processes.load import SearchLoad
from tests.processes.relay import Relay
from tests.processes.shape import Shape
from tests.processes.world import World

pytestmark = pytest.mark.processes

SMALL = Shape(services=4, latency_ms=5)
SLOW_RUNS = Shape(services=1, latency_ms=400)
NEW_WORK_BOUND_S = 3.0  # the users' bound on new work after a withdrawal


@pytest.fixture
def world(tmp_path):
    with World(str(tmp_path), SMALL) as running:
        running.apply_shape()
        yield running


@pytest.fixture
def slow_world(tmp_path):
    with World(str(tmp_path), SLOW_RUNS) as running:
        running.apply_shape()
        yield running


def run_count(world, payload):
    return sum(
        run['payload'] == payload
        for name, address in world.addresses.items()
        if name.startswith('rota')
        for run in world.get(address, '/admin/runlog').body['runs']
    )


def set_store(world, **faults):
    assert world.put(world.platform.address, '/admin/faults', faults).status == 200


def is_complete(reply):
    return reply.status == 200 and not reply.body['coverage']['missing_services']


def test_other_entries_serve_after_entry_is_killed(world):
    with SearchLoad(world, world.entries) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        world.entries[0].kill()
        received = len(load.results)
        wait_until(lambda: len(load.results) > received + 80, 'load continues')
    survivors = [result for result in load.results if result.entry != 'entry-0']
    assert {result.status for result in survivors} == {200}


@pytest.mark.parametrize('signal_name', ['kill', 'freeze'])
@pytest.mark.parametrize('after_s', [0, 0.05, 0.2])
def test_booking_runs_once_when_its_entry_stops(slow_world, signal_name, after_s):
    world = slow_world
    payload = f'van to Bala {signal_name} {after_s}'
    first = threading.Thread(
        target=_book_ignoring_errors,
        args=(world, world.entries[0], payload),
        daemon=True,
    )
    first.start()
    threading.Event().wait(after_s)
    getattr(world.entries[0], signal_name)()
    replies = [world.book(entry, payload, payload) for entry in world.entries[1:]]
    if signal_name == 'freeze':
        world.entries[0].wake()
    first.join(10)
    replies.append(world.book(world.entries[1], payload, payload))
    runs = run_count(world, payload)
    assert runs <= 1
    for reply in replies:
        if reply.status != 200 and reply.body['ran'] == 'no':
            assert runs == 0 or replies[-1].status == 200
        if reply.status == 200:
            assert runs == 1


def _book_ignoring_errors(world, entry, payload):
    try:
        world.book(entry, payload, payload)
    except Exception:  # the entry VM was killed during the call
        return


def test_store_outage_rejects_claims_as_not_run_and_serves_searches(world):
    set_store(world, mode='down')
    reply = world.book(world.entries[0], 'out', 'out')
    assert (reply.status, reply.body['ran']) == (503, 'no')
    assert run_count(world, 'out') == 0
    assert is_complete(world.search(world.entries[1], 'x'))
    set_store(world, mode='ok')
    wait_until(
        lambda: world.book(world.entries[0], 'out', 'out').status == 200, 'claims work'
    )
    assert run_count(world, 'out') == 1


@pytest.mark.parametrize('mode', ['lose_answers', 'lose_requests'])
@pytest.mark.parametrize('calls', [1, 2])
def test_lost_store_answer_never_runs_a_booking_twice(world, mode, calls):
    payload = f'{mode}-{calls}'
    set_store(world, mode=mode, calls=calls, key_prefix='claims/', writes_only=True)
    replies = [world.book(entry, payload, payload) for entry in world.entries]
    set_store(world, mode='ok')
    last = wait_until(partial(_booked, world, payload), 'the booking is answered')
    assert last.body['outcome']
    assert run_count(world, payload) == 1
    for reply in replies:
        assert reply.status in {200, 409, 503}


def _booked(world, payload):
    reply = world.book(world.entries[0], payload, payload)
    return reply if reply.status == 200 else None


def test_new_entry_gets_configuration_from_peers_in_store_outage(world):
    set_store(world, mode='down', key_prefix='config/')
    entry = world.start_entry('entry-new', 'de')
    world.list_vms()
    wait_until(
        lambda: world.get(entry.address, '/readyz').status == 200,
        'the new entry VM is ready',
    )
    assert is_complete(world.search(entry, 'x', 3000))


def test_graceful_shutdown_completes_all_requests(world):
    with SearchLoad(world, world.entries, callers=8, pause_s=0) as load:
        wait_until(lambda: len(load.results) > 100, 'load runs')
        assert world.entries[0].terminate() == 0
        received = len(load.results)
        wait_until(lambda: len(load.results) > received + 100, 'load continues')
    assert not load.failures()


def test_leaving_server_gets_no_new_work_after_three_seconds(world):
    name = 'cellar-00-0'
    with SearchLoad(world, world.entries) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        world.put(world.addresses[name], '/admin/leave', {})
        threading.Event().wait(NEW_WORK_BOUND_S + 1)
    counters = world.get(world.addresses[name], '/admin/counters').body
    assert counters['calls_after_grace'] == 0
    assert load.statuses() == {200: len(load.results)}


def test_listed_leaving_server_gets_no_new_work_after_three_seconds(world):
    name = 'cellar-01-1'
    with SearchLoad(world, world.entries) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        world.list_vms(leaving=(name,))
        threading.Event().wait(NEW_WORK_BOUND_S)
        before = world.get(world.addresses[name], '/admin/counters').body['received']
        threading.Event().wait(1)
        after = world.get(world.addresses[name], '/admin/counters').body['received']
    assert after == before
    assert load.statuses() == {200: len(load.results)}


def test_withdrawn_data_centre_gets_no_new_work_after_three_seconds(world):
    out = [
        name
        for name in world.addresses
        if name.startswith('cellar') and name.endswith('-1')
    ]
    with SearchLoad(world, world.entries) as load:
        wait_until(lambda: len(load.results) > 40, 'load runs')
        world.apply(
            [{'kind': 'datacentre', 'name': 'canolbarth', 'spec': {'state': 'out'}}],
            'out',
        )
        threading.Event().wait(NEW_WORK_BOUND_S)
        before = _received(world, out)
        threading.Event().wait(1)
        after = _received(world, out)
    assert after == before
    assert load.statuses() == {200: len(load.results)}
    assert all(
        not result.body['coverage']['missing_services'] for result in load.results
    )


def _received(world, names):
    return sum(
        world.get(world.addresses[name], '/admin/counters').body['received']
        for name in names
    )


def test_stalled_connections_do_not_delay_answers(tmp_path):
    with World(str(tmp_path), SMALL) as world:
        with Relay(world.addresses['cellar-00-0']) as relay:
            world.addresses['cellar-00-0'] = relay.address
            world.apply_shape()
            with SearchLoad(world, world.entries) as load:
                wait_until(lambda: len(load.results) > 40, 'load runs')
                silenced = relay.stall()
                accepted = relay.accepted
                received = len(load.results)
                wait_until(lambda: len(load.results) > received + 200, 'load continues')
            assert silenced
            assert relay.accepted > accepted
            assert load.statuses() == {200: len(load.results)}
            late = load.results[-50:]
            assert all(
                not result.body['coverage']['missing_services'] for result in late
            )
