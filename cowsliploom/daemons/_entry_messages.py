"""Messages between the entry daemon's tasks."""

from concurrent.futures import Future
from dataclasses import dataclass, field

from cowsliploom.resources import Configuration
from cowsliploom.routing import AnswerQuery, AnswerRun, RefuseCaller

CallerOutcome = AnswerQuery | AnswerRun | RefuseCaller


def _no_future() -> 'Future[CallerOutcome]':
    return Future()


@dataclass(frozen=True, slots=True)
class SearchRequested:
    """Ask the router task for a search on a caller's behalf."""

    query_id: str
    search: str
    text: str
    caller: str
    timeout_ms: float | None
    outcome: 'Future[CallerOutcome]' = field(default_factory=_no_future)


@dataclass(frozen=True, slots=True)
class RunRequested:
    """Ask the router task for a non-idempotent run whose claim is written."""

    query_id: str
    service: str
    payload: str
    caller: str
    timeout_ms: float
    outcome: 'Future[CallerOutcome]' = field(default_factory=_no_future)


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """Offer a configuration read from the store or heard from a peer."""

    configuration: Configuration
    source: str


@dataclass(frozen=True, slots=True)
class MetricsRequested:
    """Ask for the text of ``/metrics``."""

    text: 'Future[str]'


@dataclass(frozen=True, slots=True)
class CounterIncremented:
    """Count an event by name in the metrics."""

    name: str
    amount: int = 1


Request = SearchRequested | RunRequested
