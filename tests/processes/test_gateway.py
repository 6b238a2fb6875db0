"""Gateways as real processes before a stand-in store and backend servers."""

import asyncio
import os
import signal
import sys
import time

import pytest

from tests.processes.gateway_world import (
    MANY,
    HOST_PREFIX,
    SHARDS,
    ask,
    configuration,
    play,
)

pytestmark = pytest.mark.processes

LATE_S = 0.6  # the target is 0.15 s; the machine may be busy
TAKEN_S = 2.1  # after SIGTERM; the process ends at 3.2 s, the request needs 1.3 s
LATE_IN_GRACE_S = 2.5  # less is left then than such requests may need


def test_requests_are_served_from_parts_and_by_one_server(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x?q=1')
        headers = dict(answer.headers)
        assert answer.body == b'D' * 16 + b'C' * 16 + b'B' * 16
        assert headers['Missing-Parts'] == '0'
        assert len(headers['Part-Stamps'].split(', ')) == len(SHARDS)
        arrived = world.backends['s0'].received[-1]
        assert arrived['target'] == '/wide/x?q=1'
        assert arrived['target-instance'] == 'i-s0'
        assert 0 < int(arrived['deadline']) <= 1400
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'two words')
        assert (answer.status, answer.body) == (200, b'E' * 16)
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/other/x')
        assert answer.status == 404

    play(tmp_path, script)


