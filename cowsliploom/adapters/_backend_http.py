"""Calls on one backend server over HTTP, each connection owned by one worker."""

import contextlib
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    LocationValueError,
    NewConnectionError,
    ReadTimeoutError,
)

from cowsliploom.ports import Clock
from cowsliploom.protocol import (
    AddressError,
    CallRefusal,
    CancelCall,
    HealthReport,
    LoadReport,
    Ran,
    RunCall,
    RunReply,
    SearchCall,
    SearchReply,
    decode_json,
    split_address,
)
from cowsliploom.routing import FailureStep

MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 250  # a live server within 3 ms one way answers far sooner
CONTROL_TIMEOUT_MS = 1000  # probes and cancellations; a slower answer is stale
IDLE_RETIRE_MS = 20000  # below common idle limits of middleboxes
STATUS_OK = 200
BODY_BYTES_MAX = 4_000_000  # of an answer
READ_BYTES = 65_536
JSON_HEADERS = {'Content-Type': 'application/json'}  # noqa: WPS407

CallBody = SearchCall | RunCall


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Ask a worker to send a call and to give up at ``deadline_ms``."""

    call_id: str
    call: CallBody
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Report a call without a readable answer.

    ``ran`` is ``no`` only when no byte of the request was sent.
    """

    step: FailureStep
    peer: str
    ran: Ran
    timed_out: bool
    reason: str


CallOutcome = SearchReply | RunReply | CallRefusal | CallFailure
OnOutcome = Callable[[str, str, CallOutcome], None]
OnReport = Callable[[HealthReport | LoadReport | None], None]


class _BodyTooLong(HTTPError):
    """An answer's body is longer than what is read of one."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """Hold an answer that was read whole."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Stop:
    """Ask one worker to end."""


def _failure_of(error: Exception, peer: str) -> CallFailure:
    timed_out = isinstance(error, (ReadTimeoutError, ConnectTimeoutError))
    if isinstance(error, (NewConnectionError, ConnectTimeoutError, LocationValueError)):
        return CallFailure(FailureStep.CONNECT, peer, Ran.NO, timed_out, str(error))
    if isinstance(error, _BodyTooLong):
        return CallFailure(FailureStep.DECODE, peer, Ran.UNKNOWN, False, str(error))
    return CallFailure(FailureStep.RECEIVE, peer, Ran.UNKNOWN, timed_out, str(error))


def _path_and_reply(call: CallBody) -> tuple[str, type[SearchReply] | type[RunReply]]:
    match call:
        case SearchCall():
            return '/v1/search', SearchReply
        case RunCall():
            return '/v1/run', RunReply


def _open_pool(address: str) -> urllib3.HTTPConnectionPool:
    try:
        host, port = split_address(address)
    except AddressError as error:
        raise LocationValueError(str(error)) from error
    return urllib3.HTTPConnectionPool(host, port, maxsize=1, block=True)


class _Connection:
    """Own one connection to a backend server; used by one thread only."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._used_ms = clock.now_ms()
        self._pool: urllib3.HTTPConnectionPool | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None

    def renew(self) -> None:
        """Close the connection; the next call opens a fresh one."""
        self.close()

    def call(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for its outcome until the deadline."""
        left_ms = request.deadline_ms - self._clock.now_ms()
        if left_ms <= 0:
            return CallFailure(
                FailureStep.CONNECT,
                self._address,
                Ran.NO,
                timed_out=False,
                reason='deadline passed before sending',
            )
        path, reply_type = _path_and_reply(request.call)
        try:
            response = self.send('POST', path, left_ms, request.call)
        except HTTPError as error:
            return _failure_of(error, self._address)
        return self._decode(response, reply_type)

    def send(
        self, method: str, path: str, timeout_ms: float, body: object = None
    ) -> _Answer:
        """Send a request on a connection young enough to be trusted.

        Raises
        ------
        HTTPError
            If no answer of a bounded size was read in time.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._used_ms > IDLE_RETIRE_MS:
            self.renew()
        self._used_ms = now_ms
        pool = self._pool or _open_pool(self._address)
        self._pool = pool
        response = pool.urlopen(
            method,
            path,
            body=None if body is None else msgspec.json.encode(body),
            headers=JSON_HEADERS,
            timeout=urllib3.Timeout(
                connect=min(timeout_ms, CONNECT_TIMEOUT_MS) / MS_PER_S,
                total=timeout_ms / MS_PER_S,
            ),
            retries=False,
            preload_content=False,
        )
        return _Answer(response.status, self._read(pool, response, now_ms + timeout_ms))

    def _read(
        self,
        pool: urllib3.HTTPConnectionPool,
        response: urllib3.BaseHTTPResponse,
        end_ms: float,
    ) -> bytes:
        """Read a body; the library's timeout begins anew with each piece."""
        body = bytearray()
        try:
            while piece := response.read1(READ_BYTES):
                body += piece
                if len(body) > BODY_BYTES_MAX:
                    raise _BodyTooLong(f'body over {BODY_BYTES_MAX} bytes')
                if self._clock.now_ms() > end_ms:
                    raise ReadTimeoutError(pool, '', 'body not whole in time')
        except HTTPError:
            response.close()
            raise
        finally:
            response.release_conn()
        return bytes(body)

    def _decode(
        self,
        response: _Answer,
        reply_type: type[SearchReply] | type[RunReply],
    ) -> CallOutcome:
        shape: type[CallOutcome] = CallRefusal
        if response.status == STATUS_OK:
            shape = reply_type
        try:
            return decode_json(response.body, shape)
        except msgspec.MsgspecError as error:
            return CallFailure(
                FailureStep.DECODE,
                self._address,
                Ran.UNKNOWN,
                timed_out=False,
                reason=str(error),
            )


