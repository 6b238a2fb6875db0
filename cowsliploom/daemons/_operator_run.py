"""Setup of the operator daemon: tasks, routes and the HTTP server."""

import contextlib
import random
import threading
from collections.abc import Callable
from types import TracebackType

from cowsliploom.adapters import (
    ComponentLog,
    HttpServer,
    HttpServerSettings,
    HttpStore,
    SystemClock,
)
from cowsliploom.daemons._inbox import InboxTask
from cowsliploom.daemons._operator_api import OperatorApi, OperatorTasks
from cowsliploom.daemons._operator_feed import ConfigurationFeed
from cowsliploom.daemons._operator_fleet import FleetReader, StatusReader
from cowsliploom.daemons._operator_metrics import (
    CountedStore,
    MetricsRecorder,
    MetricsTask,
)
from cowsliploom.daemons._operator_poll import StatusPoller
from cowsliploom.daemons._operator_settings import OperatorSettings
from cowsliploom.daemons._operator_store import (
    StoreReader,
    StoreWatcher,
    StoreWriter,
)
from cowsliploom.ports import Clock, Store
from cowsliploom.resources import ConfigurationLog

MS_PER_S = 1000
INBOX_MAX = 64  # queued changes or reads; further ones are refused
METRICS_INBOX_MAX = 10_000
DRAIN_MARGIN_MS = 3000.0  # added to the write timeout, so that no change is aborted
CONNECTIONS_MAX = 512

Pause = Callable[[float], None]


def _pause(wait_ms: float) -> None:
    threading.Event().wait(wait_ms / MS_PER_S)


class OperatorDaemon:
    """Run the operator interface within a ``with`` block.

    Parameters
    ----------
    settings : OperatorSettings
        Validated settings.
    store : Store or None, default None
        Store that replaces the one at the configured address.
    clock : Clock or None, default None
        Clock; the operating system's by default.

    Notes
    -----
    Leaving the block drains the daemon: it reports not ready and ends watches, waits
    for the load balancer to notice, then answers changes and reads in flight.
    """

    def __init__(
        self,
        settings: OperatorSettings,
        store: Store | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.feed = ConfigurationFeed()
        self.component_log = ComponentLog('operator')
        self._store = store
        self._stack = contextlib.ExitStack()
        self._server: HttpServer | None = None

    def __enter__(self) -> 'OperatorDaemon':
        """Start all tasks and listen."""
        with contextlib.ExitStack() as stack:
            self._server = self._start(stack)
            self._stack = stack.pop_all()
        self.component_log.write(
            'Started.', address=self.address, name=self.settings.name
        )
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Drain and stop."""
        self.component_log.write('Stopping.')
        self.feed.close()
        if self._server is not None:
            self._server.drain()
        _pause(self.settings.shutdown_notice_ms)
        self._stack.close()
        self.component_log.write('Stopped.')

    @property
    def address(self) -> str:
        """``host:port`` as bound; empty before the server starts."""
        return self._server.address if self._server else ''

    def _start(self, stack: contextlib.ExitStack) -> HttpServer:
        metrics = stack.enter_context(
            InboxTask('operator-metrics', MetricsRecorder(), METRICS_INBOX_MAX)
        )
        store = self._store or stack.enter_context(HttpStore(self.settings.store))
        tasks = self._start_tasks(stack, CountedStore(store, metrics), metrics)
        api = OperatorApi(tasks, self.feed, self.clock, self.settings)
        server = HttpServer(
            self.settings.listen, api, _server_settings(self.settings), self._report
        )
        return stack.enter_context(server)

    def _start_tasks(
        self, stack: contextlib.ExitStack, store: Store, metrics: MetricsTask
    ) -> OperatorTasks:
        settings = self.settings
        fleet = FleetReader(settings.entries)
        status = StatusReader(fleet, store, self.clock, settings.store_timeout_ms)
        writer = StoreWriter(self._log(store), self.feed, self.component_log)
        reader = StoreReader(self._log(store), self.feed)
        tasks = OperatorTasks(
            stack.enter_context(InboxTask('operator-writer', writer, INBOX_MAX)),
            stack.enter_context(InboxTask('operator-reader', reader, INBOX_MAX)),
            stack.enter_context(InboxTask('operator-status', status, INBOX_MAX)),
            metrics,
        )
        stack.enter_context(
            StatusPoller(self.feed, tasks.status, settings.status_period_ms)
        )
        stack.enter_context(
            StoreWatcher(
                self._log(store), self.feed, self.component_log, settings.watch_wait_ms
            )
        )
        return tasks

    def _log(self, store: Store) -> ConfigurationLog:
        timeout_ms = self.settings.store_timeout_ms
        return ConfigurationLog(store, self.clock, _pause, random.Random(), timeout_ms)

    def _report(self, sentence: str) -> None:
        self.component_log.write('Connection or handler failed.', reason=sentence)


def _server_settings(settings: OperatorSettings) -> HttpServerSettings:
    return HttpServerSettings(
        threads=settings.threads,
        connections_max=CONNECTIONS_MAX,
        body_max_bytes=settings.body_max_bytes,
        request_read_timeout_ms=settings.request_timeout_ms,
        idle_timeout_ms=settings.idle_timeout_ms,
        drain_timeout_ms=settings.write_timeout_ms + DRAIN_MARGIN_MS,
    )
