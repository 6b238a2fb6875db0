"""News on their way through the fleet, each member telling a few others."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._peer_wire import NO_NEWS, encode_news
from cowsliploom.members import MembershipTable, StoreMirror, fan_out_groups

TellMember = Callable[[str, bytes, Sequence[str]], Coroutine[None, None, bool]]
ENCODED_KEPT = 8  # members that lag know different revisions


class News:
    """Encode what has changed once, and see that everybody is told.

    Parameters
    ----------
    known : MembershipTable
        Who is alive.
    mirror : StoreMirror
        Copy of the store that the news are taken from.
    tell_member : callable
        Tells the member at an address some news and whom to tell on; returns
        whether it answered.
    now_ms : callable
        Steady clock.
    """

    def __init__(
        self,
        known: MembershipTable,
        mirror: StoreMirror,
        tell_member: TellMember,
        now_ms: Callable[[], float],
    ) -> None:
        self.known = known
        self.mirror = mirror
        self.tell_member = tell_member
        self.now_ms = now_ms
        self._encoded: dict[tuple[int, int], bytes] = {}
        self._random = random.Random(known.own.name)
        self._background = BackgroundTasks()

    def since(self, revision: int) -> bytes:
        """Return what changed after a revision, encoded."""
        wanted = (revision, self.mirror.revision)
        known = self._encoded.get(wanted)
        if known is None:
            known = encode_news(self.mirror.since(revision))
            if len(self._encoded) >= ENCODED_KEPT:
                self._encoded.pop(next(iter(self._encoded)))
            self._encoded[wanted] = known
        return known

    def spread(self, since: int) -> None:
        """Tell others what has changed since a revision.

        All members of the own data centre are told, one of each other.

        Parameters
        ----------
        since : int
            Revision that was known before; 0 spreads nothing, as all begin then.
        """
        if since:
            self.spread_near(self.since(since))
            self.spread_far()

    def spread_near(self, news: bytes = NO_NEWS) -> None:
        """Tell all members of the own data centre."""
        own = self.known.own
        near = [
            member.address
            for member in self.known.live(self.now_ms())[1:]
            if member.data_centre == own.data_centre
        ]
        self._random.shuffle(near)
        self._background.start(self.tell(news, near))

    def spread_far(self) -> None:
        """Tell one member of each other data centre that there are news."""
        far: dict[str, list[str]] = {}
        for member in self.known.live(self.now_ms())[1:]:
            if member.data_centre != self.known.own.data_centre:
                far.setdefault(member.data_centre, []).append(member.address)
        for addresses in far.values():
            address = self._random.choice(addresses)
            self._background.start(self.tell_member(address, NO_NEWS, ()))

    def tell_on(self, news: bytes, addresses: Sequence[str]) -> None:
        """Tell members in the background, as one was asked to."""
        self._background.start(self.tell(news, addresses))

    async def tell(self, news: bytes, addresses: Sequence[str]) -> None:
        """Tell members some news; return when all have been told or given up."""
        groups = fan_out_groups(addresses)
        await asyncio.gather(*(self._tell_group(news, group) for group in groups))

    async def _tell_group(self, news: bytes, group: Sequence[str]) -> None:
        first, *rest = group
        has_answered = await self.tell_member(first, news, rest)
        if rest and not has_answered:
            await self.tell(news, rest)
