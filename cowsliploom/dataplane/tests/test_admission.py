"""Connections and calls wait for room, and the greediest make it."""

import asyncio

import pytest

from cowsliploom.dataplane import (
    ConnectionPool,
    ConnectionPools,
    HttpAnswer,
    HttpListener,
)
from cowsliploom.dataplane._admission import WAIT_MAX_MS, Admission
from cowsliploom.dataplane._room import RoomLimits, Use
from cowsliploom.forwarding import CallerLimits

KB = 1000
NO_LIMIT = float('inf')
LIMITS = CallerLimits(body_bytes_max=1000 * KB, header_timeout_ms=60_000)
BODY = b'x' * 200_000
SHORT_OF_END = BODY[1:]
ONE = b'GET /1 HTTP/1.1\r\n\r\n'
TINY = b'GET /%d HTTP/1.1\r\n\r\n'
LONG = b'POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n'


def run_in_room(bytes_max, script, descriptors_max=NO_LIMIT, handler=None):
    """Run a script with a listener in a process with so much room."""

    async def run():
        admission = Admission(RoomLimits(bytes_max, descriptors_max))
        listener = HttpListener(
            '127.0.0.1:0', handler or answer, lambda: LIMITS, admission=admission
        )
        await listener.start()
        async with asyncio.timeout(10):
            await script(listener, admission)
        await listener.close()

    asyncio.run(run())


def answer(request):
    """Answer with the length of the body."""
    request.answer(200, [], str(len(request.body)).encode())


async def connect(listener, content=b''):
    """Return the two ends of a new connection that has sent something."""
    host, _, port = listener.address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(content)
    return reader, writer


async def until(is_true):
    """Wait until a condition holds."""
    while not is_true():
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('count', [1, 17, 200, 3000])
def test_pipelined_requests_are_answered_in_order_and_parsed_by_and_by(count):
    held = []

    def answer_later(request):
        loop = asyncio.get_running_loop()
        loop.call_soon(request.answer, 200, [], request.target.encode())

    async def script(listener, admission):
        update = admission.room.update
        admission.room.update = lambda *args: update(*args) or held.append(args[1])
        content = b''.join(TINY % number for number in range(count))
        reader, writer = await connect(listener, content)
        for number in range(count):
            head = await reader.readuntil(b'\r\n\r\n')
            length = int(head.split(b'Content-Length: ')[1].split(b'\r\n')[0])
            assert await reader.readexactly(length) == b'/%d' % number
        writer.close()

    run_in_room(NO_LIMIT, script, handler=answer_later)
    assert max(held) < 200 * KB


def test_large_bodies_wait_and_are_all_served():
    async def script(listener, admission):
        clients = [await connect(listener, LONG) for _ in range(8)]
        for _, writer in clients:
            writer.write(BODY)
        for reader, writer in clients:
            received = await reader.readuntil(b'200000')
            assert received.startswith(b'HTTP/1.1 200')
            writer.close()
        assert admission.pauses
        assert not admission.shed

    run_in_room(600 * KB, script)


def test_body_that_stops_short_makes_room_for_others_that_wait():
    async def script(listener, admission):
        stuck = [await connect(listener, LONG + SHORT_OF_END) for _ in range(2)]
        await until(lambda: admission.room.held_bytes > 400 * KB)
        reader, _writer = await connect(listener, LONG + BODY)
        assert (await reader.readuntil(b'200000')).startswith(b'HTTP/1.1 200')
        refused = await stuck[0][0].read()
        assert refused.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 1' in refused
        assert admission.shed == 1

    run_in_room(600 * KB, script)


def test_small_request_is_served_while_bodies_fill_the_room():
    async def script(listener, _admission):
        for _ in range(12):
            await connect(listener, LONG + SHORT_OF_END)
        reader, _writer = await connect(listener, ONE)
        async with asyncio.timeout(WAIT_MAX_MS / 1000 / 2):
            assert (await reader.readuntil(b'\r\n')).startswith(b'HTTP/1.1 200')

    run_in_room(600 * KB, script)


def test_connection_not_used_for_longest_is_ended_for_a_new_one():
    async def script(listener, admission):
        clients = [await connect(listener) for _ in range(10)]
        await until(lambda: len(listener.connections) == 10)
        clients[0][1].write(ONE)
        await clients[0][0].readuntil(b'\r\n\r\n0')
        reader, _writer = await connect(listener, ONE)
        await reader.readuntil(b'\r\n\r\n0')
        assert await clients[1][0].read() == b''
        assert admission.room.descriptors[Use.CALLERS] == 10
        clients[0][1].write(ONE)
        await clients[0][0].readuntil(b'\r\n\r\n0')

    run_in_room(NO_LIMIT, script, descriptors_max=20)


