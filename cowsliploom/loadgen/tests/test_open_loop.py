import threading

from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen._open_loop import OpenLoop
from cowsliploom.loadgen._outcomes import Booked, Failed
from cowsliploom.loadgen.tests.samples import make_arrival

CALL_S = 0.02
MEETING_TIMEOUT_S = 20


class SlowCaller:
    """Answer each call after a fixed time; fail the first ``failures``."""

    def __init__(self, failures=0):
        self.failures = failures
        self.calls = []

    def call(self, arrival, attempt=0):
        self.calls.append((arrival.request_id, attempt))
        threading.Event().wait(CALL_S)
        return Failed('reset') if attempt < self.failures else Booked(replayed=False)

    def may_retry(self, arrival, outcome, attempt):
        return isinstance(outcome, Failed)


def test_latency_counts_from_when_a_request_was_due():
    arrivals = [make_arrival(f'q{number}') for number in range(4)]
    records = OpenLoop(SlowCaller(), SystemClock(), workers=1).run(arrivals)
    latencies_ms = sorted(each.latency_ms for each in records)
    assert latencies_ms[0] >= CALL_S * 1000
    assert latencies_ms[3] >= 4 * CALL_S * 1000


class MeetingCaller(SlowCaller):
    """Answer only when four calls are in flight at the same time."""

    def __init__(self):
        super().__init__()
        self.meeting = threading.Barrier(4, timeout=MEETING_TIMEOUT_S)

    def call(self, arrival, attempt=0):
        self.meeting.wait()
        return super().call(arrival, attempt)


def test_requests_are_sent_at_once_when_workers_are_free():
    arrivals = [make_arrival(f'q{number}') for number in range(4)]
    records = OpenLoop(MeetingCaller(), SystemClock(), workers=4).run(arrivals)
    assert len(records) == 4


def test_requests_are_not_sent_before_they_are_due():
    arrivals = [make_arrival('q1', at_ms=0), make_arrival('q2', at_ms=40)]
    records = OpenLoop(SlowCaller(), SystemClock(), workers=2).run(arrivals)
    assert all(each.sent_ms >= each.arrival.at_ms for each in records)


def test_each_record_is_handed_on_with_its_attempts():
    seen = []
    caller = SlowCaller(failures=2)
    OpenLoop(caller, SystemClock(), 1, seen.append).run([make_arrival('q')])
    assert [each.attempts for each in seen] == [3]
    assert caller.calls == [('q', 0), ('q', 1), ('q', 2)]
