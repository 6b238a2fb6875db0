"""Goodput of both policies below and above the capacity of the backend servers."""

import math
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import click
import msgspec

from benchmarks._deployment import Deployment
from benchmarks.policies import make_plan
from cowsliploom.adapters import SystemClock
from cowsliploom.loadgen import LoadResult, MixPart, RequestKind, Target, measure
from tests.processes.shape import Document, Shape

SERVICES = 5  # few, so that slots are the limit and not the processor
LATENCY_MS = 80
LATENCY_SIGMA = 0.3  # of the log-normal latency of the stand-ins
SLOTS_PER_SERVICE = 4  # two backend servers of two slots
TIMEOUT_MS = 600
WORKERS = 256
LOAD_FACTORS = (0.5, 1.0, 1.5, 2.0)
MS_PER_S = 1000
URGENT = 'cellar-briefing'
ORDINARY = 'history'
MIX = (MixPart(RequestKind.SEARCH, URGENT, 1), MixPart(RequestKind.SEARCH, ORDINARY, 2))


@dataclass(frozen=True)
class OverloadResult:
    """Hold the results of one policy at one load.

    Parameters
    ----------
    load_factor : float
        Arrival rate as a multiple of the capacity.
    policy : str
        Policy of the entry VMs.
    goodput_per_s : float
        Answers with full coverage in time, per second.
    load : LoadResult
        Complete result of the load run.
    """

    load_factor: float
    policy: str
    goodput_per_s: float
    load: LoadResult


def capacity_per_s() -> float:
    """Return the query rate that keeps every slot busy."""
    mean_ms = LATENCY_MS * math.exp(LATENCY_SIGMA**2 / 2)
    return SLOTS_PER_SERVICE * MS_PER_S / mean_ms


def goodput_per_s(load: LoadResult) -> float:
    """Return the rate of answers with full coverage."""
    full_answers = sum(work.coverage.full for work in load.works)
    return full_answers * MS_PER_S / load.duration_ms


def render(results: Sequence[OverloadResult]) -> str:
    """Return the lines of each load and policy, one per search below it."""
    return '\n'.join(line for each in results for line in _render_lines(each))


def _render_lines(outcome: OverloadResult) -> Iterator[str]:
    yield (
        f'{outcome.load_factor:.1f}x {outcome.policy:8} '
        f'goodput {outcome.goodput_per_s:.1f}/s of '
        f'{outcome.load.rate_per_s:.1f}/s sent, start lag p99 '
        f'{outcome.load.start_lag_p99_ms:.1f} ms'
    )
    for work in outcome.load.works:
        refused = sum(each.count for each in work.refusals)
        not_run = sum(each.count for each in work.refusals if each.ran == 'no')
        yield (
            f'    {work.name:16} sent {work.sent}, full {work.coverage.full}, '
            f'partial {work.coverage.partial}, p50 {work.latency.p50_ms:.0f} ms, '
            f'p99 {work.latency.p99_ms:.0f} ms, refused {refused} '
            f'({not_run} not run) within {work.refusal_p99_ms:.0f} ms at p99'
        )


def _ordinary_search(documents: list[Document]) -> Document:
    urgent = next(each for each in documents if each['name'] == URGENT)
    return {
        'kind': 'search',
        'name': ORDINARY,
        'spec': {**urgent['spec'], 'urgency': 2},
    }


def _run_policy(
    target: Target, load_factor: float, duration_s: float, seed: int
) -> OverloadResult:
    plan = make_plan(load_factor * capacity_per_s(), duration_s, seed)
    plan = replace(plan, mix=MIX, entries=len(target.callers.entries))
    callers = replace(target.callers, connections=WORKERS)
    load = measure(replace(target, callers=callers), plan, SystemClock(), WORKERS)
    return OverloadResult(load_factor, target.label, goodput_per_s(load), load)


@click.command()
@click.option('--duration-s', default=10, type=float, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'json_path', type=click.Path(path_type=Path))
def main(duration_s: float, seed: int, json_path: Path | None) -> None:
    """Load both policies at 0.5 to 2 times the capacity of the servers."""
    shape = Shape(services=SERVICES, latency_ms=LATENCY_MS)
    results = []
    with tempfile.TemporaryDirectory() as folder:
        world = Deployment(folder, shape)
        with world:
            world.apply_shape()
            documents = shape.resources(world.addresses)
            world.apply([_ordinary_search(documents)], 'ordinary')
            for load_factor in LOAD_FACTORS:
                for target in world.targets(TIMEOUT_MS):
                    outcome = _run_policy(target, load_factor, duration_s, seed)
                    results.append(outcome)
                    click.echo(render([outcome]))
    if json_path:
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


if __name__ == '__main__':
    main()
