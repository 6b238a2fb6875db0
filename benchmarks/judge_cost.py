"""Processor time, evidence size and memory of judging a version move.

Run with ``python -m benchmarks.judge_cost``; prints JSON and a short table.
"""

import json
import random
import time
import tracemalloc
from dataclasses import asdict, dataclass

import click

from cowsliploom.rollout import (
    AnnounceFact,
    EvidenceReceived,
    Judge,
    JudgeTick,
    Move,
    MovesDeclared,
    RecordSample,
    decode_evidence,
)

ROUTES = 4
SERVERS = 5
US_PER_S = 1_000_000
SAMPLE_MS = 1  # interval between two calls
TICK_SAMPLES = 250  # calls between two ticks, 250 ms
MOVE = Move('move', 'rota', 'v1', 'v2', 1, 60_000, new_servers=SERVERS)


@dataclass(frozen=True)
class JudgeCost:
    """Hold the costs at one fleet size."""

    daemons: int
    sample_us: float
    tick_us: float
    evidence_us: float
    evidence_bytes: float
    judge_bytes: int


def make_samples(count: int) -> list[RecordSample]:
    """Return call records of both versions on several routes and servers."""
    rng = random.Random(1)
    samples = []
    for number in range(count):
        version = rng.choice(('v1', 'v2'))
        sample = RecordSample(
            now_ms=number * SAMPLE_MS,
            service='rota',
            route=f'route-{rng.randrange(ROUTES)}',
            version=version,
            server=f'server-{version}-{rng.randrange(SERVERS)}',
            elapsed_ms=rng.lognormvariate(1, 1 / 2),
            ok=rng.randrange(100) > 0,
            cold=False,
        )
        samples.append(sample)
    return samples


def measure(daemons: int, samples: list[RecordSample]) -> JudgeCost:
    """Measure judging the samples in a fleet, and receiving the resulting evidence."""
    judge = Judge('entry-0', 'a')
    judge.step(MovesDeclared(0, (MOVE,), daemons))
    sample_s: float = 0
    tick_s: float = 0
    blobs: list[bytes] = []
    for first in range(0, len(samples), TICK_SAMPLES):
        started_s = time.process_time()
        for sample in samples[first : first + TICK_SAMPLES]:
            judge.step(sample)
        sampled_s = time.process_time()
        commands = judge.step(JudgeTick(first * SAMPLE_MS, wall_ms=first))
        tick_s += time.process_time() - sampled_s
        sample_s += sampled_s - started_s
        blobs.extend(
            command.blob for command in commands if isinstance(command, AnnounceFact)
        )
    ticks = len(samples) / TICK_SAMPLES
    return JudgeCost(
        daemons=daemons,
        sample_us=sample_s / len(samples) * US_PER_S,
        tick_us=tick_s / ticks * US_PER_S,
        evidence_us=_measure_evidence_us(blobs, daemons),
        evidence_bytes=sum(len(blob) for blob in blobs) / max(1, len(blobs)),
        judge_bytes=_measure_judge_bytes(samples),
    )


def _measure_evidence_us(blobs: list[bytes], daemons: int) -> float:
    if not blobs:
        return 0
    judge = Judge('entry-x', 'a')
    judge.step(MovesDeclared(0, (MOVE,), daemons))
    started_s = time.process_time()
    for blob in blobs:
        judge.step(EvidenceReceived(0, decode_evidence(blob)))
    return (time.process_time() - started_s) / len(blobs) * US_PER_S


def _measure_judge_bytes(samples: list[RecordSample]) -> int:
    tracemalloc.start()
    judge = Judge('entry-0', 'a')
    judge.step(MovesDeclared(0, (MOVE,), 1))
    for sample in samples[: 4 * TICK_SAMPLES]:
        judge.step(sample)
    judge.step(JudgeTick(0, wall_ms=0))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes


@click.command()
@click.option('--count', default=50_000, help='Number of calls to judge.')
def main(count: int) -> None:
    """Measure the costs at several fleet sizes and print them."""
    samples = make_samples(count)
    costs = [measure(daemons, samples) for daemons in (8, 64, 2600)]
    print(json.dumps([asdict(row) for row in costs], indent=1))
    print('daemons  us/sample  us/tick  us/evidence  bytes/evidence  bytes/judge')
    for row in costs:
        print(
            f'{row.daemons:7} {row.sample_us:10.2f} {row.tick_us:8.1f} '
            f'{row.evidence_us:12.1f} {row.evidence_bytes:15.0f} {row.judge_bytes:12}'
        )


if __name__ == '__main__':
    main()
