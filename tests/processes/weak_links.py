"""Links of limited rate between gateways on loopback, one per gateway."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine, Iterable
from functools import partial

LINK_PORTS = 18200  # plus the sender's number; not used by the settings
PEERS_PORT = 18102
CHUNK_BYTES = 8192
BURST_S = 0.02  # bytes forwarded late by a busy machine are caught up at once
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000

HostOf = Callable[[int], str]


class _LinkSchedule:
    """Schedule transmissions on one direction of a gateway's link, in sequence."""

    def __init__(self, mbit_per_s: float) -> None:
        self._s_per_byte = BITS_PER_BYTE / (mbit_per_s * BITS_PER_MBIT)
        self._free_s = time.monotonic()

    def transmit_s(self, count: int) -> float:
        """Add a number of bytes; return the time when they are transmitted."""
        start_s = max(time.monotonic() - BURST_S, self._free_s)
        self._free_s = start_s + count * self._s_per_byte
        return self._free_s


class WeakLinks:
    """Forward traffic between gateways at the rate of each gateway's link.

    Parameters
    ----------
    host_of : callable
        Returns the host of a gateway.
    numbers : iterable of int
        Gateways; each connects to another's port ``LINK_PORTS`` plus its own number.
    mbit_per_s : float
        Rate of each link, the same in both directions.
    """

    def __init__(
        self, host_of: HostOf, numbers: Iterable[int], mbit_per_s: float
    ) -> None:
        self.host_of = host_of
        self._out = {number: _LinkSchedule(mbit_per_s) for number in numbers}
        self._in = {number: _LinkSchedule(mbit_per_s) for number in numbers}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> 'WeakLinks':
        """Open a port at each gateway for each of the others."""
        for sender in self._out:
            for target in self._in:
                server = await asyncio.start_server(
                    partial(self._accept, sender, target),
                    self.host_of(target),
                    LINK_PORTS + sender,
                )
                self._servers.append(server)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Close all links."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self,
        sender: int,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._serve(sender, target, reader, writer)
        )
        self._tasks.add(task)
        task.add_done_callback(partial(self._close, writer))

    def _close(self, writer: asyncio.StreamWriter, task: asyncio.Task[None]) -> None:
        """Close a connection, even if its task was cancelled before its first step."""
        self._tasks.discard(task)
        writer.close()

    async def _serve(
        self,
        sender: int,
        target: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host_of(target), PEERS_PORT
            )
        except OSError:
            writer.transport.abort()
            return
        outbound = (self._out[sender], self._in[target])
        inbound = (self._out[target], self._in[sender])
        async with contextlib.AsyncExitStack() as stack:
            for end in (writer, far_writer):
                stack.callback(end.close)
            await _run_until_first(
                _pump(reader, far_writer, outbound), _pump(far_reader, writer, inbound)
            )


async def _run_until_first(*coroutines: Coroutine[None, None, None]) -> None:
    """Run coroutines until the first ends, then cancel the others."""
    tasks = [asyncio.ensure_future(each) for each in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    except asyncio.CancelledError:
        _cancel(tasks)
        raise
    _cancel(tasks)


def _cancel(tasks: Iterable[asyncio.Future[None]]) -> None:
    for task in tasks:
        task.cancel()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    schedules: tuple[_LinkSchedule, ...],
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(CHUNK_BYTES):
            done_s = max(schedule.transmit_s(len(chunk)) for schedule in schedules)
            await asyncio.sleep(max(0, done_s - time.monotonic()))
            writer.write(chunk)
            await writer.drain()