def test_a_mute_shard_is_left_out_in_time_and_told(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['s3'].faults.is_unresponsive = True
        started = time.monotonic()
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x')
        assert time.monotonic() < started + LATE_S
        assert dict(answer.headers)['Missing-Parts'] == '1'
        assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16

    play(tmp_path, script)


def test_an_unsafe_request_is_refused_truly_when_the_server_sheds(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.sheds = True
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert float(dict(answer.headers)['Retry-After']) > 0
        assert not world.backends['one'].ran

    play(tmp_path, script)


def test_an_address_with_another_server_runs_nothing(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].name = 'i-another'
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert not world.backends['one'].ran

    play(tmp_path, script)


def test_an_answer_to_another_request_is_not_passed_on(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.wrong_request_id = 'r-0'
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status in {502, 504}

    play(tmp_path, script)


def test_a_gateway_that_starts_without_the_store_learns_from_a_peer(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.store.faults.is_silent = True
        await world.gateway(3, seeds=f'{HOST_PREFIX}.2:18102')
        await world.ready(3)
        answer = await ask(f'{HOST_PREFIX}.3:18100', '/wide/x')
        assert answer.status == 200

    play(tmp_path, script)


def test_a_new_version_is_in_force_at_all_soon_though_one_is_turned_away(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.gateway(3, seeds=f'{HOST_PREFIX}.2:18102')
        await world.ready(2)
        await world.ready(3)
        await asyncio.sleep(1)
        world.store.clear_history()
        world.store.put('op/config', configuration(9, routes=[]))
        for number in (2, 3):
            end = time.monotonic() + 3
            while time.monotonic() < end:
                answer = await ask(f'{HOST_PREFIX}.{number}:18100', '/wide/x')
                if answer.status == 404:
                    break
                await asyncio.sleep(0.05)
            assert answer.status == 404

    play(tmp_path, script)


def test_sigterm_ends_a_gateway_without_losing_the_open_request(tmp_path):
    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.delay_ms = 800
        asking = asyncio.create_task(
            ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        )
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        answer = await ask(f'{HOST_PREFIX}.2:18101', '/v1/ready')
        assert answer.status == 503
        answer = await asking
        assert answer.status == 200
        assert dict(answer.headers)['Connection'] == 'close'
        assert await asyncio.wait_for(process.wait(), 5) == 0

    play(tmp_path, script)


def test_a_wrong_settings_file_is_named_and_ends_the_process(tmp_path):
    async def script(world):
        path = tmp_path / 'wrong.conf'
        path.write_text('node=vm\nzone=de\nlisten.front=nowhere\n')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'cowsliploom.gateway',
            env={**os.environ, 'COWSLIPLOOM_SETTINGS': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, told = await process.communicate()
        assert process.returncode == 2
        assert b'listen.front: expected host:port' in told

    play(tmp_path, script)


def calls_of(world, request_id):
    """Return how often each shard ran a request."""
    return [world.backends[shard].ran.count(request_id) for shard in MANY]


def test_a_query_of_many_shards_is_shared_out_and_asks_each_once(tmp_path):
    async def script(world):
        await world.shared_fleet()
        for number in range(5):
            answer = await ask(
                f'{HOST_PREFIX}.2:18100', '/many/x?q=1', request_id=f'm-{number}'
            )
            headers = dict(answer.headers)
            assert headers['Missing-Parts'] == '0'
            assert len(headers['Part-Stamps'].split(', ')) == len(MANY)
            tops = (147, 146, 145)
            assert answer.body == b''.join(bytes([top]) * 16 for top in tops)
        assert set(calls_of(world, 'm-4')) == {1}
        arrived = world.backends['k07'].received[-1]
        assert arrived['target'] == '/many/x?q=1'
        assert arrived['target-instance'] == 'i-k07'
        assert 0 < int(arrived['deadline']) <= 1400

    play(tmp_path, script)


@pytest.mark.parametrize('blow', [signal.SIGKILL, signal.SIGSTOP])
def test_a_lost_relay_costs_no_part_and_no_third_run(tmp_path, blow):
    async def script(world):
        await world.shared_fleet()
        await ask(f'{HOST_PREFIX}.2:18100', '/many/x')
        for number in (4, 5):
            world.processes[number].send_signal(blow)
        for number in range(8):
            answer = await ask(
                f'{HOST_PREFIX}.2:18100', '/many/x', request_id=f'l-{number}'
            )
            assert answer.status == 200
            assert dict(answer.headers)['Missing-Parts'] == '0'
            assert max(calls_of(world, f'l-{number}')) <= 2

    play(tmp_path, script)


def test_a_process_that_was_frozen_says_that_it_is_behind(tmp_path):
    """A request was late by 0.9 s, and no line told why."""

    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.8)
        process.send_signal(signal.SIGCONT)
        end = time.monotonic() + 3
        while '"event":"behind"' not in world.logs() and time.monotonic() < end:
            await asyncio.sleep(0.1)
        assert '"event":"behind"' in world.logs()
        figures = await ask(f'{HOST_PREFIX}.2:9464', '/metrics')
        assert b'cowsliploom_loop_late_ms' in figures.body

    play(tmp_path, script)


def test_requests_late_in_the_grace_are_answered_or_refused(tmp_path):
    """They were passed on and cut at the end of the grace, with no answer."""

    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        backend = world.backends['one']
        backend.faults.delay_ms = 1300
        process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        await asyncio.sleep(TAKEN_S)
        address = f'{HOST_PREFIX}.2:18100'
        taken = asyncio.create_task(ask(address, '/once/x', 'POST', b'x', 'taken'))
        await asyncio.sleep(LATE_IN_GRACE_S - TAKEN_S)
        late = await ask(address, '/once/x', 'POST', b'x', 'late')
        assert (late.status, dict(late.headers)['Connection']) == (503, 'close')
        assert 0 < float(dict(late.headers)['Retry-After']) < LATE_S
        assert time.monotonic() < started + LATE_IN_GRACE_S + LATE_S
        assert (await taken).status in {502, 504}
        assert await asyncio.wait_for(process.wait(), 5) == 0
        assert backend.ran == ['taken']

    play(tmp_path, script)


async def ask_ahead(number, targets):
    """Send several requests at once on one connection; return all that is heard."""
    reader, writer = await asyncio.open_connection(f'{HOST_PREFIX}.{number}', 18100)
    for place, target in enumerate(targets):
        writer.write(
            f'POST {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: p-{place}\r\n'
            'Deadline: 1400\r\nContent-Length: 0\r\n\r\n'.encode()
        )
    heard = await reader.read(-1)
    writer.close()
    return heard


def test_requests_read_ahead_are_answered_or_refused_at_the_end_of_the_grace(tmp_path):
    """They were lost with the first one's connection, or passed on and cut."""

    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        for backend in world.backends.values():
            backend.faults.delay_ms = 1300
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(TAKEN_S)
        heard = await ask_ahead(2, ('/once/x', '/wide/x', '/once/x'))
        statuses = [int(part[:3]) for part in heard.split(b'HTTP/1.1 ')[1:]]
        assert statuses[0] in {502, 504}
        assert statuses[1:] == [503, 503]
        assert await asyncio.wait_for(process.wait(), 5) == 0
        ran = {one for backend in world.backends.values() for one in backend.ran}
        assert ran == {'p-0'}

    play(tmp_path, script)
