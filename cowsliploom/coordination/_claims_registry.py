"""At-most-once claims on idempotency keys, sans-IO."""

from cowsliploom.coordination._claims import (
    ClaimCommand,
    ClaimEvent,
    ClaimRequested,
    ClaimTick,
    RequestFinished,
    RequestNotRun,
    SegmentRead,
    SegmentSwapped,
    choose_segment,
)
from cowsliploom.coordination._claims_outage import StoreOutage
from cowsliploom.coordination._claims_writer import SegmentWriter


class ClaimRegistry:
    """Decide which requests may be forwarded, at most once per key.

    Parameters
    ----------
    owner : str
        Name and incarnation of the daemon; unique to one process.

    Notes
    -----
    A claim is granted only once its write is known to be in the store. The segment
    version acts as the fence: if two daemons write a segment at the same version,
    one gets a conflict, reads again and sees the other's claim.

    Examples
    --------
    >>> from cowsliploom.coordination import ClaimRequested, ClaimRegistry, digest_key
    >>> registry = ClaimRegistry('entry-1#1')
    >>> key = digest_key('van-desk', 'booking-7')
    >>> requested = ClaimRequested(0, 1, key, 'request digest', deadline_ms=2000)
    >>> [type(command).__name__ for command in registry.step(requested)]
    ['ReadSegment']
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self._outage = StoreOutage(owner)
        self._writers: dict[int, SegmentWriter] = {}

    def __len__(self) -> int:
        """Return the number of pending claims, outcomes and uncertain writes."""
        return sum(len(writer) for writer in self._writers.values())

    def step(self, event: ClaimEvent) -> tuple[ClaimCommand, ...]:
        """Process an event and return the resulting commands."""
        match event:
            case ClaimRequested(key=key):
                return self._dispatch(choose_segment(key), event)
            case RequestFinished(granted=granted) | RequestNotRun(granted=granted):
                return self._dispatch(choose_segment(granted.key), event)
            case SegmentRead(segment=segment) | SegmentSwapped(segment=segment):
                return self._dispatch(segment, event)
            case ClaimTick(now_ms):
                return self._tick(now_ms)

    def _dispatch(self, segment: int, event: ClaimEvent) -> tuple[ClaimCommand, ...]:
        writer = self._writers.get(segment)
        if writer is None:
            writer = SegmentWriter(segment, self.owner, self._outage)
            self._writers[segment] = writer
        writer.handle(event)
        return writer.next_commands(event.now_ms)

    def _tick(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        commands: list[ClaimCommand] = []
        for segment, writer in tuple(self._writers.items()):
            writer.expire_claims(now_ms)
            commands.extend(writer.next_commands(now_ms))
            if writer.is_unused(now_ms):
                self._writers.pop(segment)
        return tuple(commands)
