"""One run of the soak: a fleet, callers, faults, and what was broken."""

import asyncio
import pathlib
import time
from collections.abc import Coroutine, Iterator

from tests.soak.callers import Caller, Told, send_load
from tests.soak.faults import BUSY_S, Troublemaker
from tests.soak.plan import make_plan
from tests.soak.promises import OK, broken
from tests.soak.touch import Touch
from tests.soak.world import GATEWAYS, SoakWorld

READY_S = 15
CALLERS_EACH = 3
PAUSE_S = 0.06
APPLY_S = 3.0  # a version is in force within this time
PROBE_S = 0.4
ASK_AGAIN_S = 0.1
RECOVERY_S = 6.0  # after the last fault all requests are served
NOT_FOUND = 404


class Run:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Decides all faults.
    length_s : float
        For how long faults begin.
    folder : Path
        Where logs go.
    """

    def __init__(self, seed: int, length_s: float, folder: pathlib.Path) -> None:
        self.plan = make_plan(seed, length_s)
        self.length_s = length_s
        self.folder = folder
        self.seen: list[str] = []
        self.told: list[Told] = []
        self.touch = Touch()
        self._is_over = asyncio.Event()
        self._callers = {number: Caller(number) for number in GATEWAYS}

    async def play(self) -> list[str]:
        """Play the plan and return what was broken."""
        async with SoakWorld(self.folder) as world:
            await self._until_served('start', READY_S)
            started_s = time.monotonic()
            tasks = [asyncio.create_task(load) for load in self._loads()]
            tasks.append(asyncio.create_task(self._probe(world)))
            trouble = Troublemaker(world, self.touch, self.seen.append)
            await asyncio.gather(
                *(self._at(started_s, fault, trouble) for fault in self.plan)
            )
            await asyncio.sleep(RECOVERY_S)
            self._is_over.set()
            await asyncio.gather(*tasks)
            await self._until_served('end', 1)
            self._note_exits(world)
            self.seen.extend(broken(world, self.told, self.touch))
        return self.seen

    async def _at(self, started_s: float, fault, trouble: Troublemaker) -> None:
        await asyncio.sleep(max(0, started_s + fault.at_s - time.monotonic()))
        await trouble.do(fault)

    def _loads(self) -> Iterator[Coroutine[None, None, None]]:
        for number in GATEWAYS:
            for idx in range(CALLERS_EACH):
                name = f'r{number}-{idx}'
                caller = Caller(number)
                yield send_load(caller, name, self.told, self._is_over, PAUSE_S)

    async def _until_served(self, when: str, within_s: float) -> None:
        """Wait until each gateway serves each route."""
        end_s = time.monotonic() + within_s
        for number, caller in self._callers.items():
            statuses = await _statuses(caller, when)
            while statuses != {OK} and time.monotonic() < end_s:
                await asyncio.sleep(ASK_AGAIN_S)
                statuses = await _statuses(caller, when)
            if statuses != {OK}:
                self.seen.append(f'{when}: vm-{number} answers {statuses}')

    async def _probe(self, world: SoakWorld) -> None:
        """Ask for the route that only the newest version has, once that is due."""
        while not self._is_over.is_set():
            await asyncio.sleep(PROBE_S)
            written_s, version = world.versions[-1]
            if time.monotonic() < written_s + APPLY_S + BUSY_S:
                continue
            for gateway, caller in self._callers.items():
                probe = await caller.ask(f'probe-{time.monotonic_ns()}', f'v{version}')
                is_calm = self.touch.is_calm(gateway, written_s, time.monotonic())
                is_newest = world.versions[-1][1] == version
                if probe.status == NOT_FOUND and is_newest and is_calm:
                    self.seen.append(f'vm-{gateway} does not know version {version}')

    def _note_exits(self, world: SoakWorld) -> None:
        for number, process in world.processes.items():
            if process.returncode is not None:
                self.seen.append(f'vm-{number} ended by itself: {process.returncode}')


async def _statuses(caller: Caller, when: str) -> set[int]:
    """Return the statuses that the routes which may be repeated answer with."""
    asked = time.monotonic_ns()
    told = [
        await caller.ask(f'{when}-{asked}-{path}', path) for path in ('wide', 'safe')
    ]
    return {each.status for each in told}
