"""Mirrors that lost their history do not hand on what was removed meanwhile."""

import random
from collections import deque

import pytest

from cowsliploom.members import Batch, MirrorItem, Removal, StoreMirror, _mirror

KEYS = tuple(f'servers/{number}' for number in range(6))
STEPS = 400
REMOVAL_SHARE = 0.4  # of all changes
RESTART_SHARE = 0.3  # of the chances to restart a member
MIRRORS = 4


def item(key, revision):
    """Return an item that names its revision."""
    return MirrorItem(key, f'{revision}'.encode(), revision)


def whole(revision, *items):
    """Return a full batch."""
    return Batch(revision, items, is_whole=True)


def keys_of(mirror):
    """Return the keys that a mirror holds."""
    return {each.key for each in mirror.items_with_prefix('')}


def test_member_that_started_from_a_listing_hands_on_earlier_removals():
    """Guard against a removed server that a restarted member's neighbour keeps."""
    neighbour, restarted = StoreMirror(), StoreMirror()
    neighbour.apply(whole(10, item('kept', 5), item('removed', 6)))
    restarted.apply(whole(20, item('kept', 5)))
    assert neighbour.apply(restarted.changes_since(neighbour.revision)) == {'removed'}
    assert neighbour.revision == 20


def test_member_that_was_cut_off_hands_on_what_it_never_heard_of():
    """Guard against a server that came and left between two listings of a member."""
    neighbour, returned = StoreMirror(), StoreMirror()
    for mirror in (neighbour, returned):
        mirror.apply(whole(10, item('kept', 5)))
    neighbour.apply(Batch(14, (item('removed', 14),), since=10))
    returned.apply(whole(20, item('kept', 5)))
    neighbour.apply(returned.changes_since(neighbour.revision))
    assert keys_of(neighbour) == {'kept'}


def test_changes_after_a_listing_are_sent_without_the_full_content():
    mirror = StoreMirror()
    mirror.apply(whole(20, item('kept', 5)))
    mirror.apply(Batch(21, (item('new', 21),), since=20))
    assert mirror.changes_since(20) == Batch(21, (item('new', 21),), since=20)


@pytest.mark.parametrize(
    'late',
    [
        Batch(9, (item('removed', 6),), since=4),
        whole(9, item('kept', 5), item('removed', 6)),
    ],
    ids=['changes', 'full'],
)
def test_late_batch_does_not_bring_back_what_a_listing_left_out(late):
    """Guard against a removed server that is back after the restart of a member."""
    restarted = StoreMirror()
    restarted.apply(whole(20, item('kept', 5)))
    assert restarted.apply(late) == frozenset()
    assert keys_of(restarted) == {'kept'}


def test_listing_of_the_store_restores_a_missing_key_at_the_same_revision():
    mirror = StoreMirror()
    mirror.apply(whole(20))
    assert mirror.apply(whole(20, item('missing', 5))) == {'missing'}


class StoreHistory:
    """Store with a revision counter, which can tell its content at any revision.

    Parameters
    ----------
    make_item : callable
        Returns the item that a write of a key stores at a revision.
    """

    def __init__(self, make_item=item):
        self.make_item = make_item
        self.revision = 0
        self.changes = []
        self.contents = [{}]

    def change(self, key, removes):
        """Write or remove a key."""
        content = dict(self.contents[-1])
        if removes and key not in content:
            return
        self.revision += 1
        if removes:
            content.pop(key)
            self.changes.append(Removal(key, self.revision))
        else:
            content[key] = self.make_item(key, self.revision)
            self.changes.append(content[key])
        self.contents.append(content)

    def since(self, revision):
        """Return the changes after a revision."""
        events = self.changes[revision:]
        items = tuple(each for each in events if isinstance(each, MirrorItem))
        removals = tuple(each for each in events if isinstance(each, Removal))
        latest = {each.key: each for each in items}
        return Batch(self.revision, tuple(latest.values()), removals, since=revision)

    def listing(self):
        """Return the whole content."""
        return whole(self.revision, *self.contents[-1].values())


class MirrorFleet:
    """Mirrors that are updated by the store and by each other, in a random order."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = StoreHistory()
        self.mirrors = [StoreMirror() for _ in range(MIRRORS)]
        self.delayed = deque(maxlen=12)

    def step(self):
        """Make one random change, transfer, restart or late delivery."""
        at = self.random.randrange(MIRRORS)
        mirror = self.mirrors[at]
        source = self.random.choice(self.mirrors)
        match self.random.choice(
            ('change', 'change', 'watch', 'list', 'ask', 'ask', 'late', 'restart')
        ):
            case 'change':
                self.store.change(
                    self.random.choice(KEYS),
                    removes=self.random.random() < REMOVAL_SHARE,
                )
            case 'watch' if mirror.revision:
                mirror.apply(self.store.since(mirror.revision))
            case 'list':
                mirror.apply(self.store.listing())
            case 'ask' if source.revision > mirror.revision:
                batch = source.changes_since(mirror.revision)
                self.delayed.append(batch)
                mirror.apply(batch)
            case 'late' if self.delayed:
                mirror.apply(self.random.choice(self.delayed))
            case 'restart' if self.random.random() < RESTART_SHARE:
                self.mirrors[at] = StoreMirror()

    def check(self):
        """Compare each mirror with the store at the mirror's revision."""
        for mirror in self.mirrors:
            expected = self.store.contents[mirror.revision]
            for key in KEYS:
                held = mirror.get(key)
                changed_later = any(
                    change.key == key
                    for change in self.store.changes[mirror.revision :]
                )
                assert held == expected.get(key) or changed_later, key
                if held is not None and held.revision <= mirror.revision:
                    assert held == expected.get(key), f'{key} was removed'


@pytest.mark.parametrize('tombstones_max', [2, 1024])
@pytest.mark.parametrize('seed', range(30))
def test_mirror_holds_the_content_of_the_store_at_its_revision(
    monkeypatch, seed, tombstones_max
):
    """Guard against removed keys that restarts and late messages bring back."""
    monkeypatch.setattr(_mirror, 'TOMBSTONES_MAX', tombstones_max)
    fleet = MirrorFleet(seed)
    for _ in range(STEPS):
        fleet.step()
        fleet.check()
