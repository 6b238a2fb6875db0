"""Comparison of the adaptive and naive policies under faults, on real processes."""

import tempfile
import uuid
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click
import msgspec

from benchmarks._deployment import Deployment
from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen import (
    ArrivalPlan,
    Comparison,
    MixPart,
    RequestKind,
    compare,
    render_ratios,
)
from tests.processes.shape import Document, Shape

TIMEOUT_MS = 1000
WORKERS = 64
STRAGGLER_FACTOR = 20  # latency of a straggler, as a multiple of the median
ID_DIGITS = 8
MS_PER_S = 1000

MIX = (
    MixPart(RequestKind.SEARCH, 'cellar-briefing', 9),
    MixPart(RequestKind.BOOKING, 'rota', 1),
)


@dataclass(frozen=True)
class Scenario:
    """Describe a fault and how it is injected."""

    name: str
    faults: Document = field(default_factory=dict)
    kills_replica: bool = False
    makes_server_cold: bool = False


@dataclass(frozen=True)
class OverrunCount:
    """Hold the overruns of the cold server during one policy's load slices."""

    policy: str
    overruns: int


@dataclass(frozen=True)
class ScenarioResult:
    """Hold the results of both policies under one fault."""

    scenario: str
    comparison: Comparison
    overruns: tuple[OverrunCount, ...]


class ColdServerFault:
    """Make a server cold before each load slice, and count its overruns by policy.

    Parameters
    ----------
    world : Deployment
        Deployment that runs the server.
    """

    def __init__(self, world: Deployment) -> None:
        self.world = world
        self.policy = ''
        self._counted = world.count_overruns()
        self._counts: Counter[str] = Counter()

    def start_turn(self, policy: str) -> None:
        """Record the overruns of the previous slice, and make the server cold."""
        self.finish()
        self.policy = policy
        self.world.make_server_cold()

    def finish(self) -> tuple[OverrunCount, ...]:
        """Record the overruns of the last slice, and return all counts."""
        overruns = self.world.count_overruns()
        if self.policy:
            self._counts[self.policy] += overruns - self._counted
        self._counted = overruns
        return tuple(OverrunCount(*each) for each in sorted(self._counts.items()))


def _stragglers(share: float) -> Document:
    return {'slow': [{'share': share, 'factor': STRAGGLER_FACTOR}]}


SCENARIOS = (
    Scenario('no fault'),
    Scenario('1% stragglers', _stragglers(0.01)),
    Scenario('5% stragglers', _stragglers(0.05)),
    Scenario('one server turns cold', makes_server_cold=True),
    Scenario('one replica lost', kills_replica=True),
)


def run_scenario(
    world: Deployment, scenario: Scenario, plan: ArrivalPlan, slices: int
) -> ScenarioResult:
    """Inject a fault and load both policies in alternating slices."""
    world.set_faults(scenario.faults)
    targets = world.targets(TIMEOUT_MS)
    if scenario.makes_server_cold:
        cold_fault = ColdServerFault(world)
        comparison = compare(
            targets,
            plan,
            slices,
            SystemClock(),
            WORKERS,
            before_slice=cold_fault.start_turn,
        )
        return ScenarioResult(scenario.name, comparison, cold_fault.finish())
    if scenario.kills_replica:
        world.kill_replica()
        targets = world.targets(TIMEOUT_MS)
    comparison = compare(targets, plan, slices, SystemClock(), WORKERS)
    return ScenarioResult(scenario.name, comparison, ())


def render_result(outcome: ScenarioResult) -> str:
    """Return the result table of one fault."""
    lines = [f'== {outcome.scenario}', render_ratios(outcome.comparison)]
    lines += [
        f'{count.policy}: {count.overruns} overruns of the cold server'
        for count in outcome.overruns
    ]
    return '\n'.join(lines)


def make_plan(rate_per_s: float, duration_s: float, seed: int) -> ArrivalPlan:
    """Return the arrivals of a scenario, with request ids unique to it."""
    prefix = uuid.uuid4().hex[:ID_DIGITS]
    duration_ms = duration_s * MS_PER_S
    return ArrivalPlan(rate_per_s, duration_ms, MIX, 1, seed, prefix)


@click.command()
@click.option('--rate-per-s', default=10, type=float, show_default=True)
@click.option('--duration-s', default=20, type=float, show_default=True)
@click.option('--slices', default=4, show_default=True)
@click.option('--latency-ms', default=5, type=float, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'json_path', type=click.Path(path_type=Path))
def main(
    rate_per_s: float,
    duration_s: float,
    slices: int,
    latency_ms: float,
    seed: int,
    json_path: Path | None,
) -> None:
    """Compare both policies on the Wales deployment under each fault."""
    results = []
    shape = Shape(latency_ms=latency_ms)
    with tempfile.TemporaryDirectory() as folder:
        world = Deployment(folder, shape)
        with world:
            world.apply_shape()
            for scenario in SCENARIOS:
                plan = make_plan(rate_per_s, duration_s, seed)
                outcome = run_scenario(world, scenario, plan, slices)
                results.append(outcome)
                click.echo(f'{render_result(outcome)}\n')
    if json_path:
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


if __name__ == '__main__':
    main()
