"""The callers' HTTP interface of an entry VM."""

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
    MetricsAsked,
    Request,
    RunAsked,
    SearchAsked,
)
from cowsliploom.daemons._entry_runs import Claims, RunDesk, RunOrder, RunOutcome
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
TIMEOUT_MAX_MS = 60_000  # longest that a caller may hold a thread
RUN_TIMEOUT_MS = 5000  # when a caller of a service gives no time limit
WAIT_MARGIN_MS = 1000  # the router answers within a tick of the deadline
NEEDED_MS = 1000  # most requests are answered sooner; later ones are refused in a stop
STOP_RETRY_AFTER_MS = 50  # other entry VMs serve meanwhile
ID_BYTES = 8
ID_MAX_CHARS = 128  # ids are repeated in every call and log line
TEXT_MAX_CHARS = 4096  # a screenshot's text; longer ones slow every shard
SEARCHES = '/v1/searches/'
SERVICES = '/v1/services/'
REQUESTS = '/requests'
ANONYMOUS = 'anonymous'

STATUS_OF = {  # noqa: WPS407
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
    """Name a part of a request that is wrong, what was got and expected."""

    def __init__(self, name: str, got: str, expected: str) -> None:
        super().__init__(f'{name}: got {got!r}, expected {expected}')


@dataclass(frozen=True, slots=True)
class Readiness:
    """Tell whether the balancer may send callers here, and if not, why."""

    ready: bool
    reason: str = ''


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """List the daemons known here with the revision in force at each."""

    daemons: tuple[MemberStatus, ...]


@dataclass(frozen=True, slots=True)
class EntryViews:
    """Give the parts of the daemon that pages read.

    Parameters
    ----------
    readiness : callable
        Returns a ``Readiness``.
    fleet : callable
        Returns the known daemons; called on HTTP threads.
    """

    readiness: Callable[[], Readiness]
    fleet: Callable[[], tuple[MemberStatus, ...]]


class CallerApi:
    """Answer callers; each request waits on its own HTTP thread.

    Parameters
    ----------
    post : callable
        Hands a message to the router task.
    claims : Claims
        Claims of idempotency keys.
    clock : Clock
        Clock of the deadlines.
    views : EntryViews
        What the status pages show.
    """

    def __init__(
        self,
        post: Callable[[Request | MetricsAsked], None],
        claims: Claims,
        clock: Clock,
        views: EntryViews,
    ) -> None:
        self._post = post
        self._clock = clock
        self._runs = RunDesk(claims, self.wait_for, clock)
        self._views = views
        self._stop_ms = float('inf')
        self._ended: Future[CallerOutcome] = Future()

    def stop_at(self, stop_ms: float) -> None:
        """Take no request from now on that may not be answered by then."""
        self._stop_ms = stop_ms

    def end_all(self) -> None:
        """Answer all that wait, and refuse what still comes."""
        self._stop_ms = self._clock.now_ms()
        self._ended.set_exception(InterruptedError('the process ends'))

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
                return self._tell_readiness()
            case 'GET', '/metrics':
                return self._tell_metrics()
            case 'GET', '/v1/fleet/status':
                return _encode(FleetStatus(self._views.fleet()))
            case 'POST', path if path.startswith(SEARCHES):
                return self._search(request, path.removeprefix(SEARCHES))
            case 'POST', path if path.startswith(SERVICES) and path.endswith(REQUESTS):
                service = path.removeprefix(SERVICES).removesuffix(REQUESTS)
                return self._run(request, service)
        return _refuse(HTTPStatus.NOT_FOUND, f'no such page: {request.path}', '')

    def _tell_readiness(self) -> HttpResponse:
        readiness = self._views.readiness()
        status = HTTPStatus.OK if readiness.ready else HTTPStatus.SERVICE_UNAVAILABLE
        return HttpResponse(status, msgspec.json.encode(readiness))

    def _tell_metrics(self) -> HttpResponse:
        asked = MetricsAsked(Future())
        self._post(asked)
        text = asked.text.result(WAIT_MARGIN_MS / MS_PER_S)
        return HttpResponse(HTTPStatus.OK, text.encode(), 'text/plain; version=0.0.4')

    def _search(self, request: HttpRequest, search: str) -> HttpResponse:
        body = _decode(request, SearchRequest)
        if len(body.text) > TEXT_MAX_CHARS:
            got = f'{len(body.text)} characters'
            raise BadRequestError('text', got, f'at most {TEXT_MAX_CHARS} characters')
        request_id = _check_id(request)
        asked = SearchAsked(
            request_id,
            unquote(search),
            body.text,
            _read_caller(request),
            _read_timeout_ms(request),
        )
        return _answer(request_id, self.wait_for(asked))

    def _run(self, request: HttpRequest, service: str) -> HttpResponse:
        body = _decode(request, RunRequest)
        request_id = _check_id(request)
        order = RunOrder(
            request_id,
            unquote(service),
            body.payload,
            _read_caller(request),
            request.headers.get('idempotency-key', ''),
            _read_timeout_ms(request) or RUN_TIMEOUT_MS,
        )
        return _answer(request_id, self._runs.serve(order))

    def wait_for(self, asked: SearchAsked | RunAsked) -> CallerOutcome:
        """Hand a request to the router task and wait for its outcome."""
        timeout_ms = asked.timeout_ms or TIMEOUT_MAX_MS
        if self._clock.now_ms() + min(timeout_ms, NEEDED_MS) > self._stop_ms:
            cause = RefusalCause.STOPPING
            return RefuseCaller(
                asked.query_id, cause, 'stop', '', Ran.NO, STOP_RETRY_AFTER_MS
            )
        self._post(asked)
        wait_s = (timeout_ms + WAIT_MARGIN_MS) / MS_PER_S
        wait((asked.outcome, self._ended), wait_s, FIRST_COMPLETED)
        if asked.outcome.done():
            return asked.outcome.result()
        return RefuseCaller(
            asked.query_id, RefusalCause.DEADLINE, 'wait', '', Ran.UNKNOWN, 0
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


def _answer(request_id: str, outcome: RunOutcome) -> HttpResponse:
    match outcome:
        case AnswerQuery(coverage=coverage):
            told = AnswerCoverage(
                coverage.covered_docs, coverage.total_docs, coverage.missing_services
            )
            return _encode(
                SearchAnswer(request_id, outcome.snapshot, told, outcome.hits)
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
            return _tell_refusal(request_id, outcome)
    return _tell_claim(request_id, outcome)


def _tell_refusal(request_id: str, refusal: RefuseCaller) -> HttpResponse:
    status = STATUS_OF[refusal.cause]
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


def _tell_claim(
    request_id: str, outcome: InFlight | Mismatch | StoreUnavailable
) -> HttpResponse:
    match outcome:
        case InFlight():
            problem = Problem(
                'in_flight',
                HTTPStatus.CONFLICT,
                detail='the first request of this key is open or its fate unknown',
                retry_after_ms=outcome.retry_after_ms,
            )
        case Mismatch():
            problem = Problem(
                'key_mismatch',
                HTTPStatus.UNPROCESSABLE_ENTITY,
                detail='the key was used for another request',
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
