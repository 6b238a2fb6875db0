"""Cases of the fault matrix: faults injected at the steps of a subject."""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

SEED = 6


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and the function that injects it into the world of a subject.

    ``inject`` takes the world and the position of the fault in its case, so that
    two faults of one case hit two targets.
    """

    name: str
    inject: Callable[[Any, int], None]


@dataclass(frozen=True, slots=True)
class Injection:
    """A fault injected before a step."""

    fault: Fault
    step: str


@dataclass(frozen=True, slots=True)
class Finding:
    """A violated invariant and what was observed; a passing case has no findings."""

    invariant: str
    observed: str


Case = tuple[Injection, ...]


@dataclass(frozen=True, slots=True)
class Subject:
    """Run one operation with faults, and check its invariants.

    ``excluded`` maps a fault and a step to the reason why they can't occur together.
    ``repeats_max`` and ``pairs_max`` bound the cases of two faults; above them a
    sample with a fixed seed is run.
    """

    name: str
    steps: tuple[str, ...]
    faults: tuple[Fault, ...]
    run: Callable[[Case], tuple[Finding, ...]]
    pairs_max: int
    repeats_max: int
    excluded: dict[tuple[str, str], str] = field(default_factory=dict)

    def singles(self) -> tuple[Case, ...]:
        """Return every fault at every step that it can affect."""
        placements = itertools.product(self.faults, self.steps)
        return tuple(
            (Injection(fault, step),)
            for fault, step in placements
            if (fault.name, step) not in self.excluded
        )

    def repeats(self) -> tuple[Case, ...]:
        """Return every fault twice, the second time at the same or a later step."""
        repeats = [
            (first, second)
            for first, second in self._ordered_pairs()
            if first.fault is second.fault
        ]
        return sample(repeats, self.repeats_max)

    def pairs(self) -> tuple[Case, ...]:
        """Return pairs of different faults, or a seeded sample of them."""
        pairs = [
            (first, other)
            for first, other in self._ordered_pairs()
            if first.fault is not other.fault
        ]
        return sample(pairs, self.pairs_max)

    def cases(self) -> tuple[Case, ...]:
        """Return the cases of the matrix."""
        return (*self.singles(), *self.repeats(), *self.pairs())

    def _ordered_pairs(self) -> Iterator[tuple[Injection, Injection]]:
        injections = [single[0] for single in self.singles()]
        for first, other in itertools.product(injections, injections):
            if self.steps.index(first.step) <= self.steps.index(other.step):
                yield first, other


def sample(cases: Sequence[Case], cases_max: int) -> tuple[Case, ...]:
    """Return all cases, or a seeded sample if there are more than ``cases_max``."""
    if len(cases) <= cases_max:
        return tuple(cases)
    return tuple(random.Random(SEED).sample(cases, cases_max))


def case_id(subject: Subject, case: Case) -> str:
    """Return a readable id of a case."""
    placements = '+'.join(
        f'{injection.fault.name}@{injection.step}' for injection in case
    )
    return f'{subject.name}:{placements}'


def case_params(*subjects: Subject) -> list[Any]:
    """Return the cases of subjects as pytest parameters."""
    return [
        pytest.param(subject, case, id=case_id(subject, case))
        for subject in subjects
        for case in subject.cases()
    ]


def inject_faults(world: Any, case: Case, step: str) -> None:
    """Inject the faults that a case has before a step."""
    for position, injection in enumerate(case):
        if injection.step == step:
            injection.fault.inject(world, position)


def collect_findings(checks: Sequence[tuple[str, Any]]) -> tuple[Finding, ...]:
    """Return a finding for each invariant whose check observed a violation."""
    return tuple(
        Finding(invariant, repr(observed)) for invariant, observed in checks if observed
    )
