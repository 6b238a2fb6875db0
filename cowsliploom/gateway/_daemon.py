"""Life cycle of the entry daemon on the users' platform."""

import asyncio
import os
import signal
from pathlib import Path

from cowsliploom.dataplane import (
    Admission,
    FrameListener,
    HttpListener,
    HttpRequest,
    RoomLimits,
    Use,
)
from cowsliploom.forwarding import CallerLimits, RequestDispatcher
from cowsliploom.gateway._background import LoopErrors, keep_running
from cowsliploom.gateway._budget_log import BudgetLog
from cowsliploom.gateway._budget_share import BudgetShare
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._fleet_tasks import DaemonParts, FleetTasks
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._isolation import Isolation
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway._room_log import RoomLog
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._store_watch import StoreWatch
from cowsliploom.gateway._suspension import SuspensionDetector
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.members import Member, MembershipTable
from cowsliploom.platform import (
    MachineSettings,
    PlatformStore,
    SettingsError,
    read_settings,
)

MS_PER_S = 1000
SWEEP_INTERVAL_MS = 250.0
LATE_LOOP_MS = 100.0  # the whole time budget of the most urgent requests
CLOSE_IDLE_AFTER_MS = 2600.0  # the load balancer has seen the drain by then
DRAIN_SHARE = 0.8  # of the grace period; the rest is left for the shutdown itself
DRAIN_POLL_MS = 50.0
METRICS_PORT = 9464
METRICS_PATH = '/metrics'
STATUS_LIMITS = CallerLimits(body_bytes_max=1024)  # questions without a body


