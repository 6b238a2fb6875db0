"""Propagation of store updates through the fleet; each member sends to a few others."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._peer_wire import NO_UPDATES, encode_updates
from cowsliploom.members import MembershipTable, StoreMirror, fan_out_groups

SendToMember = Callable[[str, bytes, Sequence[str]], Coroutine[None, None, bool]]
ENCODED_MAX = 8  # members that lag are at different revisions


class UpdatePropagation:
    """Encode updates once and send them along a tree of members.

    Parameters
    ----------
    known : MembershipTable
        Known members.
    mirror : StoreMirror
        Local copy of the store from which updates are taken.
    send_to_member : callable
        Sends updates to the member at an address, with the addresses to which it
        forwards them; returns whether it answered.
    now_ms : callable
        Monotonic clock.
    """

    def __init__(
        self,
        known: MembershipTable,
        mirror: StoreMirror,
        send_to_member: SendToMember,
        now_ms: Callable[[], float],
    ) -> None:
        self.known = known
        self.mirror = mirror
        self.send_to_member = send_to_member
        self.now_ms = now_ms
        self._encoded: dict[tuple[int, int], bytes] = {}
        self._random = random.Random(known.own.name)
        self._background = BackgroundTasks()

    def encoded_since(self, revision: int) -> bytes:
        """Return the changes after a revision, encoded."""
        revisions = (revision, self.mirror.revision)
        encoded = self._encoded.get(revisions)
        if encoded is None:
            encoded = encode_updates(self.mirror.changes_since(revision))
            if len(self._encoded) >= ENCODED_MAX:
                self._encoded.pop(next(iter(self._encoded)))
            self._encoded[revisions] = encoded
        return encoded

    def propagate(self, since: int) -> None:
        """Send the changes after a revision to other members.

        All members of the local data centre receive them; one member of each other
        data centre is notified that there are changes.

        Parameters
        ----------
        since : int
            Revision held before the changes; 0 sends nothing, as every member starts
            there.
        """
        if since:
            self.send_to_own_data_centre(self.encoded_since(since))
            self.notify_other_data_centres()

    def send_to_own_data_centre(self, updates: bytes = NO_UPDATES) -> None:
        """Send a message with updates to all members of the local data centre."""
        own = self.known.own
        addresses = [
            member.address
            for member in self.known.live(self.now_ms())[1:]
            if member.data_centre == own.data_centre
        ]
        self._random.shuffle(addresses)
        self._background.start(self.send(updates, addresses))

    def notify_other_data_centres(self) -> None:
        """Send the local revision to one member of each other data centre."""
        remote: dict[str, list[str]] = {}
        for member in self.known.live(self.now_ms())[1:]:
            if member.data_centre != self.known.own.data_centre:
                remote.setdefault(member.data_centre, []).append(member.address)
        for addresses in remote.values():
            address = self._random.choice(addresses)
            self._background.start(self.send_to_member(address, NO_UPDATES, ()))

    def forward(self, updates: bytes, addresses: Sequence[str]) -> None:
        """Send received updates in the background to the members the sender named."""
        self._background.start(self.send(updates, addresses))

    async def send(self, updates: bytes, addresses: Sequence[str]) -> None:
        """Send updates to members; return when each has answered or failed."""
        groups = fan_out_groups(addresses)
        await asyncio.gather(*(self._send_to_group(updates, group) for group in groups))

    async def _send_to_group(self, updates: bytes, group: Sequence[str]) -> None:
        first, *rest = group
        has_answered = await self.send_to_member(first, updates, rest)
        if rest and not has_answered:
            await self.send(updates, rest)
