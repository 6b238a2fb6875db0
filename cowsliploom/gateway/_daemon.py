"""One entry daemon on the users' platform, from its start to its stop."""

import asyncio
import os
import signal
from pathlib import Path

from cowsliploom.members import MembershipTable, Member
from cowsliploom.dataplane import FrameListener, HttpListener, HttpRequest
from cowsliploom.forwarding import CallerLimits, RequestDispatcher
from cowsliploom.gateway._background import keep_running
from cowsliploom.gateway._budget_log import BudgetLog
from cowsliploom.gateway._budget_share import BudgetShare
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._forwarder import Forwarder
from cowsliploom.gateway._isolation import Isolation
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._moves_task import MovesTask
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway._request_log import RequestLog
from cowsliploom.gateway._store_watch import StoreWatch
from cowsliploom.gateway._suspension import Suspension
from cowsliploom.platform import (
    MachineSettings,
    PlatformStore,
    SettingsError,
    read_settings,
)

MS_PER_S = 1000
SWEEP_MS = 250.0
BEHIND_MS = 100.0  # as long as the most urgent requests may take in all
CLOSE_IDLE_AFTER_MS = 2600.0  # the balancer has noticed by then
STOP_SHARE = 0.8  # of the grace; the rest is for the end itself
DRAIN_STEP_MS = 50.0
METRICS_PORT = 9464
METRICS_PATH = '/metrics'


