"""Configuration changes, their validation and their outcomes."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec

from cowsliploom.resources._encoding import resource_key
from cowsliploom.resources._layout import (
    VALUE_BYTES_MAX,
    ChangeRecord,
    EncodedChunk,
    Head,
    digest_text,
    encode_chunk,
    encode_head,
    next_head,
    segment_of,
    split_segments,
)
from cowsliploom.resources._problems import ResourceProblem
from cowsliploom.resources._reading import ConfigurationView
from cowsliploom.resources._references import check_configuration
from cowsliploom.resources._types import Kind, Resource

ANY_REVISION = 0  # no check of the resource's revision
CHANGE_ID_LENGTH_MAX = 64


@dataclass(frozen=True, slots=True)
class ResourceRef:
    """Reference to a resource with the revision that a change expects.

    Parameters
    ----------
    kind : Kind
        Kind of the resource.
    name : str
        Name of the resource.
    expected_revision : int
        Expected revision of the resource; 0 for any.
    """

    kind: Kind
    name: str
    expected_revision: int = ANY_REVISION


@dataclass(frozen=True, slots=True)
class Change:
    """An atomic change of several resources.

    Parameters
    ----------
    change_id : str
        Idempotency key: repeats with the same id are applied at most once.
    puts : tuple of Resource
        Resources to create or replace; ``revision`` is the expected one, 0 for any.
    deletes : tuple of ResourceRef
        Resources to delete; if one is absent, the outcome is ``Missing``.
    """

    change_id: str
    puts: tuple[Resource, ...] = ()
    deletes: tuple[ResourceRef, ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store, at this configuration revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Raced:
    """A resource is not at the expected revision; nothing was written.

    ``revision`` is the resource's current revision, 0 if it is absent.
    """

    kind: Kind
    name: str
    revision: int


@dataclass(frozen=True, slots=True)
class Missing:
    """A resource to delete doesn't exist; nothing was written."""

    kind: Kind
    name: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change failed validation; nothing was written."""

    problems: tuple[ResourceProblem, ...]


@dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change is not confirmed to be in the store.

    Parameters
    ----------
    step : str
        Step that failed, such as ``'store.swap'``.
    peer : str
        Peer called in that step.
    reason : str
        Observed failure.
    maybe : bool
        True if the change may be or become effective; retry with the same change
        id. False if it neither is nor will be effective.
    """

    step: str
    peer: str
    reason: str
    maybe: bool


Outcome = Accepted | Raced | Missing | Invalid | NotAccepted


@dataclass(frozen=True, slots=True)
class Plan:
    """Writes of a change: first the chunks, then the head."""

    chunks: tuple[EncodedChunk, ...]
    head: Head


def change_digest(change: Change) -> str:
    """Return a digest of a change's content, without its id."""
    return digest_text(msgspec.json.encode(replace(change, change_id='')).decode())


def recorded_outcome(change: Change, head: Head) -> Accepted | Invalid | None:
    """Return the recorded outcome of a repeated change; None if not recorded."""
    record = head.find_change(change.change_id)
    if record is None:
        return None
    if record.digest == change_digest(change):
        return Accepted(record.revision)
    expected = 'a unique id; another change already used this one'
    return _invalid('change', 'change_id', change.change_id, expected)


def plan_change(
    change: Change, view: ConfigurationView
) -> Plan | Accepted | Raced | Missing | Invalid:
    """Validate a change against a view and plan its writes.

    Parameters
    ----------
    change : Change
        Requested change.
    view : ConfigurationView
        Configuration on which the change is based.

    Returns
    -------
    Plan, Accepted, Raced, Missing or Invalid
        ``Accepted`` for a change that is already recorded in the head.
    """
    recorded = recorded_outcome(change, view.stored.head)
    if recorded is not None:
        return recorded
    current = {
        resource_key(resource): resource for resource in view.configuration.resources
    }
    rejection = _check_change(change) or _check_expectations(change, current)
    if rejection is not None:
        return rejection
    revision = view.stored.head.revision + 1
    updated = _merge(change, current, revision)
    problems = check_configuration(updated.values())
    if problems:
        return Invalid(problems)
    return _write_plan(change, view, updated.values())


