"""A copy of a part of the store, kept up to date by the store or by peers."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

TOMBSTONES_MAX = 1024  # removals that a peer can be told one by one


@dataclass(frozen=True, slots=True)
class MirrorItem:
    """Hold one key as it was last written."""

    key: str
    content: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Removal:
    """Tell that a key was removed."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold changes up to a revision, or everything as of it.

    Parameters
    ----------
    revision : int
        The store's revision up to which nothing is left out.
    items : tuple of MirrorItem
        What was written.
    removals : tuple of Removal
        What was removed.
    is_whole : bool
        Whether keys that aren't named are gone.
    since : int
        Revision after which the changes begin; a whole batch needs none. Default 0.
    """

    revision: int
    items: tuple[MirrorItem, ...] = ()
    removals: tuple[Removal, ...] = ()
    is_whole: bool = False
    since: int = 0


class StoreMirror:
    """Hold the newest known content of each key, from whomever it came.

    Notes
    -----
    Each key goes by its own revision, so batches of the store and of several peers
    may come twice, late and in any order. One that begins after what is known here
    leaves a gap, so it is taken, but the mirror's revision stays.

    Examples
    --------
    >>> mirror = StoreMirror()
    >>> mirror.take(Batch(7, (MirrorItem('a', b'1', 7),)))
    frozenset({'a'})
    >>> mirror.take(Batch(6, (MirrorItem('a', b'0', 5),)))
    frozenset()
    >>> mirror.since(0).items
    (MirrorItem(key='a', content=b'1', revision=7),)
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, MirrorItem] = {}
        self._removed: OrderedDict[str, int] = OrderedDict()
        self._told_from = 0

    def get(self, key: str) -> MirrorItem | None:
        """Return a key's item."""
        return self._items.get(key)

    def items_with_prefix(self, prefix: str) -> list[MirrorItem]:
        """Return all items whose keys begin with a prefix."""
        return [item for item in self._items.values() if item.key.startswith(prefix)]

    def take(self, batch: Batch) -> frozenset[str]:
        """Take a batch and return the keys that changed."""
        changed = {item.key for item in batch.items if self._put(item)}
        changed.update(
            removal.key for removal in batch.removals if self._remove(removal)
        )
        if batch.is_whole:
            named = {item.key for item in batch.items}
            changed.update(self._remove_unnamed(named, batch.revision))
        if batch.is_whole or batch.since <= self.revision:
            self.revision = max(self.revision, batch.revision)
        return frozenset(changed)

    def since(self, revision: int) -> Batch:
        """Return what changed after a revision, or everything if that is too old."""
        if revision < self._told_from or not revision:
            return Batch(self.revision, tuple(self._items.values()), is_whole=True)
        items = (item for item in self._items.values() if item.revision > revision)
        removals = (
            Removal(key, removed_at)
            for key, removed_at in self._removed.items()
            if removed_at > revision
        )
        return Batch(self.revision, tuple(items), tuple(removals), since=revision)

    def _put(self, item: MirrorItem) -> bool:
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if self._removed.get(item.key, 0) >= item.revision:
            return False
        self._items[item.key] = item
        self._removed.pop(item.key, None)
        return True

    def _remove(self, removal: Removal) -> bool:
        known = self._items.get(removal.key)
        if known is not None and known.revision > removal.revision:
            return False
        if self._removed.get(removal.key, 0) >= removal.revision:
            return False
        self._items.pop(removal.key, None)
        self._removed[removal.key] = removal.revision
        self._removed.move_to_end(removal.key)
        if len(self._removed) > TOMBSTONES_MAX:
            _, oldest = self._removed.popitem(last=False)
            self._told_from = max(self._told_from, oldest)
        return known is not None

    def _remove_unnamed(self, named: set[str], revision: int) -> Iterable[str]:
        """Remove keys that a whole batch doesn't name and that aren't newer."""
        gone = [
            item.key
            for item in self._items.values()
            if item.key not in named and item.revision <= revision
        ]
        for key in gone:
            self._remove(Removal(key, revision))
        return gone