def test_rejected_client_that_stays_is_reset():
    async def script(listener, admission):
        reader, _writer = await connect(listener, b'nonsense\r\n\r\n')
        assert (await reader.readuntil(b'\r\n')).startswith(b'HTTP/1.1 400')
        await until(lambda: not listener.connections)
        assert admission.room.held_bytes == 0
        assert admission.room.descriptors.total() == 0

    run_in_room(NO_LIMIT, script)


def test_answer_waits_until_the_process_has_room_for_all_of_it():
    body = BODY

    def serve(request):
        request.answer(200, [], body)

    async def script(listener, _admission):
        admission = Admission(RoomLimits(bytes_max=500 * KB))
        pool = ConnectionPool(listener.address, admission=admission)
        admission.charge('other work', 290 * KB)
        asked = asyncio.ensure_future(pool.ask(ONE, 5000))
        await until(lambda: admission.waiting)
        assert admission.room.held_bytes < 400 * KB
        admission.charge('other work', 0)
        assert await asked == HttpAnswer(200, [('Content-Length', '200000')], body)
        pool.close()
        await until(lambda: not admission.room.held_bytes)

    run_in_room(NO_LIMIT, script, handler=serve)


def test_unread_answer_counts_whole_until_it_is_read():
    """The transport kept 4 MB of which 0.6 MB, beyond the socket's buffer, counted."""
    body = b'x' * 8_000 * KB

    def serve(request):
        request.answer(200, [], body)

    async def script(listener, admission):
        reader, _writer = await connect(listener, ONE)
        await until(lambda: admission.room.held_bytes > 100 * KB)
        await asyncio.sleep(0.1)
        assert admission.room.held_bytes >= len(body)
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(len(body)) == body
        await until(lambda: admission.room.held_bytes < 100 * KB)

    run_in_room(NO_LIMIT, script, handler=serve)


@pytest.mark.parametrize('descriptors_max', [1, 2])
def test_call_without_a_descriptor_fails_before_it_is_sent(descriptors_max):
    async def script(listener, _admission):
        admission = Admission(RoomLimits(descriptors_max=descriptors_max))
        admission.room.open(Use.CALLERS)
        pool = ConnectionPool(listener.address, admission=admission)
        result = await pool.ask(ONE, 5000)
        if descriptors_max == 1:
            assert (result.step, result.may_have_run) == ('local', False)
            assert admission.refused == 1
        else:
            assert result.status == 200
        pool.close()
        await until(lambda: admission.room.descriptors.total() == 1)

    run_in_room(NO_LIMIT, script)


def test_new_connection_is_accepted_once_a_busy_one_is_idle():
    """Busy connections filled the listener, and nobody looked for idle ones later."""
    waiting = []

    async def script(listener, _admission):
        busy = [await connect(listener, ONE) for _ in range(10)]
        await until(lambda: len(waiting) == 10)
        reader, _writer = await connect(listener, ONE)
        await asyncio.sleep(0.05)
        for request in tuple(waiting):
            request.answer(200, [], b'')
        await until(lambda: len(waiting) == 11)
        waiting[-1].answer(200, [], b'')
        assert (await reader.readuntil(b'\r\n')).startswith(b'HTTP/1.1 200')
        assert len(busy) == 10

    run_in_room(NO_LIMIT, script, descriptors_max=20, handler=waiting.append)


def test_idle_calls_leave_descriptors_to_new_connections():
    """Idle connections to servers took all, and nobody was accepted for seconds."""

    async def script(listener, admission):
        pool = ConnectionPool(listener.address)
        shared = ConnectionPools(admission=admission)
        pools = [shared.get(peer, listener.address) for peer in range(4)]
        await asyncio.gather(*(each.ask(ONE, 5000) for each in pools))
        assert admission.room.descriptors == {Use.CALLS: 4, Use.CALLERS: 4}
        admission.room.descriptors[Use.METRICS] = 2
        assert (await pool.ask(ONE, 5000)).status == 200
        pool.close()

    run_in_room(NO_LIMIT, script, descriptors_max=10)


class Waiter:
    """Waiter that needs room several times, one after the other."""

    is_work = False
    wanted_bytes = 10 * KB

    def __init__(self, admission, times):
        self.admission = admission
        self.times = times

    def take(self):
        """Return whether there is room."""
        return self.admission.room.admits(self.wanted_bytes)

    def on_room(self):
        """Wait once more, unless it was often enough."""
        self.times -= 1
        if self.times:
            self.admission.wait(self)


def test_one_that_waits_again_when_it_goes_on_is_not_forgotten():
    async def script(_listener, admission):
        waiter = Waiter(admission, times=3)
        admission.charge('other work', 600 * KB)
        admission.wait(waiter)
        await asyncio.sleep(0.02)
        assert (waiter.times, admission.waiting) == (3, 1)
        admission.charge('other work', 0)
        await until(lambda: not waiter.times)
        assert not admission.waiting

    run_in_room(600 * KB, script)
