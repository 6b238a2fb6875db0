"""HTTP interface of an entry VM for callers."""

import secrets
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, wait
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import unquote

import msgspec

from cowsliploom.adapters import (
    HttpRequest,
    HttpResponse,
    Problem,
    problem_response,
)
from cowsliploom.coordination import (
    InFlight,
    MemberStatus,
    Mismatch,
    Replay,
    StoreUnavailable,
)
from cowsliploom.daemons._entry_messages import (
    CallerOutcome,
    MetricsRequested,
    Request,
    RunRequested,
    SearchRequested,
)
from cowsliploom.daemons._entry_runs import CallerRun, Claims, RunExecutor, RunOutcome
from cowsliploom.ports import Clock
from cowsliploom.protocol import (
    AnswerCoverage,
    Ran,
    RunAnswer,
    RunRequest,
    SearchAnswer,
    SearchRequest,
)
from cowsliploom.routing import AnswerQuery, AnswerRun, RefusalCause, RefuseCaller

MS_PER_S = 1000
TIMEOUT_MAX_MS = 60_000  # longest time that a caller may occupy a thread
RUN_TIMEOUT_MS = 5000  # default for a run without a timeout header
WAIT_MARGIN_MS = 1000  # the router answers within a tick of the deadline
TYPICAL_REQUEST_MS = 1000  # most requests end sooner; refused if less is left
STOP_RETRY_AFTER_MS = 50  # other entry VMs can serve the retry
ID_BYTES = 8
ID_MAX_CHARS = 128  # ids are copied to every call and log line
TEXT_MAX_CHARS = 4096  # a screenshot's text; longer texts slow every shard
SEARCHES_PREFIX = '/v1/searches/'
SERVICES_PREFIX = '/v1/services/'
REQUESTS_SUFFIX = '/requests'
ANONYMOUS = 'anonymous'

HTTP_STATUS = {  # noqa: WPS407
    RefusalCause.UNKNOWN_SEARCH: HTTPStatus.NOT_FOUND,
    RefusalCause.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalCause.NO_SNAPSHOT: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCause.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCause.NO_SERVER: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCause.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCause.STOPPING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalCause.BACKEND: HTTPStatus.BAD_GATEWAY,
}

Body = TypeVar('Body')


