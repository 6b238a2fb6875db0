"""Leases: at most one holder under loss, delay, pauses and clock drift."""

import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.coordination import (
    CallLease,
    LeaseAcquired,
    LeaseAnswered,
    LeaseHolder,
    LeaseLost,
    LeaseSettings,
    LeaseTicked,
    LeaseUnanswered,
    LeaseWanted,
)
from cowsliploom.coordination.tests.fleet_loop import SimulatedTime
from cowsliploom.protocol import LeaseResult

TTL_MS = 6000
TICK_MS = 100
CHECK_INTERVAL_MS = 20


class LeaseStore:
    """Simulated lease of the platform's store."""

    def __init__(self, loop):
        self.loop = loop
        self.holder = ''
        self.until_ms = 0
        self.token = 0
        self.is_out = False
        self.calls = 0

    def handle(self, call):
        now_ms = self.loop.now_ms
        is_free = not self.holder or now_ms >= self.until_ms
        if call.release:
            if call.token == self.token:
                self.until_ms = now_ms
        elif is_free:
            self.token += 1
            self.holder = call.holder
            self.until_ms = now_ms + call.ttl_ms
        elif call.holder == self.holder:
            self.until_ms = now_ms + call.ttl_ms
        return LeaseResult('l', self.holder, self.token, self.until_ms, now_ms)


class Daemon:  # noqa: WPS230 - process, clock and fault state
    """Run a lease holder against the store with delays and losses."""

    def __init__(self, loop, store, name, rate, holder_type=LeaseHolder):
        self.loop = loop
        self.store = store
        self.rate = rate
        self.holder = holder_type(
            LeaseSettings('l', name, TTL_MS), loop.random.random()
        )
        self.is_frozen = False
        self.deferred_events = []
        self.events = []
        loop.at(loop.random.uniform(0, TICK_MS), self.tick)
        loop.at(0, self.feed, LeaseWanted, True)

    def local_ms(self):
        return self.loop.now_ms * self.rate

    def holds(self):
        return not self.is_frozen and self.holder.holds(self.local_ms())

    def tick(self):
        self.loop.at(TICK_MS, self.tick)
        if not self.is_frozen:
            self.feed(LeaseTicked)

    def feed(self, event_type, *arguments):
        if self.is_frozen:
            self.deferred_events.append((event_type, arguments))
            return
        for command in self.holder.step(event_type(self.local_ms(), *arguments)):
            if isinstance(command, CallLease):
                self.call(command)
            else:
                self.events.append(command)

    def call(self, command):
        self.store.calls += 1
        delay_ms = self.loop.random.choice([1, 5, 400])
        fault_draw = self.loop.random.randrange(100)
        if self.store.is_out or fault_draw < 10:
            self.loop.at(
                command.timeout_ms, self.feed, LeaseUnanswered, command.call_id
            )
        else:
            is_lost = fault_draw < 25
            self.loop.at(delay_ms, self.arrive, command, delay_ms, is_lost)

    def arrive(self, command, delay_ms, is_lost):
        answer = self.store.handle(command.call)
        if is_lost:
            self.loop.at(
                command.timeout_ms, self.feed, LeaseUnanswered, command.call_id
            )
        else:
            self.loop.at(delay_ms, self.feed, LeaseAnswered, command.call_id, answer)

    def resume(self):
        self.is_frozen = False
        for event_type, arguments in self.deferred_events:
            self.feed(event_type, *arguments)
        self.deferred_events.clear()


class LeaseLoop(SimulatedTime):
    """Run daemons that compete for a lease, and count overlapping holders."""

    def __init__(self, seed, holder_type=LeaseHolder):
        super().__init__()
        self.random = random.Random(seed)
        self.store = LeaseStore(self)
        rates = (0.99, 1.0, 1.01)
        self.daemons = [
            Daemon(self, self.store, f'vm-{rate}', rate, holder_type) for rate in rates
        ]
        self.overlaps = 0
        self.held_ms = 0
        self.at(0, self.check)

    def check(self):
        holding = sum(daemon.holds() for daemon in self.daemons)
        self.overlaps += holding > 1
        self.held_ms += CHECK_INTERVAL_MS * (holding == 1)
        self.at(CHECK_INTERVAL_MS, self.check)

    def is_held(self):
        return any(daemon.holds() for daemon in self.daemons)

    def freeze(self, number, span_ms):
        daemon = self.daemons[number]
        if not daemon.is_frozen:
            daemon.is_frozen = True
            self.at(span_ms, daemon.resume)

    def start_store_outage(self, span_ms):
        self.store.is_out = True
        self.at(span_ms, setattr, self.store, 'is_out', False)


faults = st.lists(
    st.tuples(
        st.integers(100, 9000),
        st.sampled_from([0, 1, 2, None]),
        st.integers(100, 15_000),
    ),
    max_size=12,
)


