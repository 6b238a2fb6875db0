"""Gateways as real processes before a stand-in store and backend servers."""

import asyncio
import os
import signal
import sys
import time

import msgspec
import pytest

from cowsliploom.dataplane import ConnectionPool, HttpAnswer, HttpCall
from cowsliploom.standins import UsersBackend, UsersStore

pytestmark = pytest.mark.processes

SHARDS = ('s0', 's1', 's2', 's3')
MANY = tuple(f'k{number:02}' for number in range(48))  # so many are shared out
PLACE = f'127.0.{os.getpid() % 250 + 1}'  # apart for each test process
START_S = 10
LATE_S = 0.6  # the target is 0.15 s; the machine may be busy


def configuration(version, **extra):
    """Return the operator's configuration as it is written."""
    wide = {
        'name': 'wide',
        'host': 'h',
        'prefix': '/wide/',
        'kind': 'safe',
        'timeoutMs': 1500,
        'targetLatencyMs': 150,
        'fanoutServices': SHARDS,
        'topK': 3,
        'minShardShare': 0.5,
        'maxAttempts': 2,
    }
    once = {
        'name': 'once',
        'host': 'h',
        'prefix': '/once/',
        'kind': 'unsafe',
        'timeoutMs': 1500,
        'targetLatencyMs': 500,
        'service': 'one',
        'maxAttempts': 2,
    }
    many = {
        **wide,
        'name': 'many',
        'prefix': '/many/',
        'fanoutServices': MANY,
        'minShardShare': 0.9,
    }
    names = (*SHARDS, 'one', *MANY)
    services = [{'name': name, 'maxConnections': 55} for name in names]
    routes = [wide, once, many]
    return msgspec.json.encode(
        {'version': version, 'routes': routes, 'services': services, **extra}
    )


def settings(number, store_address, seeds):
    """Return the text of a gateway's settings file."""
    host = f'{PLACE}.{number}'
    return '\n'.join(
        (
            f'node=vm-{number}',
            'zone=de',
            f'listen.front={host}:18100',
            f'listen.ready={host}:18101',
            f'listen.control={host}:18102',
            'internalPorts=18103,18110',
            f'platform.address={store_address}',
            f'seeds={seeds}',
            'bounds.retryBudgetRatio=0.2',
            'bounds.retryBudgetExtra=50',
            'bounds.retryWindowS=10',
            'bounds.graceS=4',
        )
    )


class World:
    """A store, backend servers and gateways."""

    def __init__(self, folder):
        self.folder = folder
        self.store = UsersStore()
        self.backends = {}
        self.processes = {}

    async def __aenter__(self):
        """Start the stand-ins and tell the store of them."""
        await self.store.start()
        for number, service in enumerate((*SHARDS, 'one')):
            backend = UsersBackend(f'i-{service}', service, bytes([65 + number]) * 16)
            await backend.start()
            self.backends[service] = backend
            self.store.put(f'servers/{backend.name}', backend.entry())
        self.store.put('op/config', configuration(3))
        return self

    async def add_many(self):
        """Start the servers of a query of many shards."""
        for number, service in enumerate(MANY):
            content = bytes([100 + number]) * 16
            backend = UsersBackend(f'i-{service}', service, content)
            await backend.start()
            self.backends[service] = backend
            self.store.put(f'servers/{backend.name}', backend.entry())

    async def shared_fleet(self):
        """Start gateways that share queries out, and wait until they know all."""
        await self.add_many()
        for number in (2, 3, 4, 5, 6):
            await self.gateway(number, f'{PLACE}.2:18102')
        for number in (2, 3, 4, 5, 6):
            await self.ready(number)
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            log = (self.folder / 'vm-2.log').read_text()
            if '"event":"changed","live":5' in log and 'i-k47' in log:
                return
            await asyncio.sleep(0.1)
        raise AssertionError('the gateways have not met')

    async def gateway(self, number, seeds=''):
        """Start a gateway."""
        path = self.folder / f'vm-{number}.conf'
        path.write_text(settings(number, self.store.address, seeds))
        log = (self.folder / f'vm-{number}.log').open('wb')
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'cowsliploom.gateway',
            env={**os.environ, 'COWSLIPLOOM_SETTINGS': str(path)},
            stdout=log,
            stderr=log,
        )
        self.processes[number] = process
        return process

    async def ready(self, number):
        """Wait until a gateway is ready."""
        end = time.monotonic() + START_S
        while time.monotonic() < end:
            answer = await ask(f'{PLACE}.{number}:18101', '/v1/ready')
            if isinstance(answer, HttpAnswer) and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError((self.folder / f'vm-{number}.log').read_text())

    async def __aexit__(self, *_exc):
        """End all that was started here."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for backend in self.backends.values():
            await backend.close()
        await self.store.close()


async def ask(address, target, method='GET', body=b'', request_id='r-1'):
    """Send a caller's request and return the result."""
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n'
        f'Deadline: 1400\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    done = asyncio.get_running_loop().create_future()
    pool = ConnectionPool(address)
    pool.send(HttpCall(head.encode() + body, done.set_result))
    result = await asyncio.wait_for(done, 5)
    pool.close()
    return result


