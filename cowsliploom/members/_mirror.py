"""Copy of a part of the store, updated by the store itself or by peers."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

TOMBSTONES_MAX = 1024  # removals kept for incremental batches


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Content of one key and the revision that wrote it."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """Removal of one key."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes up to a revision, or the full content as of it.

    Parameters
    ----------
    revision : int
        Store revision up to which the batch is complete.
    items : tuple of MirrorItem
        Keys that were written.
    removals : tuple of Removal
        Keys that were removed.
    is_whole : bool
        Whether this is a full batch, where a missing key means that it was removed.
    since : int
        Revision after which the changes begin; unused in a full batch. Default 0.
    """

    revision: int
    items: tuple[MirrorItem, ...] = ()
    removals: tuple[Removal, ...] = ()
    is_whole: bool = False
    since: int = 0


class StoreMirror:
    """Newest known content of each key, whatever its source.

    Notes
    -----
    Each key is ordered by its own revision, so batches of the store and of several
    peers may arrive twice, late and in any order. Revisions hold the store's era (see
    ``store_revision``): what a restored store has outranks all that it had before, and
    only its whole content lifts the mirror into the new era. A batch that begins after
    the mirror's revision leaves a gap: its changes are applied, but the mirror's
    revision stays.

    Removals are known only after the horizon: those before it fell out of the
    tombstones, or happened before a full batch, which does not name them. A key that is
    missing here and not newer than the horizon was removed; a peer whose revision is
    below the horizon needs a full batch.

    Examples
    --------
    >>> mirror = StoreMirror()
    >>> mirror.apply(Batch(7, (MirrorItem('a', b'1', 7),)))
    frozenset({'a'})
    >>> mirror.apply(Batch(6, (MirrorItem('a', b'0', 5),)))
    frozenset()
    >>> mirror.changes_since(0).items
    (MirrorItem(key='a', content=b'1', revision=7),)
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, MirrorItem] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._horizon = 0

    def get(self, key: str) -> MirrorItem | None:
        """Return the item of a key, or None."""
        return self._items.get(key)

    def items_with_prefix(self, prefix: str) -> list[MirrorItem]:
        """Return all items whose keys begin with the prefix."""
        return [item for item in self._items.values() if item.key.startswith(prefix)]

    def apply(self, batch: Batch) -> frozenset[str]:
        """Apply a batch and return the keys that changed."""
        is_listing = batch.is_whole and batch.revision >= self.revision
        floor = 0 if is_listing else self._known_horizon
        changed = {item.key for item in batch.items if self._put(item, floor)}
        changed.update(
            removal.key for removal in batch.removals if self._remove(removal)
        )
        if batch.is_whole:
            present = {item.key for item in batch.items}
            changed.update(self._remove_absent(present, batch.revision))
            if batch.revision > self.revision:
                self._horizon = max(self._horizon, batch.revision)
        if batch.is_whole or batch.since <= self.revision:
            self.revision = max(self.revision, batch.revision)
        return frozenset(changed)

    def changes_since(self, revision: int) -> Batch:
        """Return the changes after a revision; a full batch if they are not kept."""
        if revision < self._horizon or not revision:
            return Batch(self.revision, tuple(self._items.values()), is_whole=True)
        items = (item for item in self._items.values() if item.revision > revision)
        removals = (
            Removal(key, removed_at)
            for key, removed_at in self._tombstones.items()
            if removed_at > revision
        )
        return Batch(self.revision, tuple(items), tuple(removals), since=revision)

    @property
    def _known_horizon(self) -> int:
        """Revision up to which a missing key is known to have been removed.

        Removals after a gap may raise the horizon above the mirror's revision.
        """
        return min(self._horizon, self.revision)

    def _put(self, item: MirrorItem, floor: int) -> bool:
        """Store an item unless it is outdated; a new key must be above the floor."""
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if known is None and item.revision <= floor:
            return False
        if self._tombstones.get(item.key, 0) >= item.revision:
            return False
        self._items[item.key] = item
        self._tombstones.pop(item.key, None)
        return True

    def _remove(self, removal: Removal) -> bool:
        known = self._items.get(removal.key)
        if known is None and removal.revision <= self._known_horizon:
            return False
        if known is not None and known.revision > removal.revision:
            return False
        if self._tombstones.get(removal.key, 0) >= removal.revision:
            return False
        self._items.pop(removal.key, None)
        self._tombstones[removal.key] = removal.revision
        self._tombstones.move_to_end(removal.key)
        if len(self._tombstones) > TOMBSTONES_MAX:
            _, oldest = self._tombstones.popitem(last=False)
            self._horizon = max(self._horizon, oldest)
        return known is not None

    def _remove_absent(self, present: set[str], revision: int) -> Iterable[str]:
        """Remove keys that are absent from a full batch and not newer than it."""
        absent = [
            item.key
            for item in self._items.values()
            if item.key not in present and item.revision <= revision
        ]
        for key in absent:
            self._remove(Removal(key, revision))
        return absent
