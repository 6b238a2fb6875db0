"""Subject: claim of a non-idempotent request sent to several entry VMs."""

from dataclasses import dataclass, field
from functools import partial

from cowsliploom.coordination.tests.claims_simulation import ClaimsSimulation, FakeStore
from cowsliploom.coordination.tests.claims_simulation import Fault as StoreFault
from tests.matrix.table import (
    Case,
    Fault,
    Finding,
    Subject,
    collect_findings,
    inject_faults,
)

SLOW_MS = 1200  # two such answers exceed the request's deadline
STEPS = ('ask', 'read', 'swap', 'record', 'retry', 'reread')


@dataclass
class ClaimWorld:
    """A request and its retries, served by daemons 0 to 2."""

    world: ClaimsSimulation
    store_faults: list[StoreFault] = field(default_factory=list)

    def act(self, step: str) -> None:
        if step == 'ask':
            self.world.request_claim(0)
        elif step == 'retry':
            self.world.request_claim(1)
        elif self.world.calls:
            fault = self.store_faults.pop(0) if self.store_faults else StoreFault.NONE
            self.world.answer(0, fault)
        self.world.advance(20)

    def end(self) -> None:
        self.world.is_store_out = False
        self.world.settle(4)
        for daemon in range(self.world.daemons):
            self.world.resume(daemon)
        self.world.apply_late_swaps()
        self.world.settle()
        self.world.request_claim(2)
        self.world.settle()


def fail_call(fault: StoreFault, world: ClaimWorld, _position: int) -> None:
    world.store_faults.append(fault)


def store_down(world: ClaimWorld, _position: int) -> None:
    world.world.is_store_out = True


def store_back(world: ClaimWorld, _position: int) -> None:
    world.world.is_store_out = False


def store_slow(world: ClaimWorld, _position: int) -> None:
    world.world.advance(SLOW_MS)


def pause(world: ClaimWorld, position: int) -> None:
    world.world.paused.add(position)


def pause_past_deadline(world: ClaimWorld, position: int) -> None:
    world.world.paused.add(position)
    world.world.advance(SLOW_MS * 2)
    world.world.resume(position)


def kill(world: ClaimWorld, position: int) -> None:
    world.world.dead.add(position)


def kill_at_send(world: ClaimWorld, position: int) -> None:
    world.world.crash_before_send.add(position)


def kill_after_send(world: ClaimWorld, position: int) -> None:
    world.world.crash_after_send.add(position)


def race(world: ClaimWorld, position: int) -> None:
    world.world.request_claim(1 + position)


def run_claim(case: Case, fenced: bool = True) -> tuple[Finding, ...]:
    scenario = ClaimWorld(ClaimsSimulation(3, FakeStore(fenced)))
    for step in STEPS:
        inject_faults(scenario, case, step)
        scenario.act(step)
    scenario.end()
    world = scenario.world
    undecided = [
        ticket
        for ticket, (daemon, _) in world.requested.items()
        if ticket not in world.decisions and daemon not in world.dead
    ]
    return collect_findings(
        (
            ('runs at most once', world.keys_run_twice()),
            ('refused as not run did not run', world.false_refusals()),
            ('each request is decided', undecided),
        )
    )


CLAIM = Subject(
    'claim',
    STEPS,
    (
        *(
            Fault(f'store-{fault}', partial(fail_call, fault))
            for fault in StoreFault
            if fault is not StoreFault.NONE
        ),
        Fault('store-down', store_down),
        Fault('store-back', store_back),
        Fault('store-slow', store_slow),
        Fault('freeze', pause),
        Fault('freeze-past-deadline', pause_past_deadline),
        Fault('kill', kill),
        Fault('kill-at-send', kill_at_send),
        Fault('kill-after-send', kill_after_send),
        Fault('race', race),
    ),
    run_claim,
    pairs_max=1500,
    repeats_max=400,
    excluded={
        (name, step): 'the request was sent, or refused, before this step'
        for name in ('kill-at-send', 'kill-after-send')
        for step in ('record', 'reread')
    }
    | {('store-back', 'ask'): 'the store is not down yet'},
)
