"""Membership converges, and mirrors agree whatever route the updates take."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.members import (
    Batch,
    LivenessRecord,
    Member,
    MembershipTable,
    MirrorItem,
    Removal,
    StoreMirror,
    WatcherLiveness,
    fan_out_groups,
)
from cowsliploom.members._membership_table import EXPIRY_MS

OWN = Member('own', '10.0.0.1:1', 'de', 5)
NEAR = Member('near', '10.0.0.2:1', 'de', 5)
FAR = Member('far', '10.0.1.1:1', 'gogledd', 5)
KEYS = ('a', 'b', 'c')
CHANGES = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=12
)


def run_store(changes):
    """Return the history of the store and its final content."""
    stored, history = {}, []
    for revision, (key, removes) in enumerate(changes, start=1):
        if removes:
            stored.pop(key, None)
            history.append(Removal(key, revision))
        else:
            stored[key] = MirrorItem(key, f'{revision}'.encode(), revision)
            history.append(stored[key])
    return history, stored


def batch_of(events, revision):
    """Return a batch of the events of a store."""
    return Batch(
        revision,
        tuple(event for event in events if isinstance(event, MirrorItem)),
        tuple(event for event in events if isinstance(event, Removal)),
    )


@given(CHANGES, st.randoms(use_true_random=False))
def test_reordered_and_duplicated_batches_give_the_content_of_the_store(
    changes, generator
):
    history, stored = run_store(changes)
    batches = [batch_of([event], event.revision) for event in history] * 2
    generator.shuffle(batches)
    mirror = StoreMirror()
    for batch in batches:
        mirror.apply(batch)
    assert {item.key: item for item in mirror.items_with_prefix('')} == stored


@given(CHANGES, st.integers(0, 12), st.integers(0, 12))
def test_changes_since_the_revision_of_a_peer_bring_it_up_to_date(
    changes, start, middle
):
    history, stored = run_store(changes)
    known = min(start, len(history))
    source, replica = StoreMirror(), StoreMirror()
    source.apply(batch_of(history, len(history)))
    replica.apply(batch_of(history[:known], known))
    replica.apply(source.changes_since(replica.revision))
    assert {item.key: item for item in replica.items_with_prefix('')} == stored
    assert replica.revision == source.revision


@given(CHANGES, st.integers(0, 12))
def test_full_batch_removes_absent_keys_and_keeps_newer_ones(changes, cut):
    history, stored = run_store(changes)
    seen = min(cut, len(history))
    _, stored_then = run_store(changes[:seen])
    mirror = StoreMirror()
    mirror.apply(batch_of(history, len(history)))
    mirror.apply(Batch(seen, tuple(stored_then.values()), is_whole=True))
    assert {item.key: item for item in mirror.items_with_prefix('')} == stored


def test_batch_after_a_gap_does_not_advance_the_revision():
    """A mirror that advanced past the gap would never fetch the missing changes."""
    source, replica = StoreMirror(), StoreMirror()
    replica.apply(Batch(3, (MirrorItem('a', b'3', 3),)))
    source.apply(Batch(9, (MirrorItem('b', b'5', 5), MirrorItem('c', b'9', 9))))
    assert replica.apply(source.changes_since(7)) == {'c'}
    assert replica.revision == 3
    assert replica.apply(source.changes_since(replica.revision)) == {'b'}
    assert replica.revision == 9


def test_removals_older_than_the_tombstones_give_a_full_batch():
    mirror = StoreMirror()
    for revision in range(1, 3000):
        mirror.apply(Batch(revision, (), (Removal(f'k{revision}', revision),)))
    assert mirror.changes_since(5).is_whole
    assert not mirror.changes_since(2990).is_whole


def test_silent_member_is_first_not_live_and_then_expires():
    table = MembershipTable(OWN, (), 1)
    table.record((LivenessRecord(NEAR, 500),), 1000)
    assert table.live_names(4000) == ('own', 'near')
    assert table.live_names(5000) == ('own',)
    assert table.tracked_peers() == [NEAR]
    assert [record.member for record in table.liveness_records(30_000)] == [OWN]


@pytest.mark.parametrize('incarnation', [4, 6], ids=['lower-clock-set-back', 'higher'])
def test_latest_record_of_a_member_wins_whatever_its_incarnation(incarnation):
    table = MembershipTable(OWN, (), 1)
    table.record((LivenessRecord(NEAR, 0),), 0)
    again = Member('near', '10.0.9.9:1', 'de', incarnation)
    table.record((LivenessRecord(again, 0),), 10)
    table.record((LivenessRecord(NEAR, 15),), 20)
    assert table.tracked_peers() == [again]


def test_expired_liveness_record_adds_no_member():
    table = MembershipTable(OWN, (), 1)
    table.record((LivenessRecord(NEAR, EXPIRY_MS + 1),), 30_000)
    assert table.tracked_peers() == []


def test_census_with_the_same_member_list_updates_ages():
    table = MembershipTable(OWN, (), 1)
    other = MembershipTable(NEAR, (), 1)
    table.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 3000)), 5000)
    other.record((LivenessRecord(OWN, 0), LivenessRecord(FAR, 100)), 5000)
    assert table.record_ages(other.census(5000), 5000)
    assert [round(record.age_ms) for record in table.liveness_records(5000)] == [
        0,
        0,
        100,
    ]


def test_census_with_another_member_list_is_ignored():
    table = MembershipTable(OWN, (), 1)
    other = MembershipTable(NEAR, (), 1)
    table.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 3000)), 5000)
    other.record((LivenessRecord(OWN, 0),), 5000)
    assert not table.record_ages(other.census(5000), 5000)
    assert [round(record.age_ms) for record in table.liveness_records(5000)] == [
        0,
        0,
        3000,
    ]


def test_removed_member_is_not_live():
    table = MembershipTable(OWN, (), 1)
    table.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 0)), 0)
    table.remove('near')
    assert table.live_names(0) == ('own', 'far')


@pytest.mark.parametrize('seeds', [(), ('10.0.0.1:1',)])
def test_partner_is_none_without_other_members_and_seeds(seeds):
    assert MembershipTable(OWN, seeds, 1).partner(0) is None


def test_partners_are_mostly_in_the_own_data_centre_sometimes_remote_or_a_seed():
    table = MembershipTable(OWN, ('10.9.9.9:1',), 1)
    table.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 0)), 0)
    partners = [table.partner(0) for _ in range(400)]
    assert partners.count(NEAR.address) > partners.count(FAR.address)
    assert partners.count(FAR.address)
    assert partners.count('10.9.9.9:1') > 0


def exchange(initiator, partner, now_ms):
    """Run one exchange as daemons do; return the number of records sent."""
    sent = 0
    for sender, receiver in ((initiator, partner), (partner, initiator)):
        receiver.record((LivenessRecord(sender.own, 0),), now_ms)
        if not receiver.record_ages(sender.census(now_ms), now_ms):
            records = sender.liveness_records(now_ms)
            receiver.record(records, now_ms)
            sent += len(records)
    return sent


@pytest.mark.parametrize('size', [20, 70])
def test_fleet_converges_through_one_seed_and_then_sends_no_records(size):
    fleet = [Member(f'm{number}', f'10.0.0.{number}:1', 'de') for number in range(size)]
    tables = [
        MembershipTable(member, (fleet[0].address,), number)
        for number, member in enumerate(fleet)
    ]
    by_address = {member.address: table for member, table in zip(fleet, tables)}
    generator = random.Random(4)
    for now_ms in range(0, 30_000, 500):
        sent = 0
        for initiator in generator.sample(tables, len(tables)):
            partner = by_address[initiator.partner(now_ms) or fleet[0].address]
            sent += exchange(initiator, partner, now_ms)
        if now_ms >= 6000:
            assert all(len(table.live(now_ms)) == size for table in tables)
            assert sent == 0


@given(st.integers(0, 80), st.integers(1, 5))
def test_fan_out_reaches_each_member_once_within_the_bound(count, fan_out):
    reached, waiting = [], [tuple(range(count))]
    while waiting:
        groups = fan_out_groups(waiting.pop(), fan_out)
        assert len(groups) <= fan_out
        reached.extend(group[0] for group in groups)
        waiting.extend(group[1:] for group in groups)
    assert sorted(reached) == list(range(count))


@pytest.mark.parametrize(
    ('ages_ms', 'now_ms', 'is_suspect', 'is_missing'),
    [
        ((), 0, True, True),
        ((0,), 700, False, False),
        ((0,), 800, True, False),
        ((0,), 1900, True, True),
        ((1500, 0), 1900, False, False),
    ],
    ids=['start', 'fresh', 'suspect', 'missing', 'older-report-later'],
)
def test_watcher_state_follows_the_latest_report(
    ages_ms, now_ms, is_suspect, is_missing
):
    liveness = WatcherLiveness(apply_ms=3000)
    for age_ms in ages_ms:
        liveness.record(now_ms - age_ms, now_ms)
    assert liveness.is_suspect(now_ms) is is_suspect
    assert liveness.is_missing(now_ms) is is_missing


@pytest.mark.parametrize(
    ('answered_ms', 'received_ms', 'expected_ms'),
    [(5000, None, 0), (3500, None, 1500), (3500, 700, 700), (3500, 1900, 1500)],
)
def test_reported_age_is_the_lower_of_store_answer_and_peer_report(
    answered_ms, received_ms, expected_ms
):
    """Watchers that the store rejected kept all other members from watching."""
    liveness = WatcherLiveness(apply_ms=3000)
    if received_ms is not None:
        liveness.record(received_ms, 5000)
    liveness.store_answered(answered_ms)
    assert liveness.reported_age_ms(5000) == expected_ms


@pytest.mark.parametrize(
    ('members_ahead', 'is_missing'), [(0, True), (1, True), (2, False), (20, False)]
)
def test_members_take_over_a_missing_watch_one_after_another(members_ahead, is_missing):
    liveness = WatcherLiveness(apply_ms=3000)
    liveness.record(2100, 5000)
    assert liveness.is_missing(5000, members_ahead) is is_missing
