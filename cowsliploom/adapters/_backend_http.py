"""HTTP client of a backend server; each connection is owned by one worker thread."""

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
CONNECT_TIMEOUT_MS = 250  # far above the 3 ms one-way latency to a live server
CONTROL_TIMEOUT_MS = 1000  # probes and cancellations; a later response is stale
IDLE_MAX_MS = 20000  # below common idle timeouts of middleboxes
STATUS_OK = 200
BODY_BYTES_MAX = 4_000_000  # of a response
READ_CHUNK_BYTES = 65_536
JSON_HEADERS = {'Content-Type': 'application/json'}  # noqa: WPS407

CallBody = SearchCall | RunCall


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A call for a worker to send, which fails at ``deadline_ms``."""

    call_id: str
    call: CallBody
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Report a call without a decodable response.

    ``ran`` is ``no`` only if no byte of the request was sent.
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
    """Report a response body longer than ``BODY_BYTES_MAX``."""


@dataclass(frozen=True, slots=True)
class _Response:
    """Status and complete body of a response."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class _Stop:
    """Request that one worker exits."""


def _make_failure(error: Exception, peer: str) -> CallFailure:
    timed_out = isinstance(error, (ReadTimeoutError, ConnectTimeoutError))
    if isinstance(error, (NewConnectionError, ConnectTimeoutError, LocationValueError)):
        return CallFailure(FailureStep.CONNECT, peer, Ran.NO, timed_out, str(error))
    if isinstance(error, _BodyTooLong):
        return CallFailure(FailureStep.DECODE, peer, Ran.UNKNOWN, False, str(error))
    return CallFailure(FailureStep.RECEIVE, peer, Ran.UNKNOWN, timed_out, str(error))


def _path_and_reply_type(
    call: CallBody,
) -> tuple[str, type[SearchReply] | type[RunReply]]:
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
    """One connection to a backend server; used by a single thread."""

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._clock = clock
        self._last_used_ms = clock.now_ms()
        self._pool: urllib3.HTTPConnectionPool | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._pool is not None:
            self._pool.close()
            self._pool = None

    def reset(self) -> None:
        """Close the connection; the next call opens a new one."""
        self.close()

    def call(self, request: CallRequest) -> CallOutcome:
        """Send a call and wait for its outcome, at most until the deadline."""
        time_left_ms = request.deadline_ms - self._clock.now_ms()
        if time_left_ms <= 0:
            return CallFailure(
                FailureStep.CONNECT,
                self._address,
                Ran.NO,
                timed_out=False,
                reason='deadline passed before sending',
            )
        path, reply_type = _path_and_reply_type(request.call)
        try:
            response = self.send('POST', path, time_left_ms, request.call)
        except HTTPError as error:
            return _make_failure(error, self._address)
        return self._decode(response, reply_type)

    def send(
        self, method: str, path: str, timeout_ms: float, body: object = None
    ) -> _Response:
        """Send a request, on a new connection if the current one idled too long.

        Raises
        ------
        HTTPError
            If no response within the size limit was read in time.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_used_ms > IDLE_MAX_MS:
            self.reset()
        self._last_used_ms = now_ms
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
        return _Response(
            response.status, self._read_body(pool, response, now_ms + timeout_ms)
        )

    def _read_body(
        self,
        pool: urllib3.HTTPConnectionPool,
        response: urllib3.BaseHTTPResponse,
        deadline_ms: float,
    ) -> bytes:
        """Read a body until the deadline; urllib3's timeout restarts with each read."""
        body = bytearray()
        try:
            while chunk := response.read1(READ_CHUNK_BYTES):
                body += chunk
                if len(body) > BODY_BYTES_MAX:
                    raise _BodyTooLong(f'body over {BODY_BYTES_MAX} bytes')
                if self._clock.now_ms() > deadline_ms:
                    raise ReadTimeoutError(
                        pool, '', 'response body incomplete at the deadline'
                    )
        except HTTPError:
            response.close()
            raise
        finally:
            response.release_conn()
        return bytes(body)

    def _decode(
        self,
        response: _Response,
        reply_type: type[SearchReply] | type[RunReply],
    ) -> CallOutcome:
        body_type: type[CallOutcome] = CallRefusal
        if response.status == STATUS_OK:
            body_type = reply_type
        try:
            return decode_json(response.body, body_type)
        except msgspec.MsgspecError as error:
            return CallFailure(
                FailureStep.DECODE,
                self._address,
                Ran.UNKNOWN,
                timed_out=False,
                reason=str(error),
            )


class BackendServer:
    """Client of one backend server, with its worker threads and connections.

    Parameters
    ----------
    name : str
        Name of the backend server.
    address : str
        ``host:port`` of the backend server.
    on_outcome : callable
        Receives server name, call id and outcome; called on worker threads.
    clock : Clock
        Clock that deadlines refer to.

    Notes
    -----
    Each worker thread owns one connection, so that a stalled connection delays no
    other call. A separate control worker sends probes and cancellations, so that
    they never queue behind calls.
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
        """Start the control worker."""
        self.open()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all workers."""
        self.close()

    def open(self) -> None:
        """Start the control worker."""
        self._start_thread(self._serve_control)

    def close(self) -> None:
        """Request that all workers exit once the queued calls are done."""
        for _ in range(self._workers):
            self._calls.put(_Stop())
        self._control.put(_Stop())

    def call(self, request: CallRequest, connections_max: int) -> None:
        """Queue a call; starts a worker if none is idle and the limit allows it.

        Parameters
        ----------
        request : CallRequest
            Call to send.
        connections_max : int
            Maximum number of connections for calls from this entry VM.
        """
        self._in_flight += 1
        if self._in_flight > self._workers and self._workers < connections_max:
            self._workers += 1
            self._start_thread(self._serve_calls)
        self._calls.put(request)

    def record_call_end(self) -> None:
        """Count a call as ended; must run on the thread that uses ``call``."""
        self._in_flight -= 1

    def retire_connections(self) -> None:
        """Make each call worker replace its connection before its next call."""
        self._generation += 1

    def cancel(self, call_id: str) -> None:
        """Ask the backend server to cancel a call."""
        body = CancelCall(call_id)
        self._control.put(
            lambda connection: _send_cancel(connection, body),
        )

    def probe(self, on_report: OnReport, *, with_load: bool) -> None:
        """Fetch health, and load if requested; reports ``None`` for a failed fetch."""
        self._control.put(lambda connection: _probe(connection, on_report, with_load))

    def _start_thread(self, target: Callable[[], None]) -> None:
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
                connection.reset()
            self._on_outcome(self.name, request.call_id, connection.call(request))
        connection.close()

    def _serve_control(self) -> None:
        connection = _Connection(self.address, self._clock)
        while True:
            task = self._control.get()
            if isinstance(task, _Stop):
                break
            task(connection)
        connection.close()


def _send_cancel(connection: _Connection, body: CancelCall) -> None:
    with contextlib.suppress(HTTPError):
        connection.send('POST', '/v1/cancel', CONTROL_TIMEOUT_MS, body)


def _fetch(
    connection: _Connection, path: str, body_type: type[HealthReport] | type[LoadReport]
) -> HealthReport | LoadReport | None:
    try:
        response = connection.send('GET', path, CONTROL_TIMEOUT_MS)
    except HTTPError:
        return None
    try:
        return decode_json(response.body, body_type)
    except msgspec.MsgspecError:
        return None


def _probe(connection: _Connection, on_report: OnReport, with_load: bool) -> None:
    on_report(_fetch(connection, '/v1/health', HealthReport))
    if with_load:
        on_report(_fetch(connection, '/v1/load', LoadReport))
