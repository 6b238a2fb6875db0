"""Events of resources, derived from one configuration after another."""

from dataclasses import dataclass, replace
from enum import StrEnum

from cowsliploom.resources._encoding import resource_key
from cowsliploom.resources._types import Configuration, Kind, Resource

BATCHES_MAX = 2000  # about ten hours of the plan's 4,900 changes a day


class Action(StrEnum):
    """Name what happened to a resource."""

    PUT = 'put'
    DELETE = 'delete'


@dataclass(frozen=True, slots=True)
class ResourceEvent:
    """Tell that a resource was put or deleted.

    Parameters
    ----------
    action : Action
        What happened.
    resource : Resource
        The resource as it stands, or as it stood before it was deleted.
    """

    action: Action
    resource: Resource


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Hold all events between two revisions that were seen one after the other.

    Parameters
    ----------
    after_revision : int
        Revision before the events.
    revision : int
        Revision once all of them have been taken in.
    events : tuple of ResourceEvent
        Events, ordered by kind and name.
    """

    after_revision: int
    revision: int
    events: tuple[ResourceEvent, ...]


@dataclass(frozen=True, slots=True)
class EventLog:
    """Hold recent batches without a gap.

    Parameters
    ----------
    floor_revision : int
        Lowest revision after which a watch can go on.
    batches : tuple of EventBatch
        Batches, oldest first.
    """

    floor_revision: int = 0
    batches: tuple[EventBatch, ...] = ()

    def append(self, batch: EventBatch) -> 'EventLog':
        """Return the log with one more batch, the oldest dropped when it is full."""
        batches = (*self.batches, batch)
        if len(batches) <= BATCHES_MAX:
            return replace(self, batches=batches)
        return EventLog(batches[0].revision, batches[1:])

    def after(self, revision: int) -> tuple[EventBatch, ...] | None:
        """Return the batches that end above a revision.

        Parameters
        ----------
        revision : int
            Revision that the watcher has taken in whole.

        Returns
        -------
        tuple of EventBatch or None
            Nothing when the log no longer reaches back to the revision.
        """
        if revision < self.floor_revision:
            return None
        return tuple(batch for batch in self.batches if batch.revision > revision)


def derive_batch(before: Configuration, after: Configuration) -> EventBatch:
    """Derive the events between two configurations.

    Parameters
    ----------
    before, after : Configuration
        Configurations seen one after the other.

    Returns
    -------
    EventBatch
        One event for each resource that differs.
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
    """Return the events of a batch that concern a kind, or one resource."""
    return tuple(
        event
        for event in batch.events
        if kind in {None, event.resource.kind} and name in {None, event.resource.name}
    )


def _event_key(event: ResourceEvent) -> tuple[str, str]:
    return resource_key(event.resource)
