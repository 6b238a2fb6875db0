"""A gateway bounds time and memory for backend answers that never end."""

import asyncio
import os
import time
from pathlib import Path

import pytest

from cowsliploom.standins import EndlessResponse, FakeBackendServer
from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, run_script

pytestmark = pytest.mark.processes

MB = 1_000_000
LATE_S = 0.6  # the target is 0.15 s; the machine may be busy
CLOSED_S = 0.5  # well below the 1.4 s timeout of callers
GROWTH_MB_MAX = 40
LOGGED_S = 3  # log lines are written in batches
HEAD = b'HTTP/1.1 200 OK\r\nX: '
BODY = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n%s\r\n' % (b'x' * 65_536)
ENDLESS = {
    'head': EndlessResponse(HEAD, b'x' * MB),
    'body': EndlessResponse(BODY, CHUNK * 16),
}


def resident_mb(process):
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{process.pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MB


async def wait_closed(backend):
    """Wait until no endless answer is being sent."""
    while backend.running:
        await asyncio.sleep(0.01)


async def wait_logged(world, text):
    """Wait until the log of gateway 2 contains a text."""
    while text not in (world.folder / 'vm-2.log').read_text():
        await asyncio.sleep(0.05)


@pytest.mark.parametrize('part', ENDLESS)
def test_endless_part_is_left_out_in_time_and_closed(tmp_path, part):
    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        before_mb = resident_mb(process)
        world.backends['s3'].faults.endless = ENDLESS[part]
        for number in range(8):
            started = time.monotonic()
            answer = await ask(
                f'{HOST_PREFIX}.2:18100', '/wide/x', request_id=f'e-{number}'
            )
            assert time.monotonic() < started + LATE_S
            assert dict(answer.headers)['Missing-Parts'] == '1'
            assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16
            await asyncio.wait_for(wait_closed(world.backends['s3']), CLOSED_S)
        assert resident_mb(process) < before_mb + GROWTH_MB_MAX
        await asyncio.wait_for(wait_logged(world, f'decode: {part} over '), LOGGED_S)

    run_script(tmp_path, script)


@pytest.mark.parametrize('part', ENDLESS)
def test_endless_server_fails_only_its_own_requests(tmp_path, part):
    async def script(world):
        process = await world.gateway(2)
        await world.ready(2)
        before_mb = resident_mb(process)
        backend = world.backends['one']
        backend.faults.endless = ENDLESS[part]
        asking = [
            asyncio.create_task(
                ask(f'{HOST_PREFIX}.2:18100', '/once/x', 'POST', b'x', f'e-{number}')
            )
            for number in range(6)
        ]
        started = time.monotonic()
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x')
        assert time.monotonic() < started + LATE_S
        assert answer.status == 200
        statuses = {(await one).status for one in asking}
        assert statuses <= {502, 503}
        assert 502 in statuses
        await asyncio.wait_for(wait_closed(backend), CLOSED_S)
        assert time.monotonic() < started + 1.3
        assert resident_mb(process) < before_mb + GROWTH_MB_MAX
        assert max(backend.ran.count(f'e-{number}') for number in range(6)) == 1

    run_script(tmp_path, script)


@pytest.mark.parametrize('pause_ms', [0, 50])
@pytest.mark.parametrize('part', ENDLESS)
def test_other_server_answers_while_one_is_endless(tmp_path, part, pause_ms):
    async def script(world):
        other = FakeBackendServer('i-other', 'one', b'O' * 16)
        await other.start()
        world.backends['other'] = other
        world.store.put(f'servers/{other.name}', other.entry())
        await world.gateway(2)
        await world.ready(2)
        endless = world.backends['one']
        answer = ENDLESS[part]
        piece = answer.piece[:1] if pause_ms else answer.piece
        endless.faults.endless = EndlessResponse(answer.start, piece, pause_ms)
        asking = (
            ask(f'{HOST_PREFIX}.2:18100', '/single/x', request_id=f'h-{number}')
            for number in range(8)
        )
        for reply in await asyncio.gather(*asking):
            assert (reply.status, reply.body) == (200, other.content)
        assert endless.ran
        await asyncio.wait_for(wait_closed(endless), CLOSED_S)

    run_script(tmp_path, script)
