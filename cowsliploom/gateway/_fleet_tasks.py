"""Tasks of one entry VM that serve the whole fleet: version moves and usage."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._moves_task import MovesTask
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.gateway._usage_task import UsageTask
from cowsliploom.platform import MachineSettings, PlatformStore, UsageReports

Task = Callable[[], Coroutine[None, None, None]]


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """What the tasks of the daemon share."""

    settings: MachineSettings
    store_view: StoreView
    peers: Peers
    store: PlatformStore
    usage: UsageExchange
    log: LineLog
    metrics: Metrics


class FleetTasks:
    """Make the tasks that the settings call for.

    Parameters
    ----------
    parts : DaemonParts
        What the tasks share.
    """

    def __init__(self, parts: DaemonParts) -> None:
        store_view, peers = parts.store_view, parts.peers
        self._moves = MovesTask(store_view, peers, parts.store, parts.log)
        self._usage = _usage_task(parts)

    def runs(self) -> tuple[Task, ...]:
        """Return the tasks as coroutine functions."""
        usage = () if self._usage is None else (self._usage.run,)
        return (self._moves.run, *usage)

    def stop(self) -> None:
        """Give up the duties that another VM can take over."""
        if self._usage is not None:
            self._usage.stop()


def _usage_task(parts: DaemonParts) -> UsageTask | None:
    rules = parts.settings.usage
    if rules is None:
        return None
    return UsageTask(
        rules,
        UsageReports(parts.settings.reports_address),
        parts.usage,
        parts.peers,
        parts.store_view,
        parts.store,
        parts.log,
        parts.metrics,
    )
