"""Decisions on at-most-once claims, without input or output."""

from cowsliploom.coordination._claims import (
    ClaimRequested,
    ClaimCommand,
    ClaimEvent,
    ClaimTick,
    RequestNotRun,
    RequestFinished,
    SegmentRead,
    SegmentSwapped,
    choose_segment,
)
from cowsliploom.coordination._claims_outage import StoreOutage
from cowsliploom.coordination._claims_writer import SegmentWriter


class ClaimRegistry:
    """Decide which requests may be forwarded, at most once for each key.

    Parameters
    ----------
    owner : str
        Name and incarnation of the daemon; never used twice by two processes.

    Notes
    -----
    A claim is granted only once its write is known to be in the store. The
    version of a segment is the fence: of two daemons that write a segment at the
    same version, one gets a conflict, reads again and sees the other's claim.

    Examples
    --------
    >>> from cowsliploom.coordination import ClaimRequested, ClaimRegistry, digest_key
    >>> book = ClaimRegistry('entry-1#1')
    >>> key = digest_key('van-desk', 'booking-7')
    >>> asked = ClaimRequested(0, 1, key, 'request digest', deadline_ms=2000)
    >>> [type(command).__name__ for command in book.step(asked)]
    ['ReadSegment']
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self._outage = StoreOutage(owner)
        self._writers: dict[int, SegmentWriter] = {}

    def __len__(self) -> int:
        """Return how many claims, outcomes and unclear writes are not done."""
        return sum(len(writer) for writer in self._writers.values())

    def step(self, event: ClaimEvent) -> tuple[ClaimCommand, ...]:
        """Take an event and return the commands that follow from it."""
        match event:
            case ClaimRequested(key=key):
                return self._pump(choose_segment(key), event)
            case RequestFinished(granted=granted) | RequestNotRun(granted=granted):
                return self._pump(choose_segment(granted.key), event)
            case SegmentRead(segment=segment) | SegmentSwapped(segment=segment):
                return self._pump(segment, event)
            case ClaimTick(now_ms):
                return self._tick(now_ms)

    def _pump(self, segment: int, event: ClaimEvent) -> tuple[ClaimCommand, ...]:
        writer = self._writers.get(segment)
        if writer is None:
            writer = SegmentWriter(segment, self.owner, self._outage)
            self._writers[segment] = writer
        writer.take(event)
        return writer.pump(event.now_ms)

    def _tick(self, now_ms: float) -> tuple[ClaimCommand, ...]:
        commands: list[ClaimCommand] = []
        for segment, writer in tuple(self._writers.items()):
            writer.expire(now_ms)
            commands.extend(writer.pump(now_ms))
            if writer.is_unused(now_ms):
                self._writers.pop(segment)
        return tuple(commands)
