"""Real gateway processes with a stand-in store and backend servers."""

import asyncio
import os
import signal
import sys
import time

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import MANY, SHARDS, ask, configuration, run_script

pytestmark = pytest.mark.processes

LATE_S = 0.6  # the target is 0.15 s, with slack for a busy machine
ACCEPTED_S = 2.1  # after SIGTERM; the process exits at 3.2 s, requests take 1.3 s
LATE_IN_GRACE_S = 2.5  # the time left is less than such requests may take


def test_fanout_and_single_service_requests_are_answered(tmp_path):
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

    run_script(tmp_path, script)


def test_silent_shard_is_left_out_in_time_and_reported_missing(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['s3'].faults.is_unresponsive = True
        started = time.monotonic()
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x')
        assert time.monotonic() < started + LATE_S
        assert dict(answer.headers)['Missing-Parts'] == '1'
        assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16

    run_script(tmp_path, script)


def test_unsafe_request_is_rejected_without_running_when_server_sheds(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.sheds = True
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert float(dict(answer.headers)['Retry-After']) > 0
        assert not world.backends['one'].ran

    run_script(tmp_path, script)


def test_request_does_not_run_on_another_server_at_the_address(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].name = 'i-another'
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert not world.backends['one'].ran

    run_script(tmp_path, script)


def test_answer_with_another_request_id_is_not_forwarded(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.wrong_request_id = 'r-0'
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status in {502, 504}

    run_script(tmp_path, script)


def test_gateway_started_without_store_is_configured_by_a_peer(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.store.faults.is_silent = True
        await world.gateway(3, seeds=f'{HOST_PREFIX}.2:18102')
        await world.ready(3)
        answer = await ask(f'{HOST_PREFIX}.3:18100', '/wide/x')
        assert answer.status == 200

    run_script(tmp_path, script)


def test_new_version_is_applied_by_all_after_lost_store_history(tmp_path):
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

    run_script(tmp_path, script)


def test_sigterm_drains_the_open_request(tmp_path):
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

    run_script(tmp_path, script)


def test_invalid_settings_file_is_reported_and_ends_the_process(tmp_path):
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
        _, stderr = await process.communicate()
        assert process.returncode == 2
        assert b'listen.front: expected host:port' in stderr

    run_script(tmp_path, script)


def calls_of(world, request_id):
    """Return the number of runs of a request on each shard."""
    return [world.backends[shard].ran.count(request_id) for shard in MANY]


def test_relayed_query_calls_each_of_many_shards_once(tmp_path):
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

    run_script(tmp_path, script)


@pytest.mark.parametrize('signal_number', [signal.SIGKILL, signal.SIGSTOP])
def test_lost_relay_causes_no_missing_part_and_no_third_run(tmp_path, signal_number):
    async def script(world):
        await world.shared_fleet()
        await ask(f'{HOST_PREFIX}.2:18100', '/many/x')
        for number in (4, 5):
            world.processes[number].send_signal(signal_number)
        for number in range(8):
            answer = await ask(
                f'{HOST_PREFIX}.2:18100', '/many/x', request_id=f'l-{number}'
            )
            assert answer.status == 200
            assert dict(answer.headers)['Missing-Parts'] == '0'
            assert max(calls_of(world, f'l-{number}')) <= 2

    run_script(tmp_path, script)


def test_frozen_process_logs_its_lateness(tmp_path):
    """Guard against a request late by 0.9 s without a log line that gives the cause."""

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
        metrics = await ask(f'{HOST_PREFIX}.2:9464', '/metrics')
        assert b'cowsliploom_loop_late_ms' in metrics.body

    run_script(tmp_path, script)


def test_requests_late_in_grace_period_are_answered_or_rejected(tmp_path):
    """Guard against forwarded requests that the exit cuts off without an answer."""

    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        backend = world.backends['one']
        backend.faults.delay_ms = 1300
        process.send_signal(signal.SIGTERM)
        started = time.monotonic()
        await asyncio.sleep(ACCEPTED_S)
        address = f'{HOST_PREFIX}.2:18100'
        accepted = asyncio.create_task(ask(address, '/once/x', 'POST', b'x', 'taken'))
        await asyncio.sleep(LATE_IN_GRACE_S - ACCEPTED_S)
        late = await ask(address, '/once/x', 'POST', b'x', 'late')
        assert (late.status, dict(late.headers)['Connection']) == (503, 'close')
        assert 0 < float(dict(late.headers)['Retry-After']) < LATE_S
        assert time.monotonic() < started + LATE_IN_GRACE_S + LATE_S
        assert (await accepted).status in {502, 504}
        assert await asyncio.wait_for(process.wait(), 5) == 0
        assert backend.ran == ['taken']

    run_script(tmp_path, script)


async def ask_pipelined(number, targets):
    """Send pipelined requests on one connection; return all received bytes."""
    reader, writer = await asyncio.open_connection(f'{HOST_PREFIX}.{number}', 18100)
    for place, target in enumerate(targets):
        writer.write(
            f'POST {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: p-{place}\r\n'
            'Deadline: 1400\r\nContent-Length: 0\r\n\r\n'.encode()
        )
    received = await reader.read(-1)
    writer.close()
    return received


def test_pipelined_requests_late_in_grace_period_are_answered_or_rejected(tmp_path):
    """Guard against pipelined requests lost on close or cut off by the exit."""

    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        for backend in world.backends.values():
            backend.faults.delay_ms = 1300
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(ACCEPTED_S)
        received = await ask_pipelined(2, ('/once/x', '/wide/x', '/once/x'))
        statuses = [int(part[:3]) for part in received.split(b'HTTP/1.1 ')[1:]]
        assert statuses[0] in {502, 504}
        assert statuses[1:] == [503, 503]
        assert await asyncio.wait_for(process.wait(), 5) == 0
        ran = {one for backend in world.backends.values() for one in backend.ran}
        assert ran == {'p-0'}

    run_script(tmp_path, script)
