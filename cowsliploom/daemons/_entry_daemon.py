"""Tasks of one entry daemon, from startup to graceful shutdown."""

import asyncio
import json
import os
import secrets
import signal
from concurrent.futures import Future
from contextlib import AsyncExitStack

from cowsliploom.adapters import (
    ComponentLog,
    HttpServer,
    HttpServerSettings,
    HttpStore,
    JsonLogDestination,
    SystemClock,
)
from cowsliploom.coordination import Fact, Member, MemberStatus, StoreWatchScheduler
from cowsliploom.daemons._claims_task import ClaimsTask
from cowsliploom.daemons._entry_backends import Backends
from cowsliploom.daemons._entry_config import ConfigurationWatch
from cowsliploom.daemons._entry_http import CallerApi, EntryViews, Readiness
from cowsliploom.daemons._entry_hub import EntryHub, Wiring
from cowsliploom.daemons._entry_loop import RouterOutputs, RouterTask
from cowsliploom.daemons._entry_settings import EntrySettings, Policy
from cowsliploom.daemons._entry_vms import VmListReader
from cowsliploom.daemons._peer_task import PeerTask, PeerTaskSettings
from cowsliploom.daemons._rollout_task import RolloutTask
from cowsliploom.daemons._shutdown import EXIT_FORCED
from cowsliploom.routing import NaiveRouter, Router, RouterSettings

MS_PER_S = 1000
SEED_BITS = 32
PROBE_INTERVAL_MS = 100  # with eight probes each time, at most 80 probes a second
WARM_INTERVAL_MS = 500  # scans all servers; announcements lag by up to this
DRAIN_POLL_MS = 20
FLEET_TIMEOUT_MS = 1000  # the loop answers within a tick unless it is suspended
ACCEPT_QUEUE_FACTOR = 8  # connections accepted for each thread


def make_router(settings: EntrySettings, seed: int) -> Router | NaiveRouter:
    """Build the router for the configured policy."""
    match settings.policy:
        case Policy.NAIVE:
            kind: type[Router] | type[NaiveRouter] = NaiveRouter
        case Policy.ADAPTIVE:
            kind = Router
    return kind(settings.name, settings.data_centre, RouterSettings(), seed)


