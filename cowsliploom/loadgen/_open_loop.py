"""Open loop: requests are sent when due, independent of earlier responses."""

import queue
import threading
from collections.abc import Iterable
from typing import Protocol

from cowsliploom.loadgen._arrivals import Arrival
from cowsliploom.loadgen._outcomes import (
    CallRecord,
    OnRecord,
    Outcome,
    ignore_record,
)
from cowsliploom.ports import Clock

MS_PER_S = 1000
WORKERS = 64


class Caller(Protocol):
    """Client that sends requests."""

    def call(self, arrival: Arrival, attempt: int = 0) -> Outcome:
        """Send one request and wait for its outcome."""
        ...

    def should_retry(self, arrival: Arrival, outcome: Outcome, attempt: int) -> bool:
        """Return whether to send the request again."""
        ...


class OpenLoop:
    """Thread pool that sends arrivals when due and reports each record.

    Latency counts from the time when a request was due, also if it waits for a
    worker, so that a slow system does not reduce its own load.

    Parameters
    ----------
    caller : Caller
        Client shared by all workers.
    clock : Clock
        Monotonic clock of the run.
    workers : int
        Limit of concurrent requests.
    on_record : callable
        Called for each finished request, in the thread that calls `run`.
    """

    def __init__(
        self,
        caller: Caller,
        clock: Clock,
        workers: int = WORKERS,
        on_record: OnRecord = ignore_record,
    ) -> None:
        self.caller = caller
        self.clock = clock
        self.workers = workers
        self.on_record = on_record
        self._start_ms: float = 0

    def run(self, arrivals: Iterable[Arrival]) -> list[CallRecord]:
        """Send all arrivals when due; return once all have ended."""
        due: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
        done: queue.SimpleQueue[CallRecord] = queue.SimpleQueue()
        threads = [
            threading.Thread(target=self._work, args=(due, done), daemon=True)
            for _ in range(self.workers)
        ]
        for thread in threads:
            thread.start()
        self._start_ms = self.clock.now_ms()
        sent = 0
        records: list[CallRecord] = []
        for arrival in arrivals:
            self._collect_until(arrival.at_ms, done, records)
            due.put(arrival)
            sent += 1
        for _ in threads:
            due.put(None)
        while len(records) < sent:
            self._record(done.get(), records)
        return records

    def _collect_until(
        self,
        until_ms: float,
        done: 'queue.SimpleQueue[CallRecord]',
        records: list[CallRecord],
    ) -> None:
        """Collect finished records until a time."""
        left_ms = until_ms - self._elapsed_ms()
        while left_ms > 0:
            try:
                self._record(done.get(timeout=left_ms / MS_PER_S), records)
            except queue.Empty:
                return
            left_ms = until_ms - self._elapsed_ms()

    def _elapsed_ms(self) -> float:
        return self.clock.now_ms() - self._start_ms

    def _record(self, record: CallRecord, records: list[CallRecord]) -> None:
        records.append(record)
        self.on_record(record)

    def _work(
        self,
        due: 'queue.SimpleQueue[Arrival | None]',
        done: 'queue.SimpleQueue[CallRecord]',
    ) -> None:
        arrival = due.get()
        while arrival is not None:
            done.put(self._call(arrival))
            arrival = due.get()

    def _call(self, arrival: Arrival) -> CallRecord:
        sent_ms = self._elapsed_ms()
        attempt = 0
        outcome = self.caller.call(arrival, attempt)
        while self.caller.should_retry(arrival, outcome, attempt):
            attempt += 1
            outcome = self.caller.call(arrival, attempt)
        ended_ms = self._elapsed_ms()
        return CallRecord(arrival, sent_ms, ended_ms, attempt + 1, outcome)
