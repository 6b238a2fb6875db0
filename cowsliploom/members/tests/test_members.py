"""Members find each other, and mirrors agree whatever way the news takes."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.members import (
    MembershipTable,
    WatcherLiveness,
    Batch,
    Member,
    MirrorItem,
    Removal,
    LivenessRecord,
    StoreMirror,
    fan_out_groups,
)
from cowsliploom.members._membership_table import FORGET_MS

OWN = Member('own', '10.0.0.1:1', 'de', 5)
NEAR = Member('near', '10.0.0.2:1', 'de', 5)
FAR = Member('far', '10.0.1.1:1', 'gogledd', 5)
KEYS = ('a', 'b', 'c')
CHANGES = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=12
)


def play_store(changes):
    """Return the store's history and what it holds in the end."""
    held, history = {}, []
    for revision, (key, removes) in enumerate(changes, start=1):
        if removes:
            held.pop(key, None)
            history.append(Removal(key, revision))
        else:
            held[key] = MirrorItem(key, f'{revision}'.encode(), revision)
            history.append(held[key])
    return history, held


def batch_of(events, revision):
    """Return a batch of what the store did."""
    return Batch(
        revision,
        tuple(event for event in events if isinstance(event, MirrorItem)),
        tuple(event for event in events if isinstance(event, Removal)),
    )


@given(CHANGES, st.randoms(use_true_random=False))
def test_batches_in_any_order_and_twice_give_the_stores_content(changes, generator):
    history, held = play_store(changes)
    batches = [batch_of([event], event.revision) for event in history] * 2
    generator.shuffle(batches)
    mirror = StoreMirror()
    for batch in batches:
        mirror.take(batch)
    assert {item.key: item for item in mirror.items_with_prefix('')} == held


@given(CHANGES, st.integers(0, 12), st.integers(0, 12))
def test_a_peer_that_asks_since_its_revision_catches_up(changes, start, middle):
    history, held = play_store(changes)
    known = min(start, len(history))
    teller, learner = StoreMirror(), StoreMirror()
    teller.take(batch_of(history, len(history)))
    learner.take(batch_of(history[:known], known))
    learner.take(teller.since(learner.revision))
    assert {item.key: item for item in learner.items_with_prefix('')} == held
    assert learner.revision == teller.revision


@given(CHANGES, st.integers(0, 12))
def test_a_whole_listing_removes_what_is_gone_and_keeps_what_is_newer(changes, cut):
    history, held = play_store(changes)
    seen = min(cut, len(history))
    _, held_then = play_store(changes[:seen])
    mirror = StoreMirror()
    mirror.take(batch_of(history, len(history)))
    mirror.take(Batch(seen, tuple(held_then.values()), is_whole=True))
    assert {item.key: item for item in mirror.items_with_prefix('')} == held


def test_a_batch_that_begins_after_what_is_known_leaves_the_revision():
    """A mirror that took the gap for nothing would never hear what was in it."""
    teller, learner = StoreMirror(), StoreMirror()
    learner.take(Batch(3, (MirrorItem('a', b'3', 3),)))
    teller.take(Batch(9, (MirrorItem('b', b'5', 5), MirrorItem('c', b'9', 9))))
    assert learner.take(teller.since(7)) == {'c'}
    assert learner.revision == 3
    assert learner.take(teller.since(learner.revision)) == {'b'}
    assert learner.revision == 9


def test_removals_that_are_too_old_are_told_by_a_whole_batch():
    mirror = StoreMirror()
    for revision in range(1, 3000):
        mirror.take(Batch(revision, (), (Removal(f'k{revision}', revision),)))
    assert mirror.since(5).is_whole
    assert not mirror.since(2990).is_whole


def test_a_member_counts_until_it_has_been_silent_for_long():
    known = MembershipTable(OWN, (), 1)
    known.record((LivenessRecord(NEAR, 500),), 1000)
    assert known.live_names(4000) == ('own', 'near')
    assert known.live_names(5000) == ('own',)
    assert known.tracked_peers() == [NEAR]
    assert [seen.member for seen in known.sightings(30_000)] == [OWN]


@pytest.mark.parametrize('incarnation', [4, 6], ids=['clock-set-back', 'usual'])
def test_the_latest_word_of_a_member_is_believed(incarnation):
    known = MembershipTable(OWN, (), 1)
    known.record((LivenessRecord(NEAR, 0),), 0)
    again = Member('near', '10.0.9.9:1', 'de', incarnation)
    known.record((LivenessRecord(again, 0),), 10)
    known.record((LivenessRecord(NEAR, 15),), 20)
    assert known.tracked_peers() == [again]


def test_a_sighting_that_is_too_old_brings_nobody_back():
    known = MembershipTable(OWN, (), 1)
    known.record((LivenessRecord(NEAR, FORGET_MS + 1),), 30_000)
    assert known.tracked_peers() == []


def test_a_census_of_the_same_members_tells_their_ages():
    known = MembershipTable(OWN, (), 1)
    other = MembershipTable(NEAR, (), 1)
    known.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 3000)), 5000)
    other.record((LivenessRecord(OWN, 0), LivenessRecord(FAR, 100)), 5000)
    assert known.record_ages(other.census(5000), 5000)
    assert [round(seen.age_ms) for seen in known.sightings(5000)] == [0, 0, 100]


