"""Invariants after each step of random call sequences."""

from hypothesis import given, settings, strategies

from cowsliploom.protocol import LeaseCall, RunCall, SearchCall
from cowsliploom.standins._server_model import Ticket
from cowsliploom.standins._store import StoreState
from cowsliploom.standins.tests.test_server_model import make_model

HOLDERS = strategies.sampled_from(['a', 'b', 'c'])
LEASE_STEPS = strategies.lists(
    strategies.tuples(
        HOLDERS,
        strategies.integers(0, 3),
        strategies.booleans(),
        strategies.integers(0, 60),
    ),
    max_size=40,
)
CALL_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['search', 'run', 'finish', 'cancel', 'give_up']),
        strategies.integers(0, 9),
        strategies.integers(0, 40),
    ),
    max_size=60,
)
TTL_MS = 100
SLOTS = 2
QUEUE_MAX = 2


@settings(derandomize=True, deadline=None)
@given(LEASE_STEPS)
def test_lease_is_never_granted_to_another_before_it_ends(steps):
    state = StoreState()
    now_ms, held_by, held_until_ms, token = 0, '', 0, 0
    for holder, back, release, pause_ms in steps:
        now_ms += pause_ms
        call = LeaseCall(holder, TTL_MS, max(token - back, 0), release)
        outcome = state.lease('l', call, now_ms)
        if outcome.granted:
            assert held_by in {'', holder} or now_ms >= held_until_ms
            assert outcome.lease.token >= token
            token = outcome.lease.token
            held_by = '' if release else holder
            held_until_ms = now_ms + TTL_MS
        elif call.token == 0:
            assert held_by not in {'', holder}
            assert now_ms < held_until_ms


class CallPlayer:
    """Apply calls to a server model and track the open ones."""

    def __init__(self, cold_start):
        self.model = make_model(
            slots=SLOTS, queue_max=QUEUE_MAX, cold_start=cold_start, cold_step_calls=3
        )
        self.open = []

    def play(self, step, number, now_ms):
        match step:
            case 'search':
                self._admit(SearchCall(f'q.{now_ms}', 'a', 'x', 7, 't', 1, 50), now_ms)
            case 'run':
                call = RunCall(f'r.{now_ms}', 'a', f'p{now_ms}', 50)
                self._admit(call, now_ms)
            case 'cancel' if self.open:
                chosen = self.open[number % len(self.open)]
                self.model.cancel(chosen.call.request_id)
            case 'finish':
                self._end(number, now_ms, started=True)
            case 'give_up':
                self._end(number, now_ms, started=False)

    def _admit(self, call, now_ms):
        ticket = self.model.admit(call, now_ms)
        if isinstance(ticket, Ticket):
            self.open.append(ticket)

    def _end(self, number, now_ms, started):
        fitting = [each for each in self.open if (each.work is not None) == started]
        if not fitting:
            return
        ticket = fitting[number % len(fitting)]
        self.open.remove(ticket)
        if started:
            self.model.finish(ticket, now_ms)
        else:
            self.model.drop_queued(ticket)

    def check(self):
        running = [each for each in self.open if each.work is not None]
        assert self.model.busy == len(running)
        assert self.model.busy <= SLOTS
        assert self.model.calls == len(self.open)
        assert self.model.calls <= SLOTS + QUEUE_MAX
        assert len(running) == min(len(self.open), SLOTS)
        cold = self.model.cold
        if cold:
            assert 1 <= cold.allowance <= SLOTS


@settings(derandomize=True, deadline=None)
@given(CALL_STEPS, strategies.booleans())
def test_slots_and_queue_hold_over_any_sequence(steps, cold_start):
    player = CallPlayer(cold_start)
    now_ms = 0
    for step, number, pause_ms in steps:
        now_ms += pause_ms + 1
        player.play(step, number, now_ms)
        player.check()
    runs = [entry.payload for entry in player.model.server_log.run_log.runs]
    assert len(runs) == len(set(runs))