class EntryDaemon:
    """Own the tasks of one entry VM.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.log = ComponentLog('entry')
        self._seed = settings.seed or secrets.randbits(SEED_BITS)
        self._incarnation = int(self.clock.wall_ms() / MS_PER_S)
        self._member = Member(
            settings.name, '', settings.data_centre, self._incarnation
        )
        self._identity = f'{settings.name}#{self._incarnation}'
        self._draining = False
        self._hub = EntryHub(self._member, self.clock)
        self._backends = Backends(self.clock)
        self._router = RouterTask(
            self._identity,
            make_router(settings, self._seed),
            self._backends,
            self.clock,
            RouterOutputs(
                self._hub.record_sample,
                self._hub.handle_applied,
                self._hub.handle_probe,
                self._hub.health.handle_refusal,
            ),
        )
        self._peers = PeerTask(
            PeerTaskSettings(self._member, settings.peer_listen, seed=self._seed),
            self._hub.handle_peer_event,
        )
        self._loop: asyncio.AbstractEventLoop | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; a second one exits immediately."""
        loop = asyncio.get_running_loop()
        self._loop = loop
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal, stop)
        async with AsyncExitStack() as stack:
            stack.enter_context(JsonLogDestination())
            api = self._make_api(stack)
            server = await self._start(stack, loop, api)
            await stop.wait()
            await self._drain(server, api)
        self.log.write('Stopped.', name=self.settings.name)

    def _make_api(self, stack: AsyncExitStack) -> CallerApi:
        claims = stack.enter_context(
            ClaimsTask(self._open_store(stack), self.clock, self._identity)
        )
        views = EntryViews(self._readiness, self._fleet)
        return CallerApi(self._router.post, claims, self.clock, views)

    async def _start(
        self, stack: AsyncExitStack, loop: asyncio.AbstractEventLoop, api: CallerApi
    ) -> HttpServer:
        stack.enter_context(self._backends)
        self._router.start(loop)
        scheduler = StoreWatchScheduler(
            self.settings.name, self.settings.data_centre, self._seed
        )
        watch = ConfigurationWatch(
            self._open_store(stack), self.clock, scheduler, self._router.post
        )
        vms = VmListReader(
            self._open_store(stack),
            lambda listed: loop.call_soon_threadsafe(self._hub.handle_vm_list, listed),
            self._seed,
        )
        rollout = RolloutTask(
            self._open_store(stack),
            self.clock,
            self.settings.name,
            str(self._incarnation),
            self._router.post,
            self._announce_fact,
        )
        self._hub.connect(Wiring(self._router, self._peers, watch, vms, rollout))
        await stack.enter_async_context(self._peers)
        stack.enter_context(watch)
        stack.enter_context(vms)
        stack.enter_context(rollout)
        self._probe()
        self._announce_warm()
        server = self._listen(api)
        stack.enter_context(server)
        ready = {'ready': server.address, 'peer': self._peers.address}
        print(json.dumps(ready), flush=True)  # noqa: WPS421
        self.log.write('Started.', address=server.address, name=self.settings.name)
        return server

    def _open_store(self, stack: AsyncExitStack) -> HttpStore:
        """Open connections to the store for one task."""
        return stack.enter_context(HttpStore(self.settings.store))

    def _listen(self, api: CallerApi) -> HttpServer:
        return HttpServer(
            self.settings.listen,
            api.answer,
            HttpServerSettings(
                threads=self.settings.threads,
                connections_max=self.settings.threads * ACCEPT_QUEUE_FACTOR,
                drain_timeout_ms=self.settings.drain_timeout_ms,
            ),
            self.log.write,
        )

    async def _drain(self, server: HttpServer, api: CallerApi) -> None:
        """Leave the fleet while still serving, then wait for pending requests."""
        self._draining = True
        notice_ms = self.settings.drain_notice_ms
        deadline_ms = self.clock.now_ms() + notice_ms + self.settings.drain_timeout_ms
        api.stop_at(deadline_ms)
        self.log.write('Draining.', pending=self._router.pending)
        await asyncio.sleep(notice_ms / MS_PER_S)
        await self._peers.leave()
        server.drain()
        while self._has_requests(server) and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_MS / MS_PER_S)
        api.end_pending()
        self.log.write('Drained.', pending=self._router.pending)

    def _has_requests(self, server: HttpServer) -> bool:
        return bool(self._router.pending or server.requests_open)

    def _handle_signal(self, stop: asyncio.Event) -> None:
        if stop.is_set():
            os._exit(EXIT_FORCED)  # noqa: WPS437
        stop.set()

    def _probe(self) -> None:
        health = self._hub.health
        for server in health.due(self.clock.now_ms()):
            self._backends.probe(server, with_load=health.wants_load(server))
        if self._loop is not None:
            self._loop.call_later(PROBE_INTERVAL_MS / MS_PER_S, self._probe)

    def _announce_warm(self) -> None:
        self._hub.announce_warm()
        if self._loop is not None:
            self._loop.call_later(WARM_INTERVAL_MS / MS_PER_S, self._announce_warm)

    def _readiness(self) -> Readiness:
        if self._draining:
            return Readiness(ready=False, reason='draining')
        if not self._router.configuration.revision:
            return Readiness(ready=False, reason='no configuration yet')
        if not self._hub.health.probed:
            return Readiness(ready=False, reason='backend servers not probed yet')
        return Readiness(ready=True)

    def _fleet(self) -> tuple[MemberStatus, ...]:
        reply: Future[tuple[MemberStatus, ...]] = Future()
        if self._loop is None:
            return ()
        self._loop.call_soon_threadsafe(self._send_fleet, reply)
        return reply.result(FLEET_TIMEOUT_MS / MS_PER_S)

    def _send_fleet(self, reply: 'Future[tuple[MemberStatus, ...]]') -> None:
        reply.set_result(self._peers.fleet())

    def _announce_fact(self, key: str, generation: int, blob: bytes) -> None:
        fact = Fact(key, generation, blob)
        if self._loop is not None:
            self._loop.call_soon_threadsafe(self._peers.announce_fact, fact)
