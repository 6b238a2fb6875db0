import threading

from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen._open_loop import OpenLoop
from cowsliploom.loadgen._outcomes import Booked, Failed
from cowsliploom.loadgen.tests.samples import make_arrival

CALL_S = 0.02
BARRIER_TIMEOUT_S = 20


class SlowCaller:
    """Client with a fixed latency that fails the first ``failures`` attempts."""

    def __init__(self, failures=0):
        self.failures = failures
        self.calls = []

    def call(self, arrival, attempt=0):
        self.calls.append((arrival.request_id, attempt))
        threading.Event().wait(CALL_S)
        return Failed('reset') if attempt < self.failures else Booked(replayed=False)

    def should_retry(self, arrival, outcome, attempt):
        return isinstance(outcome, Failed)


def test_latency_counts_from_due_time():
    arrivals = [make_arrival(f'q{number}') for number in range(4)]
    records = OpenLoop(SlowCaller(), SystemClock(), workers=1).run(arrivals)
    latencies_ms = sorted(each.latency_ms for each in records)
    assert latencies_ms[0] >= CALL_S * 1000
    assert latencies_ms[3] >= 4 * CALL_S * 1000


class BarrierCaller(SlowCaller):
    """Client that answers only once four calls are in flight."""

    def __init__(self):
        super().__init__()
        self.barrier = threading.Barrier(4, timeout=BARRIER_TIMEOUT_S)

    def call(self, arrival, attempt=0):
        self.barrier.wait()
        return super().call(arrival, attempt)


def test_requests_are_sent_concurrently_with_free_workers():
    arrivals = [make_arrival(f'q{number}') for number in range(4)]
    records = OpenLoop(BarrierCaller(), SystemClock(), workers=4).run(arrivals)
    assert len(records) == 4


def test_requests_are_not_sent_before_due_time():
    arrivals = [make_arrival('q1', at_ms=0), make_arrival('q2', at_ms=40)]
    records = OpenLoop(SlowCaller(), SystemClock(), workers=2).run(arrivals)
    assert all(each.sent_ms >= each.arrival.at_ms for each in records)


def test_record_callback_receives_number_of_attempts():
    seen = []
    caller = SlowCaller(failures=2)
    OpenLoop(caller, SystemClock(), 1, seen.append).run([make_arrival('q')])
    assert [each.attempts for each in seen] == [3]
    assert caller.calls == [('q', 0), ('q', 1), ('q', 2)]