class BackendServer:
    """Own the workers and connections of one entry VM to one backend server.

    Parameters
    ----------
    name : str
        Name of the backend server.
    address : str
        ``host:port`` of the backend server.
    on_outcome : callable
        Takes server name, call id and outcome; called on worker threads.
    clock : Clock
        Clock that deadlines are counted on.

    Notes
    -----
    Each worker thread owns one connection, so that a connection that goes
    silent holds up nobody else. One more worker carries probes and
    cancellations, so that they never wait behind calls.
    """

    def __init__(
        self, name: str, address: str, on_outcome: OnOutcome, clock: Clock
    ) -> None:
        self.name = name
        self.address = address
        self._on_outcome = on_outcome
        self._clock = clock
        self._calls: queue.SimpleQueue[CallRequest | _Stop] = queue.SimpleQueue()
        self._control: queue.SimpleQueue[Callable[[_Connection], None] | _Stop] = (
            queue.SimpleQueue()
        )
        self._workers = 0
        self._in_flight = 0
        self._generation = 0

    def __enter__(self) -> 'BackendServer':
        """Open the server for calls."""
        self.open()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the server."""
        self.close()

    def open(self) -> None:
        """Start the control worker."""
        self._spawn(self._serve_control)

    def close(self) -> None:
        """Ask all workers to end after the calls they hold."""
        for _ in range(self._workers):
            self._calls.put(_Stop())
        self._control.put(_Stop())

    def call(self, request: CallRequest, connections_max: int) -> None:
        """Send a call from an idle worker, or a new one within the allowance.

        Parameters
        ----------
        request : CallRequest
            Call to send.
        connections_max : int
            Connections for calls that this entry VM may hold.
        """
        self._in_flight += 1
        if self._in_flight > self._workers and self._workers < connections_max:
            self._workers += 1
            self._spawn(self._serve_calls)
        self._calls.put(request)

    def record_call_end(self) -> None:
        """Note that an outcome was taken, on the thread that calls ``call``."""
        self._in_flight -= 1

    def retire_connections(self) -> None:
        """Let each worker replace its connection before its next call."""
        self._generation += 1

    def cancel(self, call_id: str) -> None:
        """Ask the backend server to drop a call."""
        body = CancelCall(call_id)
        self._control.put(
            lambda connection: _ignore(connection, body),
        )

    def probe(self, on_report: OnReport, *, with_load: bool) -> None:
        """Fetch health, and load if asked; ``None`` stands for no answer."""
        self._control.put(lambda connection: _probe(connection, on_report, with_load))

    def _spawn(self, target: Callable[[], None]) -> None:
        threading.Thread(
            target=target, name=f'backend-{self.name}', daemon=True
        ).start()

    def _serve_calls(self) -> None:
        connection = _Connection(self.address, self._clock)
        generation = self._generation
        while True:
            request = self._calls.get()
            if isinstance(request, _Stop):
                break
            if generation != self._generation:
                generation = self._generation
                connection.renew()
            self._on_outcome(self.name, request.call_id, connection.call(request))
        connection.close()

    def _serve_control(self) -> None:
        connection = _Connection(self.address, self._clock)
        while True:
            work = self._control.get()
            if isinstance(work, _Stop):
                break
            work(connection)
        connection.close()


def _ignore(connection: _Connection, body: CancelCall) -> None:
    with contextlib.suppress(HTTPError):
        connection.send('POST', '/v1/cancel', CONTROL_TIMEOUT_MS, body)


def _fetch(
    connection: _Connection, path: str, shape: type[HealthReport] | type[LoadReport]
) -> HealthReport | LoadReport | None:
    try:
        response = connection.send('GET', path, CONTROL_TIMEOUT_MS)
    except HTTPError:
        return None
    try:
        return decode_json(response.body, shape)
    except msgspec.MsgspecError:
        return None


def _probe(connection: _Connection, on_report: OnReport, with_load: bool) -> None:
    on_report(_fetch(connection, '/v1/health', HealthReport))
    if with_load:
        on_report(_fetch(connection, '/v1/load', LoadReport))
