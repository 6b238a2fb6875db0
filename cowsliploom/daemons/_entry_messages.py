"""Messages between the tasks of the entry daemon."""

from concurrent.futures import Future
from dataclasses import dataclass, field

from cowsliploom.resources import Configuration
from cowsliploom.routing import AnswerQuery, AnswerRun, RefuseCaller

CallerOutcome = AnswerQuery | AnswerRun | RefuseCaller


def _new_future() -> 'Future[CallerOutcome]':
    return Future()


@dataclass(frozen=True, slots=True)
class SearchRequested:
    """Request a search from the router task for a caller."""

    query_id: str
    search: str
    text: str
    caller: str
    timeout_ms: float | None
    outcome: 'Future[CallerOutcome]' = field(default_factory=_new_future)


@dataclass(frozen=True, slots=True)
class RunRequested:
    """Request a non-idempotent run whose claim, if it has a key, is stored."""

    query_id: str
    service: str
    payload: str
    caller: str
    timeout_ms: float
    outcome: 'Future[CallerOutcome]' = field(default_factory=_new_future)


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """Offer a configuration read from the store or received from a peer."""

    configuration: Configuration
    source: str


@dataclass(frozen=True, slots=True)
class MetricsRequested:
    """Request the text of ``/metrics``."""

    text: 'Future[str]'


@dataclass(frozen=True, slots=True)
class CounterIncremented:
    """Increment a counter of the metrics."""

    name: str
    amount: int = 1


Request = SearchRequested | RunRequested
