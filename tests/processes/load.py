"""Search load that continues during faults."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from types import TracebackType
from typing import Any

from urllib3.exceptions import HTTPError

from tests.processes.fleet import Daemon
from tests.processes.world import World

JOIN_S = 15
SUCCESS = 200
READY_POLL_S = 0.1  # interval at which the balancer polls /readyz


@dataclass(frozen=True)
class SearchResult:
    """Result of one search; ``status`` 0 means no response."""

    entry: str
    request_id: str
    started_s: float
    elapsed_s: float
    status: int
    body: Any


class Balancer:
    """Round-robin over ready entry VMs; sees readiness changes with a delay."""

    def __init__(self, world: World, entries: list[Daemon]) -> None:
        self._world = world
        self._entries = entries
        self._ready = list(entries)
        self._turn = 0
        self._lock = threading.Lock()

    def watch(self, stop: threading.Event) -> None:
        """Refresh the list of ready entry VMs until stopped."""
        while not stop.wait(READY_POLL_S):
            ready = [entry for entry in self._entries if self._is_ready(entry)]
            with self._lock:
                self._ready = ready

    def choose(self) -> Daemon | None:
        """Return the next ready entry VM."""
        with self._lock:
            if not self._ready:
                return None
            self._turn += 1
            return self._ready[self._turn % len(self._ready)]

    def _is_ready(self, entry: Daemon) -> bool:
        try:
            return self._world.get(entry.address, '/readyz').status == 200
        except HTTPError:
            return False


class SearchLoad:
    """Send searches from several threads until the block ends."""

    def __init__(
        self,
        world: World,
        entries: list[Daemon],
        callers: int = 4,
        pause_s: float = 0.02,
        timeout_ms: float = 1000,
    ) -> None:
        self._world = world
        self._balancer = Balancer(world, entries)
        self._callers = callers
        self._pause_s = pause_s
        self._timeout_ms = timeout_ms
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self.results: list[SearchResult] = []

    def __enter__(self) -> 'SearchLoad':
        targets = [(self._ask, (number,)) for number in range(self._callers)]
        targets.append((self._balancer.watch, (self._stop,)))  # type: ignore[arg-type]
        for target, arguments in targets:
            thread = threading.Thread(target=target, args=arguments, daemon=True)
            thread.start()
            self._threads.append(thread)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join(JOIN_S)

    def statuses(self) -> Counter[int]:
        """Count the statuses received so far."""
        return Counter(result.status for result in self.results)

    def failures(self) -> list[SearchResult]:
        """Return the searches without status 200, which tell why."""
        return [result for result in self.results if result.status != SUCCESS]

    def _ask(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            entry = self._balancer.choose()
            if entry is not None:
                number += 1
                self.results.append(self._search(entry, f'load-{caller}-{number}'))
            self._stop.wait(self._pause_s)

    def _search(self, entry: Daemon, request_id: str) -> SearchResult:
        started_s = time.monotonic()
        try:
            reply = self._world.search(entry, 'sour line', self._timeout_ms, request_id)
        except HTTPError as error:
            elapsed_s = time.monotonic() - started_s
            return SearchResult(
                entry.name, request_id, started_s, elapsed_s, 0, str(error)
            )
        elapsed_s = time.monotonic() - started_s
        return SearchResult(
            entry.name, request_id, started_s, elapsed_s, reply.status, reply.body
        )