class EntryDaemon:
    """Own the tasks and listeners of one entry VM.

    Parameters
    ----------
    settings_path : Path
        Settings file; it may change while the daemon runs.
    """

    def __init__(self, settings_path: Path) -> None:
        self.settings_path = settings_path
        self.settings = read_settings(settings_path)
        self.log = LineLog()
        self.metrics = Metrics()
        self._is_draining = False
        self._stop = asyncio.Event()
        self._seed = int.from_bytes(os.urandom(4))
        self._tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._desk = RequestDispatcher(
            self.settings.budget, self._seed, self.settings.data_centre, self._owns
        )
        self._store_view = StoreView(self._desk, self.log, self.settings.apply_ms)
        self._pools = ServerPools(self._desk)
        self._relays = Relays(self._pools, self.settings.relays_address, self.log)
        self._request_log = RequestLog(self.log, self.metrics, self._store_view)
        self._forwarder = Forwarder(self._pools, self._relays, self._request_log)
        self._store = PlatformStore(self.settings.store_address)
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
        )
        self._budget_share = BudgetShare(
            known, self._desk.budgets, self.log, self._now_ms
        )
        self._desk.budgets.read_share = self._budget_share.read
        self._desk.name = own.name
        self._desk.members = self._peers.others
        self._watch = StoreWatch(
            self._store, self._store_view, self.log, self._peers, self._seed
        )
        self._isolation = Isolation(
            self._desk, self._peers, self._store, self.log, self._now_ms
        )
        self._callers = HttpListener(
            self.settings.callers_address,
            self._forwarder.take,
            self._limits,
            self._request_log.rejected,
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        self.log.start()
        listeners = await self._start()
        await self._stop.wait()
        await self._drain()
        for task in self._tasks:
            task.cancel()
        self._relays.close()
        for listener in listeners:
            await listener.close()
        self.log.write('daemon', 'stopped', open_requests=self._forwarder.open)
        self.log.close()

    async def _start(self) -> list[HttpListener | FrameListener]:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        host = self.settings.callers_address.rpartition(':')[0]
        listeners: list[HttpListener | FrameListener] = [
            self._callers,
            HttpListener(self.settings.readiness_address, self._tell_ready),
            self._peers.listener,
            self._relays.listener,
            HttpListener(f'{host}:{METRICS_PORT}', self._tell_figures),
        ]
        for listener in listeners:
            await listener.start()
        moves = MovesTask(self._store_view, self._peers, self._store, self.log)
        works = (
            self._watch.run,
            self._peers.run,
            self._sweep,
            self._isolation.run,
            moves.run,
        )
        for work in works:
            task = self._loop.create_task(keep_running(work, self.log))
            self._tasks.append(task)
        self.log.write(
            'daemon',
            'started',
            name=self.settings.name,
            data_centre=self.settings.data_centre,
            callers_address=self.settings.callers_address,
        )
        return listeners

    async def _drain(self) -> None:
        """Leave while callers are still served, then wait for the last answer."""
        started_ms = self._now_ms()
        stop_ms = started_ms + self.settings.grace_ms * STOP_SHARE
        self._is_draining = True
        self.log.write('daemon', 'draining', open_requests=self._forwarder.open)
        self._callers.drain()
        self._forwarder.stop_at(stop_ms)
        self._loop.create_task(self._peers.leave())
        while self._now_ms() < stop_ms:
            if self._now_ms() - started_ms > CLOSE_IDLE_AFTER_MS:
                self._callers.close_idle()
                if not (self._callers.connections or self._forwarder.open):
                    break
            await asyncio.sleep(DRAIN_STEP_MS / MS_PER_S)
        self._forwarder.end_all()
        await asyncio.sleep(DRAIN_STEP_MS / MS_PER_S)  # for the last answers

    async def _sweep(self) -> None:
        suspension = Suspension(self._now_ms)
        budget_log = BudgetLog(self._desk.budgets, self.log, self.metrics, self._now_ms)
        while True:
            due_ms = self._now_ms() + SWEEP_MS
            await asyncio.sleep(SWEEP_MS / MS_PER_S)
            self._note_lateness(self._now_ms() - due_ms)
            missed_ms = suspension.missed_ms()
            if missed_ms:
                self._resume(missed_ms)
            self._store_view.expire_held_servers(self._now_ms())
            self._pools.sweep()
            self._budget_share.read()  # counts who is spoken of, though nobody spends
            budget_log.tell()
            self._callers.is_draining = self._is_draining or self._isolation.is_isolated

    def _note_lateness(self, late_ms: float) -> None:
        """Tell how far the loop is behind, which no line of a request shows."""
        self.metrics.set_gauge('loop_late_ms', round(late_ms, 1))
        if late_ms > BEHIND_MS:
            self.log.write('daemon', 'behind', late_ms=round(late_ms))

    def _resume(self, missed_ms: float) -> None:
        """Distrust what is older than the own clock says, after a suspension."""
        self.log.write('daemon', 'resumed', missed_ms=round(missed_ms))
        self._store_view.add_age(missed_ms)
        self._peers.attendance.add_age(missed_ms)
        self._pools.drop_idle()
        self._peers.drop_idle()

    def _now_ms(self) -> float:
        return self._loop.time() * MS_PER_S

    def _owns(self, server: str) -> bool:
        return self._peers.owns(server)

    def _limits(self) -> CallerLimits:
        return self._desk.table.limits_in_force

    def _reload(self) -> None:
        try:
            settings: MachineSettings = read_settings(self.settings_path)
        except (SettingsError, OSError) as error:
            self.log.write('daemon', 'settings kept', reason=str(error))
            return
        self._peers.known.seeds = settings.seeds
        self._peers.attendance.apply_ms = settings.apply_ms
        self._store_view.apply_ms = settings.apply_ms
        self._desk.budgets.change(settings.budget)
        self.settings = settings
        self.log.write('daemon', 'reloaded', seeds=list(settings.seeds))

    def _tell_ready(self, request: HttpRequest) -> None:
        may_serve = self._isolation.is_ready and not self._is_draining
        ready = self._store_view.is_ready and may_serve
        request.answer(200 if ready else 503, [], b'')

    def _tell_figures(self, request: HttpRequest) -> None:
        for kind, calls in self._store.calls.items():
            self.metrics.set_gauge(f'store_calls_{kind}', calls)
        self.metrics.set_gauge('open_requests', self._forwarder.open)
        known = self._store_view.in_force(self._now_ms())
        self.metrics.set_gauge('configuration_version', known.version)
        self.metrics.set_gauge(
            'configuration_confirmed_age_ms', round(known.confirmed_age_ms)
        )
        self.metrics.set_gauge('log_lines_lost', self.log.lost)
        headers = [('Content-Type', 'text/plain; version=0.4')]
        request.answer(200, headers, self.metrics.text().encode())
