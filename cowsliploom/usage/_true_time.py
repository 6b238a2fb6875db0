"""Estimate of true time from the clocks of several members."""

SAMPLE_LIFE_MS = 60_000.0
SAMPLES_MAX = 31


class TrueTime:
    """Tell true time by the median of the members' wall clocks.

    Wall clocks are close to true time, but that of a single machine may jump by
    seconds. What is kept are offsets from the monotonic clock of this machine.

    Examples
    --------
    >>> clock = TrueTime()
    >>> clock.add('b', wall_ms=5_000, now_ms=1_000)
    >>> clock.add('c', wall_ms=5_002, now_ms=1_000)
    >>> clock.read(own_wall_ms=95_000, now_ms=1_000)
    5002
    """

    def __init__(self) -> None:
        self._offsets: dict[str, tuple[float, float]] = {}

    def add(self, member: str, wall_ms: float, now_ms: float) -> None:
        """Add the reading of another member's wall clock that has just arrived."""
        self._offsets.pop(member, None)
        self._offsets[member] = (wall_ms - now_ms, now_ms)
        if len(self._offsets) > SAMPLES_MAX:
            self._offsets.pop(next(iter(self._offsets)))

    def read(self, own_wall_ms: float, now_ms: float) -> float:
        """Return true time, with this machine's wall clock as one of the samples."""
        offsets = [
            offset
            for offset, added_ms in self._offsets.values()
            if now_ms - added_ms < SAMPLE_LIFE_MS
        ]
        offsets.append(own_wall_ms - now_ms)
        return now_ms + sorted(offsets)[len(offsets) // 2]

    def restart(self) -> None:
        """Forget all samples, as the monotonic clock stood still."""
        self._offsets.clear()
