"""Claims under random faults, compared with a plain set of keys."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.coordination import CLAIM_TTL_MS, Granted, RequestNotRun
from cowsliploom.coordination.tests.claims_simulation import (
    ClaimsSimulation,
    FakeStore,
    Fault,
)

STEPS = 120
KEYS = 3
CRASH_PERMILLE = 5


def request_claim(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    world.request_claim(daemon, key=f'k{rng.randrange(KEYS)}')


def answer(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    if world.calls:
        world.answer(rng.randrange(len(world.calls)))


def fail(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    if world.calls:
        fault = rng.choice(tuple(Fault))
        world.answer(rng.randrange(len(world.calls)), fault)


def switch_store(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    world.is_store_out = rng.randrange(10) == 0


def pause(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    world.paused.add(daemon)


def resume(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    world.resume(daemon)


def apply_late_swaps(world: ClaimsSimulation, rng: random.Random, daemon: int) -> None:
    world.apply_late_swaps()


ACTIONS = (request_claim, request_claim, *(answer for _ in range(6)), fail, fail)
ACTIONS = (*ACTIONS, switch_store, pause, resume, resume, apply_late_swaps)


def play(seed: int, world: ClaimsSimulation) -> ClaimsSimulation:
    """Run random claims, faults, pauses, crashes and outages."""
    rng = random.Random(seed)
    for _ in range(STEPS):
        daemon = rng.randrange(world.daemons)
        rng.choice(ACTIONS)(world, rng, daemon)
        if rng.randrange(1000) < CRASH_PERMILLE:
            world.dead.add(daemon)
        world.advance(rng.choice((0, 1, 10, 100)))
    for daemon in range(world.daemons):
        world.resume(daemon)
    world.is_store_out = False
    world.settle()
    return world


@pytest.mark.parametrize('seed', range(200))
def test_random_faults_never_run_a_request_twice(seed):
    world = play(seed, ClaimsSimulation(daemons=3))
    assert not world.keys_run_twice()
    assert not world.false_refusals()


def test_random_faults_still_allow_grants():
    grants = sum(
        len(play(seed, ClaimsSimulation(daemons=3)).runs) for seed in range(50)
    )
    assert grants > 50


@settings(derandomize=True, deadline=None, max_examples=60)
@given(seed=st.integers(0, 10**9))
def test_grants_match_a_plain_set_of_keys(seed):
    world = ClaimsSimulation(daemons=3, finishes=False)
    rng = random.Random(seed)
    taken: set[str] = set()
    for _ in range(40):
        daemon, key = rng.randrange(3), f'k{rng.randrange(6)}'
        ticket = world.request_claim(daemon, key=key)
        world.settle(rounds=2)
        decision = world.decisions[ticket]
        assert isinstance(decision, Granted) == (key not in taken)
        taken.add(key)
        if isinstance(decision, Granted) and rng.randrange(10) < 3:
            world.step(daemon, RequestNotRun(world.now_ms, decision))
            world.settle(rounds=2)
            taken.discard(key)


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('_claims_pending.may_claim', lambda record, request: True),
        ('_claims_segment.CLAIM_TTL_MS', 1),
    ],
)
def test_seeded_claim_faults_are_detected(name, broken, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.coordination.{name}', broken)
    worlds = [play(seed, ClaimsSimulation(daemons=3)) for seed in range(40)]
    assert any(world.keys_run_twice() for world in worlds)


def test_store_without_version_check_is_detected():
    stores = (FakeStore(fenced=False) for _ in range(40))
    worlds = [
        play(seed, ClaimsSimulation(daemons=3, store=store))
        for seed, store in enumerate(stores)
    ]
    assert any(world.keys_run_twice() for world in worlds)


def test_random_runs_end_before_claims_expire():
    world = play(7, ClaimsSimulation(daemons=3))
    assert world.now_ms < CLAIM_TTL_MS
