"""Deadlines of unconfirmed probe failures, suspicions and tombstones."""

from cowsliploom.coordination._settings import MembershipSettings
from cowsliploom.members import MemberState, MemberUpdate


class MemberTimers:
    """Track the deadlines after which the state of a member changes.

    Parameters
    ----------
    settings : MembershipSettings
        Durations of suspicions and tombstones.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self._unconfirmed: dict[str, float] = {}
        self._suspects: dict[str, float] = {}
        self._tombstones: dict[str, float] = {}

    def add_unconfirmed(self, name: str, until_ms: float) -> None:
        """Record a failed direct probe, until indirect probes confirm it."""
        self._unconfirmed.setdefault(name, until_ms)

    def clear_unconfirmed(self, name: str) -> None:
        """Clear the unconfirmed failure of a member that was reached."""
        self._unconfirmed.pop(name, None)

    def update(self, update: MemberUpdate, now_ms: float) -> None:
        """Start or stop the timers according to the new state of a member."""
        name = update.member.name
        match update.state:
            case MemberState.ALIVE:
                self._suspects.pop(name, None)
                self._tombstones.pop(name, None)
            case MemberState.SUSPECT:
                until_ms = now_ms + self.settings.suspicion_ms
                self._suspects.setdefault(name, until_ms)
            case MemberState.DEAD | MemberState.LEFT:
                self._suspects.pop(name, None)
                self._tombstones[name] = now_ms + self.settings.tombstone_ms

    def extend(self, frozen_ms: float) -> None:
        """Extend all suspicions by the time for which this process was paused."""
        self._unconfirmed.clear()
        for name in self._suspects:
            self._suspects[name] += frozen_ms

    def expired_unconfirmed(self, now_ms: float) -> tuple[str, ...]:
        """Return the members that no helper reached in time."""
        return _close_expired(self._unconfirmed, now_ms)

    def expired_suspects(self, now_ms: float) -> tuple[str, ...]:
        """Return the suspects that did not refute in time."""
        return _close_expired(self._suspects, now_ms)

    def expired_tombstones(self, now_ms: float) -> tuple[str, ...]:
        """Return the dead members whose records can be dropped."""
        return _close_expired(self._tombstones, now_ms)


def _close_expired(deadlines: dict[str, float], now_ms: float) -> tuple[str, ...]:
    if not deadlines:
        return ()
    expired = tuple(name for name, until_ms in deadlines.items() if until_ms <= now_ms)
    for name in expired:
        deadlines.pop(name)
    return expired
