"""One soak run: start a fleet, send load, inject faults, check the invariants."""

import asyncio
import pathlib
import time
from collections.abc import Coroutine, Iterator

from tests.soak.callers import Caller, CallResult, send_load
from tests.soak.fault_windows import FaultWindows
from tests.soak.faults import LOAD_MARGIN_S, FaultInjector
from tests.soak.invariants import OK, find_violations
from tests.soak.plan import make_plan
from tests.soak.world import GATEWAYS, SoakWorld

READY_S = 15
CALLERS_PER_GATEWAY = 3
PAUSE_S = 0.06
APPLY_S = 3.0  # a version takes effect within this time
PROBE_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 0.1
RECOVERY_S = 6.0  # after the last fault all requests are served
NOT_FOUND = 404


class Run:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Seed of the fault plan.
    length_s : float
        Time span in which faults start.
    folder : Path
        Folder of the logs.
    """

    def __init__(self, seed: int, length_s: float, folder: pathlib.Path) -> None:
        self.plan = make_plan(seed, length_s)
        self.length_s = length_s
        self.folder = folder
        self.violations: list[str] = []
        self.results: list[CallResult] = []
        self.fault_windows = FaultWindows()
        self._is_over = asyncio.Event()
        self._callers = {number: Caller(number) for number in GATEWAYS}

    async def run(self) -> list[str]:
        """Inject the planned faults and return the violations."""
        async with SoakWorld(self.folder) as world:
            await self._wait_until_served('start', READY_S)
            started_s = time.monotonic()
            tasks = [asyncio.create_task(load) for load in self._loads()]
            tasks.append(asyncio.create_task(self._probe(world)))
            injector = FaultInjector(world, self.fault_windows, self.violations.append)
            await asyncio.gather(
                *(self._inject_at(started_s, fault, injector) for fault in self.plan)
            )
            await asyncio.sleep(RECOVERY_S)
            self._is_over.set()
            await asyncio.gather(*tasks)
            await self._wait_until_served('end', 1)
            self._report_exits(world)
            self.violations.extend(
                find_violations(world, self.results, self.fault_windows)
            )
        return self.violations

    async def _inject_at(
        self, started_s: float, fault, injector: FaultInjector
    ) -> None:
        await asyncio.sleep(max(0, started_s + fault.start_s - time.monotonic()))
        await injector.inject(fault)

    def _loads(self) -> Iterator[Coroutine[None, None, None]]:
        for number in GATEWAYS:
            for idx in range(CALLERS_PER_GATEWAY):
                name = f'r{number}-{idx}'
                caller = Caller(number)
                yield send_load(caller, name, self.results, self._is_over, PAUSE_S)

    async def _wait_until_served(self, when: str, within_s: float) -> None:
        """Wait until each gateway serves each route."""
        end_s = time.monotonic() + within_s
        for number, caller in self._callers.items():
            statuses = await _statuses(caller, when)
            while statuses != {OK} and time.monotonic() < end_s:
                await asyncio.sleep(RETRY_INTERVAL_S)
                statuses = await _statuses(caller, when)
            if statuses != {OK}:
                self.violations.append(f'{when}: vm-{number} responds with {statuses}')

    async def _probe(self, world: SoakWorld) -> None:
        """Request the newest version's own route once it must be in force."""
        while not self._is_over.is_set():
            await asyncio.sleep(PROBE_INTERVAL_S)
            written_s, version = world.versions[-1]
            if time.monotonic() < written_s + APPLY_S + LOAD_MARGIN_S:
                continue
            for gateway, caller in self._callers.items():
                probe = await caller.ask(f'probe-{time.monotonic_ns()}', f'v{version}')
                is_fault_free = self.fault_windows.is_fault_free(
                    gateway, written_s, time.monotonic()
                )
                is_newest = world.versions[-1][1] == version
                if probe.status == NOT_FOUND and is_newest and is_fault_free:
                    self.violations.append(
                        f'vm-{gateway} does not serve version {version}'
                    )

    def _report_exits(self, world: SoakWorld) -> None:
        for number, process in world.processes.items():
            if process.returncode is not None:
                self.violations.append(
                    f'vm-{number} exited unexpectedly: {process.returncode}'
                )


async def _statuses(caller: Caller, when: str) -> set[int]:
    """Return the response statuses of the safe routes."""
    sent_ns = time.monotonic_ns()
    results = [
        await caller.ask(f'{when}-{sent_ns}-{path}', path) for path in ('wide', 'safe')
    ]
    return {result.status for result in results}
