"""Subjects: ownership change after a crash, and graceful shutdown of an owner."""

from dataclasses import dataclass
from functools import partial

from cowsliploom.coordination import LeaveRequested, Node
from cowsliploom.coordination.tests.fleet_loop import FleetLoop
from cowsliploom.coordination.tests.ownership_checker import OwnershipChecker
from cowsliploom.coordination.tests.test_ownership import (
    SERVERS,
    SETTLE_MS,
    judged,
    play_fault,
    restart,
)
from tests.matrix.table import (
    Case,
    Fault,
    Finding,
    Subject,
    collect_findings,
    inject_faults,
)

PLACES = ('de', 'de', 'de', 'gogledd')
OWNER = 'vm-0'
BEFORE_MS = 400.0
REPLACED_AFTER_MS = 12_000
LOSS = 0.3
LOSS_MS = 5000
TIMES_MS: dict[str, float] = {
    'before': 0,
    'gone': BEFORE_MS + 100,
    'suspected': BEFORE_MS + 1500,
    'holding-off': BEFORE_MS + 4000,
    'taken-over': BEFORE_MS + 9000,
    'replaced': BEFORE_MS + REPLACED_AFTER_MS + 300,
}


@dataclass
class OwnershipWorld:
    """A fleet whose owner stops, and the judge that checks its ownership."""

    loop: FleetLoop
    judge: OwnershipChecker


def inject_peer_fault(
    kind: str, span_ms: float, world: OwnershipWorld, position: int
) -> None:
    play_fault(world.loop, world.judge, (kind, position + 1, span_ms))


def freeze_owner(world: OwnershipWorld, _position: int) -> None:
    play_fault(world.loop, world.judge, ('freeze', 0, LOSS_MS * 2))


def lose_messages(world: OwnershipWorld, _position: int) -> None:
    world.loop.loss = LOSS
    world.loop.at(LOSS_MS, stop_loss, world)


def stop_loss(world: OwnershipWorld) -> None:
    world.loop.loss = 0


def serve_stale_list(world: OwnershipWorld, _position: int) -> None:
    """Give every VM a seed list that still names the stopped owner."""
    seeds = tuple(vm.me for vm in world.loop.vms.values())
    for name, vm in world.loop.vms.items():
        if vm.is_running:
            world.loop.list_seeds(name, seeds)


def run_change(
    case: Case, is_graceful: bool = False, node_type: type[Node] = Node
) -> tuple[Finding, ...]:
    loop, judge = judged(PLACES, servers=SERVERS[:4], node_type=node_type)
    world = OwnershipWorld(loop, judge)
    start_ms = loop.now_ms
    for step, time_ms in TIMES_MS.items():
        loop.at(time_ms, inject_faults, world, case, step)
    loop.at(BEFORE_MS, remove_owner, world, is_graceful)
    loop.run(TIMES_MS['replaced'] + LOSS_MS * 2)
    settle(world)
    return collect_findings(
        (
            ('at most one owner', judge.overlaps),
            (
                'all servers are owned again',
                not judge.all_owned() and loop.now_ms - start_ms,
            ),
        )
    )


def remove_owner(world: OwnershipWorld, is_graceful: bool) -> None:
    if is_graceful:
        world.loop.feed(OWNER, LeaveRequested)
    restart(world.loop, world.judge, OWNER, REPLACED_AFTER_MS)


def settle(world: OwnershipWorld) -> None:
    loop = world.loop
    loop.heal()
    for name in loop.vms:
        loop.resume(name)
    loop.list_all()
    until_ms = loop.now_ms + SETTLE_MS
    while loop.now_ms < until_ms and not world.judge.all_owned():
        loop.run(500)


FAULTS = (
    Fault('freeze-short', partial(inject_peer_fault, 'freeze', 1500)),
    Fault('freeze-long', partial(inject_peer_fault, 'freeze', 15_000)),
    Fault('freeze-owner', freeze_owner),
    Fault('kill', partial(inject_peer_fault, 'restart', 4000)),
    Fault('leave', partial(inject_peer_fault, 'leave', 6000)),
    Fault('cut-link', partial(inject_peer_fault, 'lonely', 8000)),
    Fault('partition', partial(inject_peer_fault, 'partition', 8000)),
    Fault('lost-messages', lose_messages),
    Fault('stale-vm-list', serve_stale_list),
)

OWNERSHIP = Subject(
    'ownership', tuple(TIMES_MS), FAULTS, run_change, pairs_max=25, repeats_max=25
)
SHUTDOWN = Subject(
    'shutdown',
    tuple(TIMES_MS),
    FAULTS,
    partial(run_change, is_graceful=True),
    pairs_max=15,
    repeats_max=15,
)
