"""HTTP client for the operator daemons, with retries and fail-over."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cowsliploom.adapters import Problem, decode_problem
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.ports import Clock

MS_PER_S = 1000
RETRY_PAUSE_MS = 300.0  # between passes over all servers
RETRY_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
    HTTPStatus.CONFLICT: ExitCode.CONFLICT,
    HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
}


@dataclass(frozen=True, slots=True)
class CtlRequest:
    """A request; retries may send it to several operator daemons."""

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CtlResponse:
    """A response with the server that sent it."""

    server: str
    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class _FailedAttempt:
    """An attempt without a definite response."""

    server: str
    reason: str
    maybe: bool


def _is_unsent(error: HTTPError) -> bool:
    return isinstance(error, (NewConnectionError, ConnectTimeoutError))


def _attempt_failure(response: CtlResponse) -> _FailedAttempt:
    problem = decode_problem(response.body) or Problem('', response.status)
    reason = f'{problem.title} {problem.detail}'.strip() or f'status {response.status}'
    return _FailedAttempt(response.server, reason, problem.ran != 'no')


class OperatorClient:
    """Send requests to operator daemons in turn until one gives a definite response.

    Parameters
    ----------
    servers : tuple of str
        Addresses, in the order in which they are tried.
    clock : Clock
        Clock for timeouts.
    pause : callable
        Sleeps for the given time between passes, in milliseconds.
    timeout_ms : float
        Timeout of a request across all servers, in milliseconds.
    attempt_timeout_ms : float
        Timeout of one attempt, in milliseconds.

    Notes
    -----
    Changes are safe to retry, since each carries an idempotency key. An outcome that
    is still unknown after all attempts is reported as unknown, never as rejected.
    """

    def __init__(
        self,
        servers: tuple[str, ...],
        clock: Clock,
        pause: Callable[[float], None],
        timeout_ms: float,
        attempt_timeout_ms: float,
    ) -> None:
        self.servers = servers
        self.clock = clock
        self.pause = pause
        self.timeout_ms = timeout_ms
        self.attempt_timeout_ms = attempt_timeout_ms
        self._pool = urllib3.PoolManager(retries=False)

    def send(self, request: CtlRequest) -> CtlResponse:
        """Send a request and return its first definite response.

        Raises
        ------
        CtlError
            The request was rejected, or no server gave a definite response.
        """
        deadline_ms = self.clock.now_ms() + self.timeout_ms
        maybe = False
        failure = _FailedAttempt('', 'no server was tried', maybe=False)
        for server in self._cycle_servers(deadline_ms):
            found = self._attempt(server, request, deadline_ms)
            if isinstance(found, CtlResponse):
                return _raise_for_status(found)
            failure = found
            maybe = maybe or failure.maybe
        code = ExitCode.NOT_APPLIED
        if maybe and request.method != 'GET':
            code = ExitCode.MAYBE_APPLIED
        raise CtlError(code, failure.reason, 'ctl.ask', failure.server)

    def stream(
        self, server: str, path: str, read_timeout_ms: float
    ) -> urllib3.BaseHTTPResponse:
        """Open a response stream from one server.

        Parameters
        ----------
        server : str
            Address of the operator daemon.
        path : str
            Path and query.
        read_timeout_ms : float
            Time without data after which reading fails, in milliseconds.

        Raises
        ------
        urllib3.exceptions.HTTPError
            The server is unreachable.
        """
        timeout = urllib3.Timeout(
            connect=self.attempt_timeout_ms / MS_PER_S, read=read_timeout_ms / MS_PER_S
        )
        return self._pool.request(
            'GET', f'http://{server}{path}', timeout=timeout, preload_content=False
        )

    def _cycle_servers(self, deadline_ms: float) -> Iterator[str]:
        """Yield the servers repeatedly until the deadline."""
        while True:
            yield from self.servers
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= RETRY_PAUSE_MS:
                return
            self.pause(RETRY_PAUSE_MS)

    def _attempt(
        self, server: str, request: CtlRequest, deadline_ms: float
    ) -> CtlResponse | _FailedAttempt:
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms <= 0:
            return _FailedAttempt(server, 'request deadline reached', maybe=False)
        timeout_s = min(left_ms, self.attempt_timeout_ms) / MS_PER_S
        try:
            http = self._pool.request(
                request.method,
                f'http://{server}{request.path}',
                body=request.body,
                headers=request.headers,
                timeout=timeout_s,
            )
        except HTTPError as error:
            return _FailedAttempt(server, str(error), maybe=not _is_unsent(error))
        response = CtlResponse(server, http.status, http.headers, http.data)
        return _attempt_failure(response) if http.status in RETRY_STATUSES else response


def _raise_for_status(response: CtlResponse) -> CtlResponse:
    if response.status < HTTPStatus.BAD_REQUEST:
        return response
    raise response_error(response.server, response.status, response.body)


def response_error(server: str, status: int, body: bytes) -> CtlError:
    """Return the error for an HTTP error response.

    Parameters
    ----------
    server : str
        Address of the operator daemon.
    status : int
        HTTP status code.
    body : bytes
        Problem details in JSON.

    Returns
    -------
    CtlError
        Error with one line for each invalid field, if any.
    """
    code = EXIT_CODES.get(status, ExitCode.FAILED)
    problem = decode_problem(body)
    if problem is None:
        return CtlError(code, f'status {status}', 'ctl.ask', server)
    lines = [
        f'{fault.document}: {fault.field}: got {fault.got}, expected {fault.expected}'
        for fault in problem.problems
    ]
    message = '\n'.join(lines) or f'{problem.title} {problem.detail}'.strip()
    return CtlError(code, message, problem.step, server)