class BadRequestError(ValueError):
    """Raised for an invalid field of a request."""

    def __init__(self, name: str, got: str, expected: str) -> None:
        super().__init__(f'{name}: got {got!r}, expected {expected}')


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether the load balancer may send callers here, and if not, why."""

    ready: bool
    reason: str = ''


@dataclass(frozen=True, slots=True)
class KnownDaemons:
    """Known daemons with the revision in force at each."""

    daemons: tuple[MemberStatus, ...]


@dataclass(frozen=True, slots=True)
class EntryViews:
    """Callables that return the data of the status endpoints.

    Parameters
    ----------
    readiness : callable
        Returns whether the daemon is ready.
    fleet : callable
        Returns the known daemons; called on HTTP threads.
    """

    readiness: Callable[[], Readiness]
    fleet: Callable[[], tuple[MemberStatus, ...]]


class CallerApi:
    """Answer callers; each request blocks its own HTTP thread.

    Parameters
    ----------
    post : callable
        Sends a message to the router task.
    claims : Claims
        Claims of idempotency keys.
    clock : Clock
        Clock of the deadlines.
    views : EntryViews
        Data of the status endpoints.
    """

    def __init__(
        self,
        post: Callable[[Request | MetricsRequested], None],
        claims: Claims,
        clock: Clock,
        views: EntryViews,
    ) -> None:
        self._post = post
        self._clock = clock
        self._runs = RunExecutor(claims, self.wait_for, clock)
        self._views = views
        self._stop_ms = float('inf')
        self._ended: Future[CallerOutcome] = Future()

    def stop_at(self, stop_ms: float) -> None:
        """Refuse further requests that may not be answered by ``stop_ms``."""
        self._stop_ms = stop_ms

    def end_pending(self) -> None:
        """Answer all pending requests, and refuse any that still arrive."""
        self._stop_ms = self._clock.now_ms()
        self._ended.set_exception(InterruptedError('the process is shutting down'))

    def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        try:
            return self._route(request)
        except BadRequestError as error:
            return _refuse(HTTPStatus.BAD_REQUEST, str(error), _read_id(request))

    def _route(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.path:
            case 'GET', '/healthz':
                return HttpResponse(HTTPStatus.OK)
            case 'GET', '/readyz':
                return self._readiness_response()
            case 'GET', '/metrics':
                return self._metrics_response()
            case 'GET', '/v1/fleet/status':
                return _encode(KnownDaemons(self._views.fleet()))
            case 'POST', path if path.startswith(SEARCHES_PREFIX):
                return self._search(request, path.removeprefix(SEARCHES_PREFIX))
            case 'POST', path if path.startswith(SERVICES_PREFIX) and path.endswith(
                REQUESTS_SUFFIX
            ):
                service = path.removeprefix(SERVICES_PREFIX).removesuffix(
                    REQUESTS_SUFFIX
                )
                return self._run(request, service)
        return _refuse(HTTPStatus.NOT_FOUND, f'no such path: {request.path}', '')

    def _readiness_response(self) -> HttpResponse:
        readiness = self._views.readiness()
        status = HTTPStatus.OK if readiness.ready else HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse(status, msgspec.json.encode(readiness))

    def _metrics_response(self) -> HttpResponse:
        message = MetricsRequested(Future())
        self._post(message)
        text = message.text.result(WAIT_MARGIN_MS / MS_PER_S)
        return HttpResponse(HTTPStatus.OK, text.encode(), 'text/plain; version=0.0.4')

    def _search(self, request: HttpRequest, search: str) -> HttpResponse:
        body = _decode(request, SearchRequest)
        if len(body.text) > TEXT_MAX_CHARS:
            got = f'{len(body.text)} characters'
            raise BadRequestError('text', got, f'at most {TEXT_MAX_CHARS} characters')
        request_id = _check_id(request)
        message = SearchRequested(
            request_id,
            unquote(search),
            body.text,
            _read_caller(request),
            _read_timeout_ms(request),
        )
        return _outcome_response(request_id, self.wait_for(message))

    def _run(self, request: HttpRequest, service: str) -> HttpResponse:
        body = _decode(request, RunRequest)
        request_id = _check_id(request)
        run = CallerRun(
            request_id,
            unquote(service),
            body.payload,
            _read_caller(request),
            request.headers.get('idempotency-key', ''),
            _read_timeout_ms(request) or RUN_TIMEOUT_MS,
        )
        return _outcome_response(request_id, self._runs.serve(run))

    def wait_for(self, message: SearchRequested | RunRequested) -> CallerOutcome:
        """Send a request to the router task and wait for its outcome."""
        timeout_ms = message.timeout_ms or TIMEOUT_MAX_MS
        if self._clock.now_ms() + min(timeout_ms, TYPICAL_REQUEST_MS) > self._stop_ms:
            cause = RefusalCause.STOPPING
            return RefuseCaller(
                message.query_id, cause, 'stop', '', Ran.NO, STOP_RETRY_AFTER_MS
            )
        self._post(message)
        wait_s = (timeout_ms + WAIT_MARGIN_MS) / MS_PER_S
        wait((message.outcome, self._ended), wait_s, FIRST_COMPLETED)
        if message.outcome.done():
            return message.outcome.result()
        return RefuseCaller(
            message.query_id, RefusalCause.DEADLINE, 'wait', '', Ran.UNKNOWN, 0
        )


def _decode(request: HttpRequest, shape: type[Body]) -> Body:
    try:
        return msgspec.json.decode(request.body, type=shape)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequestError('body', str(error), shape.__name__) from error


def _read_id(request: HttpRequest) -> str:
    return request.headers.get('request-id', '')


def _check_id(request: HttpRequest) -> str:
    request_id = _read_id(request) or secrets.token_hex(ID_BYTES)
    plain = request_id.isascii() and request_id.isprintable()
    if not plain or '~' in request_id or len(request_id) > ID_MAX_CHARS:
        raise BadRequestError(
            'Request-Id',
            request_id[:ID_MAX_CHARS],
            f'at most {ID_MAX_CHARS} printable ASCII characters without "~"',
        )
    return request_id


def _read_caller(request: HttpRequest) -> str:
    return request.headers.get('caller', ANONYMOUS)[:ID_MAX_CHARS]


def _read_timeout_ms(request: HttpRequest) -> float | None:
    text = request.headers.get('request-timeout-ms')
    if text is None:
        return None
    expected = f'a number above 0 and up to {TIMEOUT_MAX_MS}'
    try:
        timeout_ms = float(text)
    except ValueError as error:
        raise BadRequestError('Request-Timeout-Ms', text, expected) from error
    if not 0 < timeout_ms <= TIMEOUT_MAX_MS:
        raise BadRequestError('Request-Timeout-Ms', text, expected)
    return timeout_ms


def _encode(body: object) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, msgspec.json.encode(body))


def _outcome_response(request_id: str, outcome: RunOutcome) -> HttpResponse:
    match outcome:
        case AnswerQuery(coverage=coverage):
            coverage_sent = AnswerCoverage(
                coverage.covered_docs, coverage.total_docs, coverage.missing_services
            )
            return _encode(
                SearchAnswer(request_id, outcome.snapshot, coverage_sent, outcome.hits)
            )
        case AnswerRun():
            return _encode(RunAnswer(request_id, outcome.outcome, replayed=False))
        case Replay():
            return _encode(
                RunAnswer(
                    request_id,
                    outcome.outcome,
                    replayed=True,
                    outcome_kept=outcome.outcome_kept,
                )
            )
        case RefuseCaller():
            return _refusal_response(request_id, outcome)
    return _claim_response(request_id, outcome)


def _refusal_response(request_id: str, refusal: RefuseCaller) -> HttpResponse:
    status = HTTP_STATUS[refusal.cause]
    return problem_response(
        Problem(
            refusal.cause.value,
            status,
            step=refusal.step,
            peer=refusal.peer,
            ran=refusal.ran.value,
            retry_after_ms=refusal.retry_after_ms,
            request_id=request_id,
        )
    )


def _claim_response(
    request_id: str, outcome: InFlight | Mismatch | StoreUnavailable
) -> HttpResponse:
    match outcome:
        case InFlight():
            problem = Problem(
                'in_flight',
                HTTPStatus.CONFLICT,
                detail='the first request with this key is open or its outcome unknown',
                retry_after_ms=outcome.retry_after_ms,
            )
        case Mismatch():
            problem = Problem(
                'key_mismatch',
                HTTPStatus.UNPROCESSABLE_ENTITY,
                detail='the key was used for a different request',
            )
        case StoreUnavailable():
            problem = Problem(
                'store_out',
                HTTPStatus.SERVICE_UNAVAILABLE,
                detail=outcome.reason,
                step=outcome.step,
                retry_after_ms=outcome.retry_after_ms,
            )
    return problem_response(
        replace(problem, ran=outcome.ran.value, request_id=request_id)
    )


def _refuse(status: HTTPStatus, detail: str, request_id: str) -> HttpResponse:
    return problem_response(
        Problem(
            status.phrase,
            status,
            detail,
            'http.route',
            ran=Ran.NO.value,
            request_id=request_id,
        )
    )
