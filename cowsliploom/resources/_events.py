"""Resource events, derived from consecutive configurations."""

from dataclasses import dataclass, replace
from enum import StrEnum

from cowsliploom.resources._encoding import resource_key
from cowsliploom.resources._types import Configuration, Kind, Resource

BATCHES_MAX = 2000  # about ten hours at the planned 4,900 changes a day


class Action(StrEnum):
    """Enumerate the types of resource events."""

    PUT = 'put'
    DELETE = 'delete'


@dataclass(frozen=True, slots=True)
class ResourceEvent:
    """A resource was put or deleted.

    Parameters
    ----------
    action : Action
        Type of the event.
    resource : Resource
        The resource after a put, or before a delete.
    """

    action: Action
    resource: Resource


@dataclass(frozen=True, slots=True)
class EventBatch:
    """All events between two consecutively observed revisions.

    Parameters
    ----------
    after_revision : int
        Revision before the events.
    revision : int
        Revision after all events.
    events : tuple of ResourceEvent
        Events, ordered by kind and name.
    """

    after_revision: int
    revision: int
    events: tuple[ResourceEvent, ...]


@dataclass(frozen=True, slots=True)
class EventLog:
    """Recent batches without a gap.

    Parameters
    ----------
    floor_revision : int
        Lowest revision from which a watch can resume.
    batches : tuple of EventBatch
        Batches, oldest first.
    """

    floor_revision: int = 0
    batches: tuple[EventBatch, ...] = ()

    def append(self, batch: EventBatch) -> 'EventLog':
        """Return the log with a batch appended; a full log drops its oldest batch."""
        batches = (*self.batches, batch)
        if len(batches) <= BATCHES_MAX:
            return replace(self, batches=batches)
        return EventLog(batches[0].revision, batches[1:])

    def after(self, revision: int) -> tuple[EventBatch, ...] | None:
        """Return the batches after a revision.

        Parameters
        ----------
        revision : int
            Revision that the watcher has processed completely.

        Returns
        -------
        tuple of EventBatch or None
            None if the log no longer reaches back to the revision.
        """
        if revision < self.floor_revision:
            return None
        return tuple(batch for batch in self.batches if batch.revision > revision)


def derive_batch(before: Configuration, after: Configuration) -> EventBatch:
    """Derive the events between two configurations.

    Parameters
    ----------
    before, after : Configuration
        Consecutively observed configurations.

    Returns
    -------
    EventBatch
        One event for each resource that differs, ordered by kind and name.
    """
    old = {resource_key(resource): resource for resource in before.resources}
    new = {resource_key(resource): resource for resource in after.resources}
    put = [
        ResourceEvent(Action.PUT, resource)
        for key, resource in new.items()
        if old.get(key) != resource
    ]
    deleted = [
        ResourceEvent(Action.DELETE, resource)
        for key, resource in old.items()
        if key not in new
    ]
    events = tuple(sorted(put + deleted, key=_event_key))
    return EventBatch(before.revision, after.revision, events)


def select_events(
    batch: EventBatch, kind: Kind | None, name: str | None
) -> tuple[ResourceEvent, ...]:
    """Return the events of a batch, filtered by kind and name; None matches any."""
    return tuple(
        event
        for event in batch.events
        if kind in {None, event.resource.kind} and name in {None, event.resource.name}
    )


def _event_key(event: ResourceEvent) -> tuple[str, str]:
    return resource_key(event.resource)
