"""HTTP routes of the operator daemon."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as AnswerTimeout
from dataclasses import dataclass, replace
from http import HTTPStatus
from threading import BoundedSemaphore

from cowsliploom.adapters import TEXT_TYPE, ComponentLog, HttpRequest, HttpResponse
from cowsliploom.daemons import _operator_documents as documents
from cowsliploom.daemons import _operator_problems as problems
from cowsliploom.daemons import _operator_requests as requests
from cowsliploom.daemons._inbox import InboxTask
from cowsliploom.daemons._operator_feed import ConfigurationFeed
from cowsliploom.daemons._operator_fleet import StatusRequested
from cowsliploom.daemons._operator_metrics import (
    LatencyRecorded,
    MetricsRequested,
    MetricsTask,
)
from cowsliploom.daemons._operator_settings import OperatorSettings
from cowsliploom.daemons._operator_status import (
    FleetUnknown,
    StatusSnapshot,
    resource_status,
    revision_status,
)
from cowsliploom.daemons._operator_store import (
    AppliedChange,
    ApplyRequested,
    ReadRequested,
)
from cowsliploom.daemons._operator_stream import WatchScope, WatchStream
from cowsliploom.ports import Clock, Unanswered
from cowsliploom.resources import (
    Accepted,
    Change,
    ConfigurationView,
    InvalidResources,
    Kind,
    NotAccepted,
    Resource,
)

MS_PER_S = 1000
ANSWER_MARGIN_MS = 2000.0  # a task may be in a store call at its deadline
DECODING_MAX = 2  # concurrent decodings, as each needs a multiple of its body size
STATUS_TIMEOUT_MS = 3000.0  # a response without status is better than a late one
RESOURCES = ('v1', 'resources')
LINES_TYPE = 'application/jsonl'


@dataclass(frozen=True, slots=True)
class OperatorTasks:
    """Tasks that the routes send requests to."""

    writer: InboxTask[ApplyRequested]
    reader: InboxTask[ReadRequested]
    status: InboxTask[StatusRequested]
    metrics: MetricsTask


@dataclass(frozen=True, slots=True)
class CurrentView:
    """A configuration, and whether the store failed to confirm it."""

    view: ConfigurationView
    stale: bool


class OperatorApi:
    """Answer operators' requests.

    Parameters
    ----------
    tasks : OperatorTasks
        Tasks that call the store and entry VMs.
    feed : ConfigurationFeed
        Newest configuration, for watches and while the store is unavailable.
    clock : Clock
        Clock for deadlines.
    settings : OperatorSettings
        Timeouts and limits.
    """

    def __init__(
        self,
        tasks: OperatorTasks,
        feed: ConfigurationFeed,
        clock: Clock,
        settings: OperatorSettings,
    ) -> None:
        self.tasks = tasks
        self.feed = feed
        self.clock = clock
        self.settings = settings
        self._component_log = ComponentLog('operator')
        self._decoding = BoundedSemaphore(DECODING_MAX)

    def __call__(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        began_ms = self.clock.now_ms()
        request_id = requests.read_request_id(request)
        response = self._answer(request)
        elapsed_ms = self.clock.now_ms() - began_ms
        caller = request.headers.get('caller', '')
        self.tasks.metrics.offer(
            LatencyRecorded(request.method.lower(), caller, elapsed_ms)
        )
        self._component_log.write(
            'Request answered.',
            request_id,
            method=request.method,
            path=request.path,
            status=response.status,
            elapsed_ms=elapsed_ms,
        )
        return replace(
            response, headers=(*response.headers, ('Request-Id', request_id))
        )

    def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return self._route(request)
        except InvalidResources as invalid:
            return problems.refuse_documents(invalid.problems)
        except requests.BadField as error:
            return problems.refuse(
                HTTPStatus.BAD_REQUEST, str(error), 'operator.request'
            )

    def _route(self, request: HttpRequest) -> HttpResponse:
        parts = tuple(request.path.strip('/').split('/'))
        if parts[:2] == RESOURCES and len(parts) <= 4:
            return self._route_resources(request, requests.read_scope(parts[2:]))
        if request.method != 'GET':
            return problems.refuse_method('GET')
        match request.path:
            case '/healthz':
                return documents.json_response({'healthy': True})
            case '/readyz':
                return self._readiness()
            case '/metrics':
                return self._metrics()
            case '/v1/status':
                return self._status(requests.read_revision(request))
        return problems.refuse(
            HTTPStatus.NOT_FOUND, f'no such path: {request.path}', 'operator.route'
        )

    def _route_resources(self, request: HttpRequest, scope: WatchScope) -> HttpResponse:
        match request.method:
            case 'GET':
                return self._get(request, scope)
            case 'POST' if scope.kind is None:
                return self._apply(self._decode_bulk(request))
        if scope.kind is None or scope.name is None:
            return problems.refuse_method('GET' if scope.kind else 'GET, POST')
        match request.method:
            case 'PUT':
                change = self._decode_put(request, scope.kind, scope.name)
                return self._apply(change)
            case 'DELETE':
                change = requests.read_delete(request, scope.kind, scope.name)
                return self._apply(change)
        return problems.refuse_method('GET, PUT, DELETE')

    def _decode_bulk(self, request: HttpRequest) -> Change:
        with self._decoding:
            return requests.read_bulk(request)

    def _decode_put(self, request: HttpRequest, kind: Kind, name: str) -> Change:
        with self._decoding:
            return requests.read_put(request, kind, name)

    def _apply(self, change: Change) -> HttpResponse:
        deadline_ms = self.clock.now_ms() + self.settings.write_timeout_ms
        message = ApplyRequested(change, deadline_ms, Future())
        if self.feed.state.closing or not self.tasks.writer.offer(message):
            detail = 'too many changes are queued, or the daemon is shutting down'
            return problems.refuse_temporarily(detail, 'operator.queue')
        timeout_ms = self.settings.write_timeout_ms + ANSWER_MARGIN_MS
        try:
            applied = message.answer.result(timeout_ms / MS_PER_S)
        except AnswerTimeout:
            reason = 'the store did not answer before the write timeout'
            late = NotAccepted('operator.apply', 'store', reason, maybe=True)
            return problems.outcome_response(change, late)
        return _change_response(change, applied)

    def _get(self, request: HttpRequest, scope: WatchScope) -> HttpResponse:
        watching = requests.read_watch(request)
        after_revision = requests.read_after_revision(request)
        current = self._read()
        if isinstance(current, HttpResponse):
            return current
        if watching:
            return self._watch(scope, after_revision)
        if scope.kind is None or scope.name is None:
            return _list_response(scope, current)
        return self._get_one(scope.kind, scope.name, current)

    def _read(self) -> CurrentView | HttpResponse:
        message = ReadRequested(self.clock.now_ms(), Future())
        if not self.tasks.reader.offer(message):
            return problems.refuse_temporarily(
                'too many reads are queued', 'operator.queue'
            )
        timeout_ms = self.settings.read_timeout_ms
        try:
            found = message.answer.result(timeout_ms / MS_PER_S)
        except AnswerTimeout:
            reason = f'no answer within {timeout_ms} ms'
            found = Unanswered('store.read', self.settings.store, False, reason)
        if not isinstance(found, Unanswered):
            return CurrentView(found, stale=False)
        cached = self.feed.state.view
        if cached is None:
            return problems.unanswered_read(found)
        return CurrentView(cached, stale=True)

    def _get_one(self, kind: Kind, name: str, current: CurrentView) -> HttpResponse:
        resource = _find(current.view, kind, name)
        if resource is None:
            detail = f'{kind}/{name} does not exist'
            return problems.refuse(HTTPStatus.NOT_FOUND, detail, 'operator.read')
        moves = (name,) if kind is Kind.VERSION_MOVE else ()
        document = documents.ResourceDocument(
            kind,
            name,
            resource.spec,
            resource.revision,
            resource_status(resource, self._read_status(moves)),
        )
        headers = [documents.etag_of(resource.revision)]
        if current.stale:
            headers.append(documents.STALE)
        return documents.json_response(document, *headers)

    def _watch(self, scope: WatchScope, after_revision: int | None) -> HttpResponse:
        floor = self.feed.state.log.floor_revision
        if after_revision is not None and after_revision < floor:
            detail = f'events up to revision {floor} are gone; list, then watch again'
            return problems.refuse(HTTPStatus.GONE, detail, 'operator.watch')
        if not self.feed.open_watch(self.settings.watches_max):
            detail = f'all {self.settings.watches_max} watch streams are in use'
            return problems.refuse_temporarily(detail, 'operator.watch')
        stream = WatchStream(
            self.feed, scope, after_revision, self.settings.heartbeat_ms
        )
        return HttpResponse(HTTPStatus.OK, stream, LINES_TYPE)

    def _read_status(self, moves: tuple[str, ...]) -> StatusSnapshot:
        message = StatusRequested(moves, Future())
        if not self.tasks.status.offer(message):
            return StatusSnapshot(FleetUnknown('too many status requests are queued'))
        try:
            return message.answer.result(STATUS_TIMEOUT_MS / MS_PER_S)
        except AnswerTimeout:
            return StatusSnapshot(FleetUnknown('reading the status timed out'))

    def _status(self, requested_revision: int | None) -> HttpResponse:
        current = self._read()
        if isinstance(current, HttpResponse):
            return current
        newest = current.view.configuration.revision
        revision = newest if requested_revision is None else requested_revision
        status = revision_status(revision, self._read_status(()).fleet)
        failure = self.feed.state.store_failure if current.stale else ''
        return documents.json_response(
            documents.StatusAnswer(revision, newest, status, failure)
        )

    def _readiness(self) -> HttpResponse:
        if self.feed.state.closing:
            return problems.refuse_temporarily('shutting down', 'operator.ready')
        failure = self.feed.state.store_failure
        return documents.json_response({'ready': True, 'store_failure': failure})

    def _metrics(self) -> HttpResponse:
        message = MetricsRequested(Future())
        if not self.tasks.metrics.offer(message):
            return problems.refuse_temporarily(
                'too many samples are queued', 'operator.metrics'
            )
        text = message.answer.result(STATUS_TIMEOUT_MS / MS_PER_S)
        return HttpResponse(HTTPStatus.OK, text.encode(), TEXT_TYPE)


def _find(view: ConfigurationView, kind: Kind, name: str) -> Resource | None:
    for resource in view.configuration.resources:
        if (resource.kind, resource.name) == (kind, name):
            return resource
    return None


def _list_response(scope: WatchScope, current: CurrentView) -> HttpResponse:
    configuration = current.view.configuration
    resources = tuple(filter(scope.covers, configuration.resources))
    body = documents.ResourceList(configuration.revision, resources, current.stale)
    headers = (documents.STALE,) if current.stale else ()
    return documents.json_response(body, *headers)


def _change_response(change: Change, applied: AppliedChange) -> HttpResponse:
    outcome = applied.outcome
    if not isinstance(outcome, Accepted):
        return problems.outcome_response(change, outcome)
    headers = [('Change-Id', change.change_id)]
    if applied.view is not None and len(change.puts) == 1:
        resource = _find(applied.view, change.puts[0].kind, change.puts[0].name)
        if resource is not None:
            headers.append(documents.etag_of(resource.revision))
    answer = documents.ChangeAnswer(change.change_id, outcome.revision)
    return documents.json_response(answer, *headers)
