"""Counts of the requests that began to run, by workspace, window and member."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

WINDOWS_MAX = 64  # kept while no report is accepted


@dataclass(frozen=True, slots=True)
class UsageEntry:
    """What one start of one member has counted in a window so far.

    Parameters
    ----------
    source : str
        The member and its start.
    window : int
        Number of the window.
    sequence : int
        Orders the entries of one source and window; the latest holds all counts.
    counts : mapping of str to int
        Requests by workspace.
    """

    source: str
    window: int
    sequence: int
    counts: Mapping[str, int] = field(default_factory=dict)


class LocalUsage:
    """Count the requests of this member, and what the holder has not received.

    Parameters
    ----------
    source : str
        Name of this start of the member.

    Examples
    --------
    >>> usage = LocalUsage('a#1')
    >>> usage.add('ada', window=7)
    >>> sent = usage.pending(holder='b')
    >>> sent[0].counts
    {'ada': 1}
    >>> usage.acknowledge('b', sent)
    >>> usage.pending('b'), len(usage.pending('c'))
    ((), 1)
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self._counts: dict[int, Counter[str]] = {}
        self._sequences: Counter[int] = Counter()
        self._received: dict[int, int] = {}
        self._holder = ''

    def add(self, workspace: str, window: int, change: int = 1) -> None:
        """Count a request that began to run, or take one back that did not."""
        counts = self._counts.setdefault(window, Counter())
        counts[workspace] += change
        self._sequences[window] += 1
        if len(self._counts) > WINDOWS_MAX:
            self._forget(min(self._counts))

    def pending(self, holder: str) -> tuple[UsageEntry, ...]:
        """Return the entries that a holder of the duty has not received.

        Another holder knows nothing of what the one before it received.
        """
        if holder != self._holder:
            self._holder = holder
            self._received = {}
        return tuple(
            UsageEntry(self.source, window, sequence, dict(self._counts[window]))
            for window, sequence in self._sequences.items()
            if sequence > self._received.get(window, 0)
        )

    def acknowledge(self, holder: str, entries: Iterable[UsageEntry]) -> None:
        """Record that a holder has received entries."""
        if holder == self._holder:
            self._received.update((each.window, each.sequence) for each in entries)

    def forget_until(self, window: int) -> None:
        """Forget the windows up to one that is reported."""
        for known in tuple(filter(window.__ge__, self._counts)):
            self._forget(known)

    def _forget(self, window: int) -> None:
        self._counts.pop(window, None)
        self._sequences.pop(window, None)
        self._received.pop(window, None)


class UsageLedger:
    """Sum the entries of all members, each counted once however often it arrives."""

    def __init__(self) -> None:
        self._entries: dict[int, dict[str, UsageEntry]] = {}
        self._closed = 0

    def apply(self, entries: Iterable[UsageEntry]) -> int:
        """Apply entries; return how many came after their window was closed."""
        late = 0
        for entry in entries:
            if entry.window <= self._closed:
                late += 1
                continue
            by_source = self._entries.setdefault(entry.window, {})
            known = by_source.get(entry.source)
            if known is None or known.sequence < entry.sequence:
                by_source[entry.source] = entry
        while len(self._entries) > WINDOWS_MAX:
            self._entries.pop(min(self._entries))
        return late

    def totals(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace in a window."""
        totals: Counter[str] = Counter()
        for entry in self._entries.get(window, {}).values():
            totals.update(entry.counts)
        return {workspace: count for workspace, count in totals.items() if count > 0}

    def close_until(self, window: int) -> None:
        """Close the windows up to one; their counts are fixed."""
        self._closed = max(self._closed, window)
        for known in tuple(filter(window.__ge__, self._entries)):
            self._entries.pop(known)
