"""Times at which a member's state changes unless something is heard."""

from cowsliploom.members import MemberState, MemberUpdate
from cowsliploom.coordination._settings import MembershipSettings


class MemberTimers:
    """Hold the deadlines of doubts, suspicions and tombstones.

    Parameters
    ----------
    settings : MembershipSettings
        Spans of time.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self._unconfirmed: dict[str, float] = {}
        self._suspects: dict[str, float] = {}
        self._tombstones: dict[str, float] = {}

    def add_unconfirmed(self, name: str, until_ms: float) -> None:
        """Doubt a member that didn't answer until its helpers did."""
        self._unconfirmed.setdefault(name, until_ms)

    def clear_unconfirmed(self, name: str) -> None:
        """Drop the doubt on a member that was reached."""
        self._unconfirmed.pop(name, None)

    def update(self, update: MemberUpdate, now_ms: float) -> None:
        """Start or stop the timers that follow from a member's new state."""
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
        """Put off all suspicions by the time that this process stood still."""
        self._unconfirmed.clear()
        for name in self._suspects:
            self._suspects[name] += frozen_ms

    def expired_unconfirmed(self, now_ms: float) -> tuple[str, ...]:
        """Return the doubted members that no helper reached in time."""
        return _close_expired(self._unconfirmed, now_ms)

    def expired_suspects(self, now_ms: float) -> tuple[str, ...]:
        """Return the suspects that didn't refute in time."""
        return _close_expired(self._suspects, now_ms)

    def expired_tombstones(self, now_ms: float) -> tuple[str, ...]:
        """Return the dead members that need not be remembered any longer."""
        return _close_expired(self._tombstones, now_ms)


def _close_expired(deadlines: dict[str, float], now_ms: float) -> tuple[str, ...]:
    if not deadlines:
        return ()
    expired = tuple(name for name, until_ms in deadlines.items() if until_ms <= now_ms)
    for name in expired:
        deadlines.pop(name)
    return expired
