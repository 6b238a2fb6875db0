"""Pool of the HTTP/1.1 client connections to one address."""

import asyncio
from collections import Counter
from functools import partial

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._bounds import AnswerBounds
from cowsliploom.dataplane._call_connection import MS_PER_S, CallConnection
from cowsliploom.dataplane._http_calls import (
    NO_HEAD_WATCH,
    CallResult,
    HeadWatch,
    HttpCall,
    HttpFailure,
)
from cowsliploom.dataplane._opening import Opening
from cowsliploom.forwarding import CallStep
from cowsliploom.protocol import split_address

CONNECT_TIMEOUT_MS = 250  # the retransmission of a lost SYN comes too late


class ConnectionPool:
    """Pool of the connections to one address.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address.
    connect_timeout_ms : float
        Time allowed for opening a connection.
    dead_peer_timeout_ms : int
        Time without an acknowledgement after which the kernel closes a connection.
    bounds : AnswerBounds
        Upper bounds of one answer.
    head_watch : HeadWatch
        Receives the heads of certain answers. Default none.
    counts : Counter or None
        Counts answers that are unnamed or belong to other calls, and connections that
        were passed over; may be shared by several pools. Default a new one.
    admission : Admission or None
        Account of the process. Default one without limits.
    has_priority : bool
        Whether answers are read also when room is short. Default False.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        dead_peer_timeout_ms: int = 2000,
        bounds: AnswerBounds = AnswerBounds(),  # noqa: WPS404 (frozen)
        head_watch: HeadWatch = NO_HEAD_WATCH,
        counts: Counter[str] | None = None,
        admission: Admission | None = None,
        has_priority: bool = False,
    ) -> None:
        self.address = address
        self.admission = Admission() if admission is None else admission
        self.has_priority = has_priority
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.connect_timeout_ms = connect_timeout_ms
        self.dead_peer_timeout_ms = dead_peer_timeout_ms
        self.bounds = bounds
        self.head_watch = head_watch
        self._loop = asyncio.get_running_loop()
        self._idle: list[CallConnection] = []
        self._opening: set[asyncio.Task[None]] = set()
        self._all: set[CallConnection] = set()
        self._is_closed = False

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._all)

    def send(self, call: HttpCall) -> None:
        """Send a call on an idle connection or a new one."""
        connection = self._take_idle(call)
        if connection is not None:
            self._send_on(connection, call)
            return
        opening = self._loop.create_task(self._open(call))
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def ask(self, content: bytes, timeout_ms: float) -> CallResult | None:
        """Send a complete request and return its result, or None after the timeout."""
        done: asyncio.Future[CallResult] = self._loop.create_future()
        call = HttpCall(content, partial(_set_result, done))
        self.send(call)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                return await done
        except TimeoutError:
            call.cancel()
            return None

    def release(self, connection: CallConnection) -> None:
        """Return a connection to the pool for the next call."""
        if self._is_closed:
            connection.close()
            return
        connection.idle_since_ms = self._loop.time() * MS_PER_S
        self._idle.append(connection)

    def discard(self, connection: CallConnection) -> None:
        """Remove a closed connection from the pool."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_idle(self) -> None:
        """Close the connections without an open call."""
        for connection in tuple(self._idle):
            connection.close()

    def close(self) -> None:
        """Close idle connections now and the others after their call."""
        self._is_closed = True
        self.drop_idle()

    def _take_idle(self, call: HttpCall) -> CallConnection | None:
        """Return the newest idle connection that the call may use, or None.

        If there are only idle connections that it may not use, one of them is closed,
        so that the pool does not grow by the connection that is then opened.
        """
        now_ms = self._loop.time() * MS_PER_S
        barred: list[CallConnection] = []
        found: CallConnection | None = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if connection.is_usable(now_ms):
                if call.may_use(connection):
                    found = connection
                else:
                    barred.append(connection)
            else:
                connection.close()
        self.counts['connections_passed_over'] += len(barred)
        if barred and found is None:
            barred.pop().close()
        self._idle.extend(reversed(barred))
        return found

    async def _open(self, call: HttpCall) -> None:
        """Open a connection for a call, if a descriptor is left."""
        descriptor = await self.admission.open_for_call()
        if descriptor is None:
            reason = 'no descriptor is left for calls'
            call.end(HttpFailure(CallStep.LOCAL, self.address, reason, False))
            return
        connection = CallConnection(self, descriptor)
        with Opening(connection, call):
            await self._connect(connection)
        if call.is_ended and not connection.is_open:
            return
        self._all.add(connection)
        if call.is_ended:
            self.release(connection)
            return
        self._send_on(connection, call)

    async def _connect(self, connection: CallConnection) -> None:
        host, port = split_address(self.address)
        async with asyncio.timeout(self.connect_timeout_ms / MS_PER_S):
            await self._loop.create_connection(lambda: connection, host=host, port=port)

    def _send_on(self, connection: CallConnection, call: HttpCall) -> None:
        """Send a call; after an unexpected error it may have been sent in part."""
        try:
            connection.send(call)
        except Exception as error:
            self.counts['call_errors'] += 1
            connection.abort()
            failure = HttpFailure(CallStep.SEND, self.address, repr(error), True)
            self._loop.call_soon(call.end, failure)


def _set_result(done: 'asyncio.Future[CallResult]', result: CallResult) -> None:
    if not done.done():
        done.set_result(result)
