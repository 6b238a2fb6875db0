"""HTTP client that sends callers' requests to entry VMs."""

from dataclasses import dataclass
from http import HTTPStatus
from types import TracebackType

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from cowsliploom.loadgen._arrivals import Arrival, RequestKind
from cowsliploom.loadgen._outcomes import Answered, Booked, Failed, Outcome, Refused
from cowsliploom.protocol import (
    Ran,
    RunAnswer,
    RunRequest,
    SearchAnswer,
    SearchRequest,
)

MS_PER_S = 1000
ANSWER_MARGIN_MS = 1000  # wait beyond the deadline for an answer sent just before it


@dataclass(frozen=True, slots=True)
class _Problem:
    ran: Ran = Ran.UNKNOWN
    cause: str = ''
    step: str = ''
    title: str = ''


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of the callers.

    Parameters
    ----------
    entries : tuple of str
        Addresses ``host:port`` of the entry VMs.
    timeout_ms : float
        Request timeout sent by callers, in milliseconds.
    caller : str
        Caller name, sent as the ``Caller`` header.
    with_keys : bool
        Whether bookings have an idempotency key.
    retries_max : int
        Retries of a booking with a key and an unknown outcome, each through the
        next entry VM.
    connections : int
        Size of the connection pool of each entry VM.
    """

    entries: tuple[str, ...]
    timeout_ms: float
    caller: str = 'load'
    with_keys: bool = True
    retries_max: int = 0
    connections: int = 64


class HttpCaller:
    """Client of the entry VMs; it returns failures as outcomes.

    Parameters
    ----------
    settings : CallerSettings
        Entry VMs, timeouts and headers.
    """

    def __init__(self, settings: CallerSettings) -> None:
        self.settings = settings
        self._pool = urllib3.PoolManager(
            num_pools=len(settings.entries),
            maxsize=settings.connections,
            retries=False,
        )

    def __enter__(self) -> 'HttpCaller':
        """Return the client."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self._pool.clear()

    def call(self, arrival: Arrival, attempt: int = 0) -> Outcome:
        """Send one request and wait for its outcome."""
        entries = self.settings.entries
        entry = entries[(arrival.entry + attempt) % len(entries)]
        timeout_ms = self.settings.timeout_ms + ANSWER_MARGIN_MS
        try:
            response = self._pool.request(
                'POST',
                f'http://{entry}{_path_of(arrival)}',
                body=msgspec.json.encode(_body_of(arrival)),
                headers=self._headers(arrival),
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
            )
        except (HTTPError, OSError) as error:
            return Failed(type(error).__name__)
        return read_outcome(arrival, response.status, response.data)

    def should_retry(self, arrival: Arrival, outcome: Outcome, attempt: int) -> bool:
        """Return whether to send a booking again with the same key."""
        if arrival.kind is not RequestKind.BOOKING or not self.settings.with_keys:
            return False
        unknown = isinstance(outcome, Failed) or (
            isinstance(outcome, Refused) and outcome.ran is Ran.UNKNOWN
        )
        return unknown and attempt < self.settings.retries_max

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        headers = {
            'Content-Type': 'application/json',
            'Request-Id': arrival.request_id,
            'Request-Timeout-Ms': f'{self.settings.timeout_ms:.0f}',
            'Caller': self.settings.caller,
        }
        if arrival.kind is RequestKind.BOOKING and self.settings.with_keys:
            headers['Idempotency-Key'] = arrival.request_id
        return headers


def booking_payload(request_id: str) -> str:
    """Return the payload that identifies a booking in run logs."""
    return f'booking {request_id}'


def read_outcome(arrival: Arrival, status: int, body: bytes) -> Outcome:
    """Decode an answer or a problem document; anything else is `Failed`."""
    if status != HTTPStatus.OK:
        return _read_refusal(status, body)
    try:
        return _read_answer(arrival, body)
    except msgspec.MsgspecError as error:
        return Failed(f'unreadable answer: {error}')


def _read_answer(arrival: Arrival, body: bytes) -> Outcome:
    if arrival.kind is RequestKind.BOOKING:
        run = msgspec.json.decode(body, type=RunAnswer)
        return _if_matching(arrival, run.request_id, Booked(run.replayed))
    answer = msgspec.json.decode(body, type=SearchAnswer)
    answered = Answered(answer.snapshot, answer.coverage)
    return _if_matching(arrival, answer.request_id, answered)


def _if_matching(arrival: Arrival, request_id: str, outcome: Outcome) -> Outcome:
    if request_id == arrival.request_id:
        return outcome
    return Failed('answer to another request')


def _read_refusal(status: int, body: bytes) -> Outcome:
    try:
        problem = msgspec.json.decode(body, type=_Problem)
    except msgspec.MsgspecError:
        return Failed(f'status {status} without a problem document')
    cause = problem.cause or problem.title or problem.step
    return Refused(status, cause, problem.ran)


def _path_of(arrival: Arrival) -> str:
    match arrival.kind:
        case RequestKind.SEARCH:
            return f'/v1/searches/{arrival.name}'
        case RequestKind.BOOKING:
            return f'/v1/services/{arrival.name}/requests'


def _body_of(arrival: Arrival) -> SearchRequest | RunRequest:
    match arrival.kind:
        case RequestKind.SEARCH:
            return SearchRequest(arrival.text)
        case RequestKind.BOOKING:
            return RunRequest(booking_payload(arrival.request_id))