def test_a_census_of_other_members_says_nothing():
    known = MembershipTable(OWN, (), 1)
    other = MembershipTable(NEAR, (), 1)
    known.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 3000)), 5000)
    other.record((LivenessRecord(OWN, 0),), 5000)
    assert not known.record_ages(other.census(5000), 5000)
    assert [round(seen.age_ms) for seen in known.sightings(5000)] == [0, 0, 3000]


def test_who_leaves_no_longer_counts():
    known = MembershipTable(OWN, (), 1)
    known.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 0)), 0)
    known.remove('near')
    assert known.live_names(0) == ('own', 'far')


@pytest.mark.parametrize('seeds', [(), ('10.0.0.1:1',)])
def test_without_anybody_to_ask_there_is_no_partner(seeds):
    assert MembershipTable(OWN, seeds, 1).partner(0) is None


def test_partners_are_mostly_near_and_sometimes_far_or_a_seed():
    known = MembershipTable(OWN, ('10.9.9.9:1',), 1)
    known.record((LivenessRecord(NEAR, 0), LivenessRecord(FAR, 0)), 0)
    asked = [known.partner(0) for _ in range(400)]
    assert asked.count(NEAR.address) > asked.count(FAR.address)
    assert asked.count(FAR.address)
    assert asked.count('10.9.9.9:1') > 0


def exchange(asker, partner, now_ms):
    """Play one exchange as daemons do; return how many sightings were named."""
    named = 0
    for teller, hearer in ((asker, partner), (partner, asker)):
        hearer.record((LivenessRecord(teller.own, 0),), now_ms)
        if not hearer.record_ages(teller.census(now_ms), now_ms):
            sightings = teller.sightings(now_ms)
            hearer.record(sightings, now_ms)
            named += len(sightings)
    return named


@pytest.mark.parametrize('size', [20, 70])
def test_fleet_of_strangers_meets_through_one_seed_and_then_names_nobody(size):
    fleet = [Member(f'm{number}', f'10.0.0.{number}:1', 'de') for number in range(size)]
    known = [
        MembershipTable(member, (fleet[0].address,), number)
        for number, member in enumerate(fleet)
    ]
    by_address = {member.address: other for member, other in zip(fleet, known)}
    generator = random.Random(4)
    for now_ms in range(0, 30_000, 500):
        named = 0
        for asker in generator.sample(known, len(known)):
            partner = by_address[asker.partner(now_ms) or fleet[0].address]
            named += exchange(asker, partner, now_ms)
        if now_ms >= 6000:
            assert all(len(each.live(now_ms)) == size for each in known)
            assert named == 0


@given(st.integers(0, 80), st.integers(1, 5))
def test_everybody_is_told_once_and_nobody_tells_more_than_a_few(count, fan_out):
    told, waiting = [], [tuple(range(count))]
    while waiting:
        groups = fan_out_groups(waiting.pop(), fan_out)
        assert len(groups) <= fan_out
        told.extend(group[0] for group in groups)
        waiting.extend(group[1:] for group in groups)
    assert sorted(told) == list(range(count))


@pytest.mark.parametrize(
    ('heard_ms', 'now_ms', 'is_in_doubt', 'is_missing'),
    [
        ((), 0, True, True),
        ((0,), 700, False, False),
        ((0,), 800, True, False),
        ((0,), 1900, True, True),
        ((1500, 0), 1900, False, False),
    ],
    ids=['start', 'fresh', 'old', 'too-old', 'older-word-later'],
)
def test_attendance_goes_by_the_latest_word(heard_ms, now_ms, is_in_doubt, is_missing):
    attendance = WatcherLiveness(apply_ms=3000)
    for each_ms in heard_ms:
        attendance.record(now_ms - each_ms, now_ms)
    assert attendance.is_suspect(now_ms) is is_in_doubt
    assert attendance.is_missing(now_ms) is is_missing


@pytest.mark.parametrize(
    ('answered_ms', 'heard_ms', 'told_ms'),
    [(5000, None, 0), (3500, None, 1500), (3500, 700, 700), (3500, 1900, 1500)],
)
def test_a_member_vouches_for_its_watch_only_as_the_store_answers_it(
    answered_ms, heard_ms, told_ms
):
    """Watchers that the store turned away kept all others from watching."""
    attendance = WatcherLiveness(apply_ms=3000)
    if heard_ms is not None:
        attendance.record(heard_ms, 5000)
    attendance.store_answered(answered_ms)
    assert attendance.reported_age_ms(5000) == told_ms


@pytest.mark.parametrize(
    ('others_first', 'is_missing'), [(0, True), (1, True), (2, False), (20, False)]
)
def test_members_watch_in_turn_when_nobody_does(others_first, is_missing):
    attendance = WatcherLiveness(apply_ms=3000)
    attendance.record(2100, 5000)
    assert attendance.is_missing(5000, others_first) is is_missing
