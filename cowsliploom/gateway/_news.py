"""News on its way through a data centre, each member telling a few others."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from cowsliploom.gateway._peer_wire import encode_news
from cowsliploom.members import StoreMirror, divide_to_tell

TellMember = Callable[[str, msgspec.Raw, Sequence[str]], Awaitable[bool]]


class News:
    """Encode what has changed once, and see that everybody is told.

    Parameters
    ----------
    mirror : StoreMirror
        Copy of the store that the news are taken from.
    tell_member : callable
        Tells the member at an address some news and whom to tell on; returns
        whether it answered.
    """

    def __init__(self, mirror: StoreMirror, tell_member: TellMember) -> None:
        self.mirror = mirror
        self.tell_member = tell_member
        self._latest: tuple[int, int] | None = None
        self._encoded = msgspec.Raw()

    def since(self, revision: int) -> msgspec.Raw:
        """Return what changed after a revision, encoded."""
        wanted = (revision, self.mirror.revision)
        if wanted != self._latest:
            self._encoded = encode_news(self.mirror.since(revision))
            self._latest = wanted
        return self._encoded

    async def tell(self, news: msgspec.Raw, addresses: Sequence[str]) -> None:
        """Tell members some news; return when all have been told or given up."""
        groups = divide_to_tell(addresses)
        await asyncio.gather(*(self._tell_group(news, group) for group in groups))

    async def _tell_group(self, news: msgspec.Raw, group: Sequence[str]) -> None:
        first, *rest = group
        has_answered = await self.tell_member(first, news, rest)
        if rest and not has_answered:
            await self.tell(news, rest)