def play(seed, drawn, holder_type=LeaseHolder):
    loop = LeaseLoop(seed, holder_type)
    for wait_ms, number, span_ms in drawn:
        loop.run(wait_ms)
        if number is None:
            loop.start_store_outage(span_ms)
        else:
            loop.freeze(number, span_ms)
    loop.run(30_000)
    return loop


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.integers(0, 10_000), faults)
def test_no_two_daemons_hold_the_lease(seed, drawn):
    loop = play(seed, drawn)
    loop.run_until(loop.is_held, 30_000)
    assert not loop.overlaps


class _TtlCountedFromAnswer(LeaseHolder):
    def _handle_answer(self, now_ms, answer):
        self._sent_ms = now_ms
        return super()._handle_answer(now_ms, answer)


class _HeldLeaseNeverExpires(LeaseHolder):
    def holds(self, now_ms):
        return self._held is not None


@pytest.mark.parametrize('holder_type', [_TtlCountedFromAnswer, _HeldLeaseNeverExpires])
def test_seeded_lease_fault_is_detected(holder_type):
    found = 0
    for seed in range(20):
        spans = random.Random(seed)
        drawn = [
            (spans.uniform(500, 3000), number % 3, spans.uniform(4500, 6500))
            for number in range(20)
        ]
        assert not play(seed, drawn).overlaps
        found += play(seed, drawn, holder_type).overlaps
    assert found


def test_fencing_tokens_rise_with_each_new_holder():
    loop = play(5, [(12_000, number % 3, 9000) for number in range(9)])
    acquired = [
        event.token
        for daemon in loop.daemons
        for event in daemon.events
        if isinstance(event, LeaseAcquired)
    ]
    assert len(set(acquired)) > 3


def test_each_acquisition_is_followed_by_its_loss():
    loop = play(6, [(12_000, number % 3, 9000) for number in range(9)])
    for daemon in loop.daemons:
        for acquired, lost in itertools.pairwise(daemon.events):
            assert isinstance(acquired, LeaseAcquired) != isinstance(
                lost, LeaseAcquired
            )
        pairs = zip(daemon.events[::2], daemon.events[1::2], strict=False)
        assert all(acquired.token == lost.token for acquired, lost in pairs)


def test_lease_is_held_nearly_all_the_time_without_faults():
    loop = LeaseLoop(3)
    loop.run(120_000)
    assert loop.held_ms >= 0.95 * 120_000


@pytest.mark.parametrize('is_out', [False, True])
def test_store_calls_per_daemon_are_bounded(is_out):
    loop = LeaseLoop(3)
    loop.run(10_000)
    loop.store.calls = 0
    loop.store.is_out = is_out
    loop.run(60_000)
    calls_per_daemon = loop.store.calls / len(loop.daemons)
    assert calls_per_daemon <= 60_000 / TTL_MS * 4


def holder_with(token=3):
    holder = LeaseHolder(LeaseSettings('l', 'me', TTL_MS), seed=1)
    call = holder.step(LeaseWanted(0, wanted=True))[0]
    granted = LeaseResult('l', 'me', token, TTL_MS, 0)
    holder.step(LeaseAnswered(10, call.call_id, granted))
    return holder


def test_answer_after_ttl_grants_nothing():
    holder = LeaseHolder(LeaseSettings('l', 'me', TTL_MS), seed=1)
    call = holder.step(LeaseWanted(0, wanted=True))[0]
    granted = LeaseResult('l', 'me', 3, TTL_MS, 0)
    events = holder.step(LeaseAnswered(TTL_MS, call.call_id, granted))
    assert not any(isinstance(event, LeaseAcquired) for event in events)
    assert not holder.holds(TTL_MS)


def test_lost_renewal_is_retried_with_the_token():
    holder = holder_with(token=3)
    renewal = holder.step(LeaseTicked(2000))[0]
    assert renewal.call.token == 3
    holder.step(LeaseUnanswered(3000, renewal.call_id))
    again = [
        command
        for now_ms in range(3000, 4000, 100)
        for command in holder.step(LeaseTicked(now_ms))
    ]
    assert again[0].call.token == 3
    assert holder.holds(4000)


def test_unwanted_lease_is_lost_before_it_is_released():
    holder = holder_with(token=3)
    lost, release = holder.step(LeaseWanted(100, wanted=False))
    assert lost == LeaseLost('l', 3)
    assert release.call.release
    assert release.call.token == 3
    assert not holder.holds(100)
    assert not holder.step(LeaseTicked(9000))


def test_answer_naming_another_holder_ends_the_lease():
    holder = holder_with(token=3)
    renewal = holder.step(LeaseTicked(2000))[0]
    other = LeaseResult('l', 'other', 4, 9000, 2000)
    assert holder.step(LeaseAnswered(2010, renewal.call_id, other)) == [
        LeaseLost('l', 3)
    ]
