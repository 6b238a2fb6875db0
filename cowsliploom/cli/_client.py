"""Requests to the operator daemons, with fail-over between them."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from cowsliploom.adapters import Problem, decode_problem
from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.ports import Clock

MS_PER_S = 1000
RETRY_PAUSE_MS = 300.0  # between rounds over all servers
RETRY_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.NOT_FOUND: ExitCode.NOT_FOUND,
    HTTPStatus.CONFLICT: ExitCode.LOST_RACE,
    HTTPStatus.UNPROCESSABLE_ENTITY: ExitCode.INVALID,
}


@dataclass(frozen=True, slots=True)
class CtlRequest:
    """Ask an operator daemon; the same request may go to several of them."""

    method: str
    path: str
    body: bytes | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CtlAnswer:
    """Hold the answer of the daemon that gave one."""

    server: str
    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class _Miss:
    """Remember an attempt that settled nothing."""

    server: str
    reason: str
    maybe: bool


def _sent_nothing(error: HTTPError) -> bool:
    return isinstance(error, (NewConnectionError, ConnectTimeoutError))


def _miss_of(answer: CtlAnswer) -> _Miss:
    problem = decode_problem(answer.body) or Problem('', answer.status)
    reason = f'{problem.title} {problem.detail}'.strip() or f'status {answer.status}'
    return _Miss(answer.server, reason, problem.ran != 'no')


class OperatorClient:
    """Ask operator daemons, one after the other, until one settles the request.

    Parameters
    ----------
    servers : tuple of str
        Addresses, in the order in which they are asked.
    clock : Clock
        Clock for the time limit.
    pause : callable
        Waits the given milliseconds between rounds.
    timeout_ms : float
        Time limit of a request over all servers, in milliseconds.
    attempt_timeout_ms : float
        Time limit of one attempt, in milliseconds.

    Notes
    -----
    A change is safe to send again, as it carries its id and applies once. What
    stays unknown after all attempts is told as such, never as refused.
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

    def ask(self, request: CtlRequest) -> CtlAnswer:
        """Send a request and return the answer that settles it.

        Raises
        ------
        CtlError
            With the exit status that fits a refusal, or when none settled it.
        """
        deadline_ms = self.clock.now_ms() + self.timeout_ms
        maybe = False
        miss = _Miss('', 'no server was asked', maybe=False)
        for server in self._rounds(deadline_ms):
            found = self._attempt(server, request, deadline_ms)
            if isinstance(found, CtlAnswer):
                return _settle(found)
            miss = found
            maybe = maybe or miss.maybe
        code = ExitCode.NOT_APPLIED
        if maybe and request.method != 'GET':
            code = ExitCode.MAYBE_APPLIED
        raise CtlError(code, miss.reason, 'ctl.ask', miss.server)

    def stream(
        self, server: str, path: str, silence_ms: float
    ) -> urllib3.BaseHTTPResponse:
        """Open a stream at one server.

        Parameters
        ----------
        server : str
            Address of the operator daemon.
        path : str
            Path and query.
        silence_ms : float
            Silence after which the stream counts as broken, in milliseconds.

        Raises
        ------
        urllib3.exceptions.HTTPError
            The server can't be reached.
        """
        timeout = urllib3.Timeout(
            connect=self.attempt_timeout_ms / MS_PER_S, read=silence_ms / MS_PER_S
        )
        return self._pool.request(
            'GET', f'http://{server}{path}', timeout=timeout, preload_content=False
        )

    def _rounds(self, deadline_ms: float) -> Iterator[str]:
        """Name the servers over and over until the time is up."""
        while True:
            yield from self.servers
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= RETRY_PAUSE_MS:
                return
            self.pause(RETRY_PAUSE_MS)

    def _attempt(
        self, server: str, request: CtlRequest, deadline_ms: float
    ) -> CtlAnswer | _Miss:
        left_ms = deadline_ms - self.clock.now_ms()
        if left_ms <= 0:
            return _Miss(server, 'no time was left', maybe=False)
        timeout_s = min(left_ms, self.attempt_timeout_ms) / MS_PER_S
        try:
            response = self._pool.request(
                request.method,
                f'http://{server}{request.path}',
                body=request.body,
                headers=request.headers,
                timeout=timeout_s,
            )
        except HTTPError as error:
            return _Miss(server, str(error), maybe=not _sent_nothing(error))
        answer = CtlAnswer(server, response.status, response.headers, response.data)
        return _miss_of(answer) if response.status in RETRY_STATUSES else answer


def _settle(answer: CtlAnswer) -> CtlAnswer:
    if answer.status < HTTPStatus.BAD_REQUEST:
        return answer
    raise refusal_error(answer.server, answer.status, answer.body)


def refusal_error(server: str, status: int, body: bytes) -> CtlError:
    """Return the error that fits a refusal.

    Parameters
    ----------
    server : str
        Address of the operator daemon.
    status : int
        HTTP status code.
    body : bytes
        Problem JSON.

    Returns
    -------
    CtlError
        With one line for each wrong field, where there are any.
    """
    code = EXIT_CODES.get(status, ExitCode.FAILED)
    problem = decode_problem(body)
    if problem is None:
        return CtlError(code, f'status {status}', 'ctl.ask', server)
    lines = [
        f'{wrong.document}: {wrong.field}: got {wrong.got}, expected {wrong.expected}'
        for wrong in problem.problems
    ]
    sentence = '\n'.join(lines) or f'{problem.title} {problem.detail}'.strip()
    return CtlError(code, sentence, problem.step, server)
