"""Faults as they are done to a fleet, and undone."""

import asyncio
import signal
import time
from collections.abc import Callable

from tests.soak.plan import Fault, Kind
from tests.soak.proxy import Harm
from tests.soak.touch import Touch
from tests.soak.world import GRACE_S, SoakWorld

SLOW_MS = 250.0
STORE_SLOW_MS = 150.0
DRAIN_S = 3.0  # after which a server that leaves gets nothing more
BUSY_S = 0.7  # the machine that plays this may be busy
START_S = 3.0  # a gateway that was ended is back after this

GATEWAY_HARM = {
    Kind.STORE_CUT: Harm(drops_there=True, drops_back=True, refuses=True),
    Kind.STORE_ONE_WAY: Harm(drops_back=True),
    Kind.STORE_SLOW: Harm(delay_ms=STORE_SLOW_MS),
}
STORE_FAULT = {
    Kind.STORE_DOWN: ('is_silent', True),
    Kind.STORE_BUSY: ('status', 503),
    Kind.STORE_DEAF: ('drops_events', True),
}
SERVER_HARM = {
    Kind.SERVER_SLOW: Harm(delay_ms=SLOW_MS),
    Kind.SERVER_SILENT: Harm(drops_there=True, drops_back=True),
    Kind.SERVER_ONE_WAY: Harm(drops_back=True),
}
SERVER_FAULT = {
    Kind.SERVER_FAILS: ('status', 500),
    Kind.SERVER_SHEDS: ('sheds', True),
    Kind.SERVER_CROSSES: ('wrong_request_id', 'another'),
}


class Troublemaker:
    """Do faults to a fleet.

    Parameters
    ----------
    world : SoakWorld
        The fleet.
    touch : Touch
        Hears of each fault.
    tell : callable
        Hears of each promise that is seen to be broken.
    """

    def __init__(
        self, world: SoakWorld, touch: Touch, tell: Callable[[str], None]
    ) -> None:
        self.world = world
        self.touch = touch
        self.tell = tell
        self._busy: set[int] = set()

    async def do(self, fault: Fault) -> None:
        """Do a fault and undo it when its time is over."""
        now_s = time.monotonic()
        lasts_s = fault.for_s + START_S
        self.touch.note(fault, now_s, now_s + lasts_s)
        if fault.kind in GATEWAY_HARM:
            await self._harm_store_link(fault)
        elif fault.kind in STORE_FAULT:
            await self._set(self.world.store.faults, STORE_FAULT[fault.kind], fault)
        elif fault.kind in SERVER_HARM:
            await self._harm_server(fault)
        elif fault.kind in SERVER_FAULT:
            backend = self.world.backends[fault.server]
            await self._set(backend.faults, SERVER_FAULT[fault.kind], fault)
        else:
            await self._once(fault)

    async def _once(self, fault: Fault) -> None:
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
        """Do something to a process, unless something is being done to it."""
        if fault.gateway in self._busy:
            return
        self._busy.add(fault.gateway)
        process = self.world.processes[fault.gateway]
        match fault.kind:
            case Kind.KILL:
                await self.world.kill(fault.gateway)
            case Kind.STOP:
                took_s = await self.world.stop(fault.gateway)
                if took_s > GRACE_S + BUSY_S or process.returncode != 0:
                    self.tell(f'stop took {took_s:.1f} s, code {process.returncode}')
            case Kind.PAUSE:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                process.send_signal(signal.SIGCONT)
            case Kind.RELOAD:
                process.send_signal(signal.SIGHUP)
        self._busy.discard(fault.gateway)

    async def _leave(self, fault: Fault) -> None:
        """Let a server drain and end, and another one take its place."""
        backend = self.world.backends.pop(fault.server)
        self.world.backends[f'{fault.server}/{backend.name}'] = backend
        key = f'servers/{backend.name}'
        self.world.store.put(key, backend.register(state='draining'))
        asked_s = time.monotonic()
        name = f'{fault.server}x{int(asked_s * 1000)}'
        replacement = await self.world.add_backend(name, backend.service)
        self.world.backends[fault.server] = self.world.backends.pop(name)
        assert replacement.service == backend.service
        await asyncio.sleep(DRAIN_S + BUSY_S)
        seen = len(backend.arrived_ids)
        await asyncio.sleep(fault.for_s)
        late = backend.arrived_ids[seen:]
        if late and self.touch.are_all_calm(asked_s, time.monotonic()):
            self.tell(f'{late[0][1]} reached {backend.name}, which was draining')
        self.world.store.delete(key)

    def _proxy(self, fault: Fault):
        proxy = self.world.backends[fault.server].proxy
        assert proxy is not None
        return proxy

    async def _harm_server(self, fault: Fault) -> None:
        proxy = self._proxy(fault)
        proxy.harm = SERVER_HARM[fault.kind]
        await asyncio.sleep(fault.for_s)
        proxy.harm = Harm()

    async def _harm_store_link(self, fault: Fault) -> None:
        proxy = self.world.store_proxies[fault.gateway]
        proxy.harm = GATEWAY_HARM[fault.kind]
        if proxy.harm.refuses:
            proxy.reset()
        await asyncio.sleep(fault.for_s)
        proxy.harm = Harm()

    async def _set(self, faults, change, fault: Fault) -> None:
        name, setting = change
        before = getattr(faults, name)
        setattr(faults, name, setting)
        await asyncio.sleep(fault.for_s)
        setattr(faults, name, type(before)())
