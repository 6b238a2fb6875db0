"""Version moves over seeded cases: detection, exposure, false vetoes, duration.

Run with ``python -m benchmarks.version_moves``; prints JSON and a short table.
Daemons, servers and the store are simulated; judge and controller are the
production classes.
"""

import json
import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from statistics import median

import click

from cowsliploom.rollout.tests.move_simulation import (
    Behaviour,
    MoveSimulation,
    Outcome,
    fails,
    fails_fast,
    later,
    on_route,
    on_server,
    slows,
    under_load,
)

FINISH_BY_MS = 60_000
RUN_MS = 90_000
BAD: Mapping[str, Behaviour] = {
    'fails always': fails(1),
    'fails fast': fails_fast,
    'fails 30%': fails(0.3),
    'fails 10%': fails(0.1),
    'slow 3x': slows(3),
    'slow 2x': slows(2),
    'later, fails 30%': later(20_000, fails(0.3)),
    'later, slow 3x': later(20_000, slows(3)),
    'under load, fails 30%': under_load(0.35, fails(0.3)),
    'under load, slow 3x': under_load(0.35, slows(3)),
    'one route, fails 30%': on_route('briefing', fails(0.3)),
    'one route, slow 3x': on_route('briefing', slows(3)),
    'after the move, fails 30%': later(55_000, fails(0.3)),
    'after the move, slow 3x': later(55_000, slows(3)),
}
ONE_SERVER: Mapping[str, Behaviour] = {
    'one server fails 50%': on_server('v2-0', fails(0.5)),
    'one server slow 4x': on_server('v2-0', slows(4)),
}


@dataclass(frozen=True)
class GoodResult:
    """Summarise the moves of good versions."""

    moves: int
    false_vetoes: int
    in_time: int


@dataclass(frozen=True)
class BadResult:
    """Summarise the moves of versions with one kind of fault; times in ms.

    ``to_veto`` is the time from the first bad call to the veto; ``to_stop`` from the
    veto until the last daemon stops using the version. Shares are between 0 and 1.
    """

    case: str
    moves: int
    taken_back: int
    to_veto_median_ms: float
    to_veto_max_ms: float
    to_stop_max_ms: float
    share_at_veto_max: float
    bad_calls_share_median: float
    bad_calls_share_max: float


def make_good_world(seed: int) -> MoveSimulation:
    """Return a world with a good version, and random traffic, fleet and servers."""
    rng = random.Random(seed)
    outcome = Outcome(error_rate=rng.choice((0, 0.002, 0.01, 0.03)))
    return MoveSimulation(
        seed=seed,
        daemons=rng.randint(2, 8),
        calls_per_s=math.exp(rng.uniform(math.log(2), math.log(200))),
        servers=rng.randint(1, 3),
        finish_by_ms=FINISH_BY_MS,
        new=lambda call: outcome,
        old=lambda call: outcome,
        cold_ms=rng.choice((0, 5000, 20_000)),
    )


def run_good_moves(moves: int) -> GoodResult:
    """Run moves of good versions."""
    worlds = [make_good_world(seed).run(RUN_MS) for seed in _seeds(moves)]
    return GoodResult(
        moves=moves,
        false_vetoes=sum(world.vetoed_ms < math.inf for world in worlds),
        in_time=sum(world.finished_ms <= FINISH_BY_MS for world in worlds),
    )


def run_bad_moves(case: str, bad: Behaviour, moves: int) -> BadResult:
    """Run moves of versions with one fault; 200 calls per second, 8 daemons."""
    worlds = [
        MoveSimulation(seed=seed, daemons=8, new=bad).run(RUN_MS)
        for seed in _seeds(moves)
    ]
    vetoed = [world for world in worlds if world.vetoed_ms < math.inf]
    to_veto_ms = [world.vetoed_ms - world.bad_ms for world in vetoed]
    bad_shares = [world.bad_calls / world.calls for world in worlds]
    return BadResult(
        case=case,
        moves=moves,
        taken_back=len(vetoed),
        to_veto_median_ms=median(to_veto_ms) if vetoed else 0,
        to_veto_max_ms=max(to_veto_ms, default=0),
        to_stop_max_ms=max(
            (world.stopped_ms - world.vetoed_ms for world in vetoed), default=0
        ),
        share_at_veto_max=max((world.vetoed_share for world in vetoed), default=0),
        bad_calls_share_median=median(bad_shares),
        bad_calls_share_max=max(bad_shares),
    )


def print_table(rows: Iterable[BadResult]) -> None:
    """Print a short table of the bad versions' results."""
    print(
        'case                       vetoed   veto s med/max  stop s  share  bad % max'
    )
    for row in rows:
        times = f'{row.to_veto_median_ms / 1000:6.1f} {row.to_veto_max_ms / 1000:6.1f}'
        print(
            f'{row.case:26} {row.taken_back:3}/{row.moves:<3}  {times}  '
            f'{row.to_stop_max_ms / 1000:6.2f}  {row.share_at_veto_max:5.2f}  '
            f'{100 * row.bad_calls_share_max:8.2f}'
        )


@click.command()
@click.option('--good', default=200, help='Number of moves of good versions.')
@click.option('--bad', default=10, help='Number of moves of each bad version.')
def main(good: int, bad: int) -> None:
    """Run all cases and print the results."""
    good_result = run_good_moves(good)
    bad_results = [
        run_bad_moves(case, behaviour, bad) for case, behaviour in BAD.items()
    ]
    one_server = [
        run_bad_moves(case, behaviour, bad) for case, behaviour in ONE_SERVER.items()
    ]
    results = {
        'good': asdict(good_result),
        'bad': [asdict(row) for row in bad_results],
        'one_server': [asdict(row) for row in one_server],
    }
    print(json.dumps(results, indent=1))
    print(good_result)
    print_table([*bad_results, *one_server])


def _seeds(moves: int) -> range:
    return range(1, moves + 1)


if __name__ == '__main__':
    main()
