"""Cases of the fault matrix: faults at the steps of a subject."""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

SEED = 6


@dataclass(frozen=True, slots=True)
class Fault:
    """Name a fault and say how it strikes the world of a subject.

    ``inject`` takes the world and the place of the fault in its case, so that
    two faults of one case strike two targets.
    """

    name: str
    inject: Callable[[Any, int], None]


@dataclass(frozen=True, slots=True)
class Injection:
    """Place a fault before a step."""

    fault: Fault
    step: str


@dataclass(frozen=True, slots=True)
class Finding:
    """Say how a promise was broken; a case without findings has held."""

    promise: str
    seen: str


Case = tuple[Injection, ...]


@dataclass(frozen=True, slots=True)
class Subject:
    """Play one operation with faults, and judge the promises.

    ``left_out`` maps a fault and a step to the reason why they can't meet.
    ``twice_max`` and ``pairs_max`` bound the cases of two faults; beyond them a
    sample with a fixed seed is played.
    """

    name: str
    steps: tuple[str, ...]
    faults: tuple[Fault, ...]
    play: Callable[[Case], tuple[Finding, ...]]
    pairs_max: int
    twice_max: int
    left_out: dict[tuple[str, str], str] = field(default_factory=dict)

    def singles(self) -> tuple[Case, ...]:
        """Return every fault at every step that it can touch."""
        placed = itertools.product(self.faults, self.steps)
        return tuple(
            (Injection(fault, step),)
            for fault, step in placed
            if (fault.name, step) not in self.left_out
        )

    def twice(self) -> tuple[Case, ...]:
        """Return every fault twice, the second time at the same or a later step."""
        twice = [
            (first, again)
            for first, again in self._ordered()
            if first.fault is again.fault
        ]
        return sample(twice, self.twice_max)

    def pairs(self) -> tuple[Case, ...]:
        """Return pairs of different faults; a seeded sample where they are many."""
        pairs = [
            (first, other)
            for first, other in self._ordered()
            if first.fault is not other.fault
        ]
        return sample(pairs, self.pairs_max)

    def cases(self) -> tuple[Case, ...]:
        """Return the cases of the matrix."""
        return (*self.singles(), *self.twice(), *self.pairs())

    def _ordered(self) -> Iterator[tuple[Injection, Injection]]:
        placed = [single[0] for single in self.singles()]
        for first, other in itertools.product(placed, placed):
            if self.steps.index(first.step) <= self.steps.index(other.step):
                yield first, other


def sample(cases: Sequence[Case], cases_max: int) -> tuple[Case, ...]:
    """Return all cases, or a seeded sample where they are too many to play."""
    if len(cases) <= cases_max:
        return tuple(cases)
    return tuple(random.Random(SEED).sample(cases, cases_max))


def case_id(subject: Subject, case: Case) -> str:
    """Return a readable id of a case."""
    strikes = '+'.join(f'{placed.fault.name}@{placed.step}' for placed in case)
    return f'{subject.name}:{strikes}'


def params_of(*subjects: Subject) -> list[Any]:
    """Return the cases of subjects as parameters of a test."""
    return [
        pytest.param(subject, case, id=case_id(subject, case))
        for subject in subjects
        for case in subject.cases()
    ]


def strike(world: Any, case: Case, step: str) -> None:
    """Inject the faults that a case places before a step."""
    for position, placed in enumerate(case):
        if placed.step == step:
            placed.fault.inject(world, position)


def findings(checks: Sequence[tuple[str, Any]]) -> tuple[Finding, ...]:
    """Return a finding for each promise whose check has seen something."""
    return tuple(Finding(promise, repr(seen)) for promise, seen in checks if seen)
