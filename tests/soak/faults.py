"""Injection and removal of faults in a running fleet."""

import asyncio
import signal
import time
from collections.abc import Callable

from tests.soak.fault_windows import FaultWindows
from tests.soak.plan import Fault, Kind
from tests.soak.proxy import Impairment
from tests.soak.world import STOP_GRACE_S, SoakWorld

SLOW_MS = 250.0
STORE_SLOW_MS = 150.0
DRAIN_S = 3.0  # after this a draining server must receive no new requests
LOAD_MARGIN_S = 0.7  # allows for a busy test machine
START_S = 3.0  # time for a stopped gateway to be ready again

STORE_LINK_IMPAIRMENTS = {
    Kind.STORE_CUT: Impairment(
        drops_to_target=True, drops_from_target=True, resets_new_connections=True
    ),
    Kind.STORE_ONE_WAY: Impairment(drops_from_target=True),
    Kind.STORE_SLOW: Impairment(delay_ms=STORE_SLOW_MS),
}
STORE_FAULT_SETTINGS = {
    Kind.STORE_DOWN: ('is_silent', True),
    Kind.STORE_BUSY: ('status', 503),
    Kind.STORE_DEAF: ('drops_events', True),
}
SERVER_LINK_IMPAIRMENTS = {
    Kind.SERVER_SLOW: Impairment(delay_ms=SLOW_MS),
    Kind.SERVER_SILENT: Impairment(drops_to_target=True, drops_from_target=True),
    Kind.SERVER_ONE_WAY: Impairment(drops_from_target=True),
}
SERVER_FAULT_SETTINGS = {
    Kind.SERVER_FAILS: ('status', 500),
    Kind.SERVER_SHEDS: ('sheds', True),
    Kind.SERVER_CROSSES: ('wrong_request_id', 'another'),
}


class FaultInjector:
    """Inject faults into a fleet.

    Parameters
    ----------
    world : SoakWorld
        The fleet.
    fault_windows : FaultWindows
        Records the time span of each fault.
    report : callable
        Receives a line for each violation seen during a fault.
    """

    def __init__(
        self,
        world: SoakWorld,
        fault_windows: FaultWindows,
        report: Callable[[str], None],
    ) -> None:
        self.world = world
        self.fault_windows = fault_windows
        self.report = report
        self._busy: set[int] = set()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and remove it after its duration."""
        now_s = time.monotonic()
        affected_s = fault.duration_s + START_S
        self.fault_windows.record(fault, now_s, now_s + affected_s)
        if fault.kind in STORE_LINK_IMPAIRMENTS:
            await self._impair_store_link(fault)
        elif fault.kind in STORE_FAULT_SETTINGS:
            await self._set_fault(
                self.world.store.faults, STORE_FAULT_SETTINGS[fault.kind], fault
            )
        elif fault.kind in SERVER_LINK_IMPAIRMENTS:
            await self._impair_server_link(fault)
        elif fault.kind in SERVER_FAULT_SETTINGS:
            backend = self.world.backends[fault.server]
            await self._set_fault(
                backend.faults, SERVER_FAULT_SETTINGS[fault.kind], fault
            )
        else:
            await self._inject_once(fault)

    async def _inject_once(self, fault: Fault) -> None:
        match fault.kind:
            case Kind.STORE_FORGETS:
                self.world.store.clear_history()
            case Kind.CONFIGURE:
                self.world.configure()
            case Kind.SERVER_RESETS:
                self._proxy(fault).reset()
            case Kind.SERVER_LEAVES:
                await self._leave(fault)
            case _:
                await self._signal(fault)

    async def _signal(self, fault: Fault) -> None:
        """Signal or restart a gateway, unless such a fault is in progress there."""
        if fault.gateway in self._busy:
            return
        self._busy.add(fault.gateway)
        process = self.world.processes[fault.gateway]
        match fault.kind:
            case Kind.KILL:
                await self.world.kill(fault.gateway)
            case Kind.STOP:
                took_s = await self.world.stop(fault.gateway)
                if took_s > STOP_GRACE_S + LOAD_MARGIN_S or process.returncode != 0:
                    self.report(f'stop took {took_s:.1f} s, code {process.returncode}')
            case Kind.PAUSE:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                process.send_signal(signal.SIGCONT)
            case Kind.RELOAD:
                process.send_signal(signal.SIGHUP)
        self._busy.discard(fault.gateway)

    async def _leave(self, fault: Fault) -> None:
        """Drain a server, register a replacement, then remove the drained server."""
        backend = self.world.backends.pop(fault.server)
        self.world.backends[f'{fault.server}/{backend.name}'] = backend
        key = f'servers/{backend.name}'
        self.world.store.put(key, backend.register(state='draining'))
        draining_s = time.monotonic()
        name = f'{fault.server}x{int(draining_s * 1000)}'
        replacement = await self.world.add_backend(name, backend.service)
        self.world.backends[fault.server] = self.world.backends.pop(name)
        assert replacement.service == backend.service
        await asyncio.sleep(DRAIN_S + LOAD_MARGIN_S)
        seen = len(backend.arrived_ids)
        await asyncio.sleep(fault.duration_s)
        late = backend.arrived_ids[seen:]
        if late and self.fault_windows.are_all_fault_free(draining_s, time.monotonic()):
            self.report(f'{late[0][1]} reached {backend.name}, which was draining')
        self.world.store.delete(key)

    def _proxy(self, fault: Fault):
        proxy = self.world.backends[fault.server].proxy
        assert proxy is not None
        return proxy

    async def _impair_server_link(self, fault: Fault) -> None:
        proxy = self._proxy(fault)
        proxy.impairment = SERVER_LINK_IMPAIRMENTS[fault.kind]
        await asyncio.sleep(fault.duration_s)
        proxy.impairment = Impairment()

    async def _impair_store_link(self, fault: Fault) -> None:
        proxy = self.world.store_proxies[fault.gateway]
        proxy.impairment = STORE_LINK_IMPAIRMENTS[fault.kind]
        if proxy.impairment.resets_new_connections:
            proxy.reset()
        await asyncio.sleep(fault.duration_s)
        proxy.impairment = Impairment()

    async def _set_fault(self, faults, change, fault: Fault) -> None:
        name, setting = change
        before = getattr(faults, name)
        setattr(faults, name, setting)
        await asyncio.sleep(fault.duration_s)
        setattr(faults, name, type(before)())