class EntryDaemon:
    """Run the tasks and listeners of one entry VM.

    Parameters
    ----------
    settings_path : Path
        Settings file, read again on SIGHUP.
    """

    def __init__(self, settings_path: Path) -> None:
        self.settings_path = settings_path
        self.settings = read_settings(settings_path)
        self.log = LineLog()
        self.metrics = Metrics()
        self._is_draining = False
        self._stop = asyncio.Event()
        self._seed = int.from_bytes(os.urandom(4))
        self._admission = Admission(
            RoomLimits.of_process(self.settings.memory_bytes, self.settings.files_max)
        )
        self._room_log = RoomLog(self._admission, self.log, self.metrics)
        self._tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._dispatcher = RequestDispatcher(
            self.settings.budget, self._seed, self.settings.data_centre, self._owns
        )
        self._store_view = StoreView(self._dispatcher, self.log, self.settings.apply_ms)
        self._store_view.expiry_hold.heartbeat_ms = self.settings.heartbeat_ms
        self._pools = ServerPools(self._dispatcher, self._admission)
        self._pools.report_error = self._record_request_error
        self._relays = Relays(self._pools, self.settings.relays_address, self.log)
        self._request_log = RequestLog(self.log, self.metrics, self._store_view)
        self._usage = UsageExchange.of_process(self.settings.name, self.settings.usage)
        self._forwarder = Forwarder(
            self._pools, self._relays, self._request_log, self._usage
        )
        self._store = PlatformStore(self.settings.store_address, self._admission)
        own = Member(
            self.settings.name,
            self.settings.peers_address,
            self.settings.data_centre,
        )
        known = MembershipTable(own, self.settings.seeds, self._seed)
        self._peers = Peers(
            known,
            self._store_view,
            self.log,
            self.metrics,
            self._now_ms,
            self.settings.apply_ms,
            self._usage,
            self._admission,
        )
        self._fleet_tasks = FleetTasks(
            DaemonParts(
                self.settings,
                self._store_view,
                self._peers,
                self._store,
                self._usage,
                self.log,
                self.metrics,
            )
        )
        self._budget_share = BudgetShare(
            known, self._dispatcher.budgets, self.log, self._now_ms
        )
        self._dispatcher.budgets.read_share = self._budget_share.read
        self._dispatcher.name = own.name
        self._dispatcher.access.rules = self.settings.access
        self._dispatcher.members = self._peers.others
        self._watch = StoreWatch(
            self._store, self._store_view, self.log, self._peers, self._seed
        )
        self._pools.may_send = self._watch.wake_gate.may_send
        self._isolation = Isolation(
            self._dispatcher, self._peers, self._store, self.log, self._now_ms
        )
        self._caller_listener = HttpListener(
            self.settings.callers_address,
            self._forwarder.handle,
            self._limits,
            self._request_log.record_rejection,
            self._admission,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        self.log.start()
        self._loop.set_exception_handler(LoopErrors(self.log, self.metrics).handle)
        listeners = await self._start()
        await self._stop.wait()
        await self._drain()
        for task in self._tasks:
            task.cancel()
        self._relays.close()
        for listener in listeners:
            await listener.close()
        self.log.write('daemon', 'stopped', open_requests=self._forwarder.open_requests)
        self.log.close()

    async def _start(self) -> list[HttpListener | FrameListener]:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        host = self.settings.callers_address.rpartition(':')[0]
        listeners: list[HttpListener | FrameListener] = [
            self._caller_listener,
            HttpListener(
                self.settings.readiness_address,
                self._answer_readiness,
                _status_limits,
                admission=self._admission,
                use=Use.READINESS,
            ),
            self._peers.listener,
            self._relays.listener,
            HttpListener(
                f'{host}:{METRICS_PORT}',
                self._answer_metrics,
                _status_limits,
                admission=self._admission,
                use=Use.METRICS,
            ),
        ]
        for listener in listeners:
            await listener.start()
        tasks = (
            self._watch.run,
            self._peers.run,
            self._sweep,
            self._isolation.run,
            *self._fleet_tasks.runs(),
        )
        for task in tasks:
            running = self._loop.create_task(keep_running(task, self.log))
            self._tasks.append(running)
        self.log.write(
            'daemon',
            'started',
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            callers_address=self.settings.callers_address,
        )
        return listeners

    async def _drain(self) -> None:
        """Leave the membership while still serving, then wait for open requests."""
        started_ms = self._now_ms()
        stop_ms = started_ms + self.settings.grace_ms * DRAIN_SHARE
        self._is_draining = True
        self.log.write(
            'daemon', 'draining', open_requests=self._forwarder.open_requests
        )
        self._caller_listener.drain()
        self._forwarder.stop_at(stop_ms)
        self._fleet_tasks.stop()
        self._loop.create_task(self._peers.leave())
        while self._now_ms() < stop_ms:
            if self._now_ms() - started_ms > CLOSE_IDLE_AFTER_MS:
                self._caller_listener.close_idle()
                if not (
                    self._caller_listener.connections or self._forwarder.open_requests
                ):
                    break
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)
        self._forwarder.stop_now()
        await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)  # lets the last answers be sent

    async def _sweep(self) -> None:
        suspension = SuspensionDetector(self._now_ms)
        budget_log = BudgetLog(
            self._dispatcher.budgets, self.log, self.metrics, self._now_ms
        )
        while True:
            due_ms = self._now_ms() + SWEEP_INTERVAL_MS
            await asyncio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            self._record_lateness(self._now_ms() - due_ms)
            self._watch.pauses.tick()
            suspended_ms = suspension.suspended_ms()
            if suspended_ms:
                self._resume(suspended_ms)
            self._store_view.expire_held_servers(self._now_ms())
            self._pools.close_removed()
            self._budget_share.read()  # counts members even while no budget is used
            budget_log.report()
            self._room_log.report()
            self._caller_listener.is_draining = (
                self._is_draining or self._isolation.is_isolated
            )

    def _record_lateness(self, late_ms: float) -> None:
        """Report the lateness of the event loop, which request lines do not show."""
        self.metrics.set_gauge('loop_late_ms', round(late_ms, 1))
        if late_ms > LATE_LOOP_MS:
            self.log.write('daemon', 'behind', late_ms=round(late_ms))

    def _resume(self, suspended_ms: float) -> None:
        """Add a suspension to the ages of received state; close idle connections."""
        self.log.write('daemon', 'resumed', missed_ms=round(suspended_ms))
        self._store_view.add_age(suspended_ms)
        self._peers.watcher_liveness.add_age(suspended_ms)
        self._watch.pauses.restart()
        self._pools.close_idle()
        self._peers.resume()

    def _record_request_error(self, request_id: str, error: Exception) -> None:
        self.metrics.count('request_errors')
        self.log.write(
            'daemon', 'request failed', request_id=request_id, reason=repr(error)
        )

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S

    def _owns(self, server: str) -> bool:
        return self._peers.owns(server)

    def _limits(self) -> CallerLimits:
        return self._dispatcher.table.limits_in_force

    def _reload(self) -> None:
        try:
            settings: MachineSettings = read_settings(self.settings_path)
        except (SettingsError, OSError) as error:
            self.log.write('daemon', 'settings kept', reason=str(error))
            return
        self._peers.known.seeds = settings.seeds
        self._peers.watcher_liveness.apply_ms = settings.apply_ms
        self._store_view.apply_ms = settings.apply_ms
        self._store_view.expiry_hold.heartbeat_ms = settings.heartbeat_ms
        self._dispatcher.budgets.change(settings.budget)
        self._dispatcher.access.rules = settings.access
        self.settings = settings
        self.log.write('daemon', 'reloaded', seeds=list(settings.seeds))

    def _answer_readiness(self, request: HttpRequest) -> None:
        may_serve = self._isolation.is_ready and not self._is_draining
        ready = self._store_view.is_ready and may_serve
        request.answer(200 if ready else 503, [], b'')

    def _answer_metrics(self, request: HttpRequest) -> None:
        for kind, calls in self._store.calls.items():
            self.metrics.set_gauge(f'store_calls_{kind}', calls)
        for kind, count in self._pools.counts.items():
            self.metrics.set_gauge(f'backend_{kind}', count)
        notices = self._dispatcher.fleet.notices
        for kind, count in notices.counts.items():
            self.metrics.set_gauge(f'server_notices_{kind}', count)
        leaving = self._dispatcher.fleet.leaving
        for kind, count in leaving.counts.items():
            self.metrics.set_gauge(f'remote_calls_{kind}', count)
        self.metrics.set_gauge('open_requests', self._forwarder.open_requests)
        in_force = self._store_view.in_force(self._now_ms())
        self.metrics.set_gauge('configuration_version', in_force.version)
        self.metrics.set_gauge(
            'configuration_confirmed_age_ms', round(in_force.confirmed_age_ms)
        )
        self.metrics.set_gauge('log_lines_lost', self.log.lost)
        self._room_log.set_gauges()
        headers = [('Content-Type', 'text/plain; version=0.4')]
        request.answer(200, headers, self.metrics.render().encode())


def _status_limits() -> CallerLimits:
    """Return the limits on questions of the platform and of operators."""
    return STATUS_LIMITS