Resources = dict[tuple[str, str], Resource]


def _references(change: Change) -> tuple[ResourceRef, ...]:
    puts = [ResourceRef(put.kind, put.name, put.revision) for put in change.puts]
    return (*puts, *change.deletes)


def _check_change(change: Change) -> Invalid | None:
    if not 1 <= len(change.change_id) <= CHANGE_ID_LENGTH_MAX:
        expected = f'1 to {CHANGE_ID_LENGTH_MAX} characters'
        return _invalid('change', 'change_id', change.change_id, expected)
    seen: set[tuple[Kind, str]] = set()
    for ref in _references(change):
        if (ref.kind, ref.name) in seen:
            document = f'{ref.kind}/{ref.name}'
            return _invalid(document, 'name', ref.name, 'a resource only once')
        seen.add((ref.kind, ref.name))
    return None


def _invalid(document: str, field: str, got: str, expected: str) -> Invalid:
    return Invalid((ResourceProblem(document, field, got, expected),))


def _check_expectations(change: Change, current: Resources) -> Raced | Missing | None:
    for ref in _references(change):
        found = current.get((ref.kind.value, ref.name))
        revision = 0 if found is None else found.revision
        if ref.expected_revision not in {ANY_REVISION, revision}:
            return Raced(ref.kind, ref.name, revision)
    for deleted in change.deletes:
        if (deleted.kind.value, deleted.name) not in current:
            return Missing(deleted.kind, deleted.name)
    return None


def _merge(change: Change, current: Resources, revision: int) -> Resources:
    """Apply a change; a resource with an unchanged spec keeps its revision."""
    updated = dict(current)
    for ref in change.deletes:
        updated.pop((ref.kind.value, ref.name))
    for put in change.puts:
        key = resource_key(put)
        before = current.get(key)
        if before is None or before.spec != put.spec:
            updated[key] = replace(put, revision=revision)
        else:
            updated[key] = before
    return updated


def _touched_segments(change: Change) -> frozenset[int]:
    puts = [segment_of(put.kind, put.name) for put in change.puts]
    deletes = [segment_of(ref.kind, ref.name) for ref in change.deletes]
    return frozenset((*puts, *deletes))


def _write_plan(
    change: Change, view: ConfigurationView, updated: Iterable[Resource]
) -> Plan | Invalid:
    head = view.stored.head
    revision = head.revision + 1
    touched = _touched_segments(change)
    members = split_segments(updated)
    chunks = tuple(
        encode_chunk(segment, revision, change.change_id, members[segment])
        for segment in sorted(touched & members.keys())
    )
    record = ChangeRecord(change.change_id, revision, change_digest(change))
    emptied = touched - members.keys()
    after = next_head(head, emptied, chunks, record, view.stored.store_ms)
    return _check_sizes(Plan(chunks, after), members)


def _check_sizes(
    plan: Plan, members: dict[int, tuple[Resource, ...]]
) -> Plan | Invalid:
    expected = f'at most {VALUE_BYTES_MAX} bytes together with its segment'
    problems = []
    for chunk in plan.chunks:
        size = len(chunk.text.encode())
        if size > VALUE_BYTES_MAX:
            largest = max(members[chunk.segment], key=_encoded_size)
            document = f'{largest.kind}/{largest.name}'
            problems.append(
                ResourceProblem(document, 'spec', f'{size} bytes', expected)
            )
    if len(encode_head(plan.head)) > VALUE_BYTES_MAX:
        problems.append(
            ResourceProblem('change', 'size', 'a head above the limit', expected)
        )
    return Invalid(tuple(problems)) if problems else plan


def _encoded_size(resource: Resource) -> int:
    return len(msgspec.json.encode(resource))