def play(folder, script):
    """Run a script in a world of its own."""

    async def run():
        async with World(folder) as world:
            await script(world)

    asyncio.run(run())


def test_requests_are_served_from_parts_and_by_one_server(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        answer = await ask(f'{PLACE}.2:18100', '/wide/x?q=1')
        headers = dict(answer.headers)
        assert answer.body == b'D' * 16 + b'C' * 16 + b'B' * 16
        assert headers['Missing-Parts'] == '0'
        assert len(headers['Part-Stamps'].split(', ')) == len(SHARDS)
        arrived = world.backends['s0'].arrived[-1]
        assert arrived['target'] == '/wide/x?q=1'
        assert arrived['target-instance'] == 'i-s0'
        assert 0 < int(arrived['deadline']) <= 1400
        answer = await ask(f'{PLACE}.2:18100', '/once/x', 'POST', b'two words')
        assert (answer.status, answer.body) == (200, b'E' * 16)
        answer = await ask(f'{PLACE}.2:18100', '/other/x')
        assert answer.status == 404

    play(tmp_path, script)


def test_a_mute_shard_is_left_out_in_time_and_told(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['s3'].faults.is_mute = True
        started = time.monotonic()
        answer = await ask(f'{PLACE}.2:18100', '/wide/x')
        assert time.monotonic() < started + LATE_S
        assert dict(answer.headers)['Missing-Parts'] == '1'
        assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16

    play(tmp_path, script)


def test_an_unsafe_request_is_refused_truly_when_the_server_sheds(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.sheds = True
        answer = await ask(f'{PLACE}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert float(dict(answer.headers)['Retry-After']) > 0
        assert not world.backends['one'].ran

    play(tmp_path, script)


def test_an_address_with_another_server_runs_nothing(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].name = 'i-another'
        answer = await ask(f'{PLACE}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status == 503
        assert not world.backends['one'].ran

    play(tmp_path, script)


def test_an_answer_to_another_request_is_not_passed_on(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.crossed_id = 'r-0'
        answer = await ask(f'{PLACE}.2:18100', '/once/x', 'POST', b'x')
        assert answer.status in {502, 504}

    play(tmp_path, script)


def test_a_gateway_that_starts_without_the_store_learns_from_a_peer(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.store.faults.is_silent = True
        await world.gateway(3, seeds=f'{PLACE}.2:18102')
        await world.ready(3)
        answer = await ask(f'{PLACE}.3:18100', '/wide/x')
        assert answer.status == 200

    play(tmp_path, script)


def test_a_new_version_is_in_force_at_all_soon_though_one_is_turned_away(tmp_path):
    async def script(world):
        await world.gateway(2)
        await world.gateway(3, seeds=f'{PLACE}.2:18102')
        await world.ready(2)
        await world.ready(3)
        await asyncio.sleep(1)
        world.store.forget_history()
        world.store.put('op/config', configuration(9, routes=[]))
        for number in (2, 3):
            end = time.monotonic() + 3
            while time.monotonic() < end:
                answer = await ask(f'{PLACE}.{number}:18100', '/wide/x')
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
        asking = asyncio.create_task(ask(f'{PLACE}.2:18100', '/once/x', 'POST', b'x'))
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        answer = await ask(f'{PLACE}.2:18101', '/v1/ready')
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
                f'{PLACE}.2:18100', '/many/x?q=1', request_id=f'm-{number}'
            )
            headers = dict(answer.headers)
            assert headers['Missing-Parts'] == '0'
            assert len(headers['Part-Stamps'].split(', ')) == len(MANY)
            tops = (147, 146, 145)
            assert answer.body == b''.join(bytes([top]) * 16 for top in tops)
        assert set(calls_of(world, 'm-4')) == {1}
        arrived = world.backends['k07'].arrived[-1]
        assert arrived['target'] == '/many/x?q=1'
        assert arrived['target-instance'] == 'i-k07'
        assert 0 < int(arrived['deadline']) <= 1400

    play(tmp_path, script)


@pytest.mark.parametrize('blow', [signal.SIGKILL, signal.SIGSTOP])
def test_a_lost_relay_costs_no_part_and_no_third_run(tmp_path, blow):
    async def script(world):
        await world.shared_fleet()
        await ask(f'{PLACE}.2:18100', '/many/x')
        for number in (4, 5):
            world.processes[number].send_signal(blow)
        for number in range(8):
            answer = await ask(f'{PLACE}.2:18100', '/many/x', request_id=f'l-{number}')
            assert answer.status == 200
            assert dict(answer.headers)['Missing-Parts'] == '0'
            assert max(calls_of(world, f'l-{number}')) <= 2

    play(tmp_path, script)
