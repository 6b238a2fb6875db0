"""Each incarnation of a server has connections of its own."""

import asyncio
from dataclasses import replace

import pytest

from cowsliploom.dataplane import HttpCall
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.gateway._calls import ServerPools

CLOSE_S = 0.05  # for the ends of the connections
ANSWER = b'HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n'


async def serve(reader, writer):
    """Answer each request of a connection, saying that the server leaves."""
    try:
        while await reader.readuntil(b'\r\n\r\n'):
            writer.write(ANSWER)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def call(pools, server):
    """Call a server once."""
    done = asyncio.get_running_loop().create_future()
    pools.send(server, HttpCall(b'GET / HTTP/1.1\r\n\r\n', done.set_result))
    return await asyncio.wait_for(done, 1)


@pytest.mark.parametrize('moves', [False, True])
def test_server_that_starts_anew_under_its_name_gets_new_connections(moves):
    """Guard against calls to the address, or by the word, of an earlier start."""

    async def run():
        first = await asyncio.start_server(serve, '127.0.0.1', 0)
        second = await asyncio.start_server(serve, '127.0.0.1', 0)
        ports = [each.sockets[0].getsockname()[1] for each in (first, second)]
        pools = ServerPools(make_dispatcher(servers=0))
        fleet = pools.dispatcher.fleet
        known = replace(record('one-0', 'one'), address=f'127.0.0.1:{ports[0]}')
        fleet.update([known], 0)
        await call(pools, fleet.get('one-0'))
        assert fleet.get('one-0').standing.is_leaving
        address = f'127.0.0.1:{ports[moves]}'
        fleet.update([replace(known, address=address, born_ms=5)], 1)
        assert not fleet.get('one-0').standing.is_leaving
        if moves:
            first.close()
            await first.wait_closed()
        pools.close_removed()
        result = await call(pools, fleet.get('one-0'))
        assert result.status == 200
        pools.close_idle()
        second.close()
        await asyncio.sleep(CLOSE_S)

    asyncio.run(run())


def test_server_that_leaves_by_the_word_of_another_vm_gets_no_calls():
    async def run():
        pools = ServerPools(make_dispatcher())
        pools.record_leaving(('one-0', 'unknown'))
        return pools.dispatcher.fleet.get('one-0').accepts_requests

    assert not asyncio.run(run())
