"""Status lists the entry VMs behind, for fleets of up to 2,600 daemons."""

import itertools

import msgspec
import pytest

from cowsliploom.daemons._operator_status import (
    BEHIND_LISTED_MAX,
    DaemonRevision,
    DaemonRevisions,
    FleetUnknown,
    MoveUnknown,
    ResourceStatus,
    StatusSnapshot,
    index_fleet,
    resource_status,
    revision_status,
    status_to_report,
)
from cowsliploom.resources import DataCentreSpec, Kind, Resource, VersionMoveSpec


def fleet(*revisions):
    return index_fleet(
        DaemonRevisions(
            tuple(
                DaemonRevision(f'entry-{number}', 'de', revision)
                for number, revision in enumerate(revisions)
            )
        )
    )


@pytest.mark.parametrize(
    ('revisions', 'in_force', 'behind'),
    [
        ((5, 5, 9), True, ()),
        ((5, 4, 9), False, ('de/entry-1',)),
        ((4, 1, 9), False, ('de/entry-1', 'de/entry-0')),
        ((5, 0), False, ('de/entry-1',)),
        ((0, 0), False, ('de/entry-0', 'de/entry-1')),
        ((), None, ()),
    ],
)
def test_daemons_behind_are_listed_furthest_behind_first(revisions, in_force, behind):
    status = revision_status(5, fleet(*revisions))
    assert (status.in_force_everywhere, status.behind) == (in_force, behind)
    assert bool(status.unknown) is (in_force is None)


@pytest.mark.parametrize(
    ('before', 'after', 'is_reported'),
    [
        ((5, 5), (5, 5, 5), False),
        ((5, 5), (5, 5, 0), False),
        ((5, 5), (5, 5, 4), True),
        ((5, 5), (5, 0, 4), True),
        ((5, 4), (5, 5), True),
        ((5, 0), (5, 5), True),
        ((5, 4), (5, 4, 0), True),
    ],
)
def test_starting_entry_vm_is_not_reported_once_revision_was_in_force_everywhere(
    before, after, is_reported
):
    sent = status_to_report(revision_status(5, fleet(*before)), ResourceStatus())
    assert (
        status_to_report(revision_status(5, fleet(*after)), sent) != sent
    ) is is_reported


def test_list_of_daemons_behind_is_truncated_with_full_count():
    status = revision_status(2, fleet(*itertools.repeat(1, 2600)))
    assert (len(status.behind), status.behind_count) == (BEHIND_LISTED_MAX, 2600)


@pytest.mark.parametrize(
    ('moves', 'move', 'unknown'),
    [
        ({}, None, ''),
        ({'m': msgspec.Raw(b'{}')}, msgspec.Raw(b'{}'), ''),
        ({'m': MoveUnknown('store down')}, None, 'move: store down'),
    ],
)
def test_version_move_includes_status_of_its_controller(moves, move, unknown):
    spec = VersionMoveSpec('s', 'v1', 'v2', '2030-01-31T18:00:00Z')
    resource = Resource(Kind.VERSION_MOVE, 'm', spec, 1)
    status = resource_status(resource, StatusSnapshot(fleet(1), moves))
    assert (status.move, status.unknown) == (move, unknown)


def test_status_without_fleet_status_is_unknown():
    resource = Resource(Kind.DATA_CENTRE, 'de', DataCentreSpec(), 1)
    snapshot = StatusSnapshot(FleetUnknown('no entry VM'))
    assert resource_status(resource, snapshot) == ResourceStatus(unknown='no entry VM')
