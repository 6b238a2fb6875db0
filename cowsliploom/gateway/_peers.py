"""The task that exchanges knowledge with other entry VMs."""

import asyncio
import random
from collections.abc import Callable

from cowsliploom.members import (
    Acquaintances,
    Batch,
    Member,
    Sighting,
    chosen_watchers,
    rank_names,
)
from cowsliploom.dataplane import (
    ConnectionPool,
    HttpAnswer,
    HttpListener,
    HttpRequest,
)
from cowsliploom.gateway._knowledge import Heard, Knowledge
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peer_wire import (
    PeerMessage,
    WireSighting,
    decode_message,
    encode_message,
)

MS_PER_S = 1000
EXCHANGE_MS = 500.0
EAGER_MS = 120.0  # while nobody is known, or the store is silent
TIMEOUT_MS = 400.0
WATCHERS = 1  # of the store in each data centre; news cross between them
STALE_MS = 6500.0  # the store's word is older than a watch takes: ask peers eagerly
UNKNOWN_SHARERS = 12  # while nobody was heard: careful, as there may be many
REACH_ASKED = 3
PATH = '/peers'


class Peers:
    """Own the listener for peers and the exchanges with them.

    Parameters
    ----------
    known : Acquaintances
        Who is alive.
    knowledge : Knowledge
        What is told and taken.
    log : LineLog
        Log of members that come and go.
    now_ms : callable
        Steady clock.
    """

    def __init__(
        self,
        known: Acquaintances,
        knowledge: Knowledge,
        log: LineLog,
        now_ms: Callable[[], float],
    ) -> None:
        self.known = known
        self.knowledge = knowledge
        self.log = log
        self.now_ms = now_ms
        self.listener = HttpListener(known.own.address, self._take)
        self._random = random.Random(known.own.name)
        self._pools: dict[str, ConnectionPool] = {}
        self._live: frozenset[str] = frozenset()
        self._others: tuple[Member, ...] = ()
        self._is_leaving = False
        self._running: set[asyncio.Task[bool]] = set()

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            address = self.known.partner(self.now_ms())
            if address is not None:
                await self._exchange(address)
            self._note_members()
            pause_ms = EAGER_MS if self._is_eager() else EXCHANGE_MS
            pause_ms *= self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def leave(self) -> None:
        """Tell the live members that this daemon leaves."""
        self._is_leaving = True
        others = self.known.live(self.now_ms())[1:]
        await asyncio.gather(*(self._exchange(member.address) for member in others))

    async def reaches_others(self) -> bool:
        """Tell whether a member outside the own data centre answers."""
        own = self.known.own
        others = self.known.remembered()
        far = [member for member in others if member.data_centre != own.data_centre]
        asked = self._random.sample(far or others, min(REACH_ASKED, len(far or others)))
        answers = await asyncio.gather(
            *(self._exchange(member.address) for member in asked)
        )
        return any(answers)

    def watches_store(self) -> bool:
        """Tell whether this daemon watches the store for its data centre.

        It also does while those that should haven't heard from the store for long.
        """
        now_ms = self.now_ms()
        if self.knowledge.confirmed_age_ms(now_ms) > STALE_MS:
            return True
        own = self.known.own
        live = self.known.live(now_ms)
        return own.name in chosen_watchers(live, own.data_centre, WATCHERS)

    def spread(self, from_near: bool) -> None:
        """Tell others at once that there is news.

        Parameters
        ----------
        from_near : bool
            Whether a member of the own data centre told it, who tells the others.
        """
        if from_near:
            return
        by_place: dict[str, list[Member]] = {}
        for member in self.known.live(self.now_ms())[1:]:
            by_place.setdefault(member.data_centre, []).append(member)
        for place, members in by_place.items():
            if place != self.known.own.data_centre:
                members = [self._random.choice(members)]
            for member in members:
                self._start_exchange(member.address)

    def _start_exchange(self, address: str, names_all: bool = False) -> None:
        work = self._exchange(address, names_all)
        exchange = asyncio.get_running_loop().create_task(work)
        self._running.add(exchange)
        exchange.add_done_callback(self._running.discard)

    def others(self) -> tuple[Member, ...]:
        """Return the other live members, by name."""
        return self._others

    def owns(self, server: str) -> bool:
        """Tell whether this daemon is the one that may ask a cold server."""
        names = self.known.live_names(self.now_ms())
        return rank_names(server, names, 1) == (self.known.own.name,)

    def _is_eager(self) -> bool:
        stale = self.knowledge.confirmed_age_ms(self.now_ms()) > STALE_MS
        return stale or not self.known.has_heard

    def _note_members(self) -> None:
        members = self.known.live(self.now_ms())
        live = frozenset(member.name for member in members)
        self._others = tuple(sorted(members[1:], key=_name))
        sharers = len(live) if self.known.has_heard else UNKNOWN_SHARERS
        self.knowledge.desk.fleet.sharers = sharers
        if live != self._live:
            self.log.write(
                'members',
                'changed',
                live=len(live),
                joined=sorted(live - self._live),
                gone=sorted(self._live - live),
            )
            self._live = live

    async def _exchange(self, address: str, names_all: bool = False) -> bool:
        body = encode_message(self._message(None, names_all))
        head = (
            f'POST {PATH} HTTP/1.1\r\nHost: {address}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        reply = await self._pool(address).ask(head.encode() + body, TIMEOUT_MS)
        message = decode_message(reply.body) if isinstance(reply, HttpAnswer) else None
        if message is None:
            return False
        knows_more = not self._hear(message)
        if knows_more and not names_all:
            self._start_exchange(address, names_all=True)
        return True

    def _pool(self, address: str) -> ConnectionPool:
        known = self._pools.get(address)
        if known is None:
            known = ConnectionPool(address)
            self._pools[address] = known
        return known

    def _take(self, request: HttpRequest) -> None:
        message = decode_message(request.body)
        if message is None:
            self.log.write('members', 'unreadable', bytes=len(request.body))
            request.answer(400, [], b'')
            return
        is_same_roster = self._hear(message)
        if message.revision > self.knowledge.mirror.revision:
            self._start_exchange(message.address)
        batch = None
        mirror = self.knowledge.mirror
        if message.revision < mirror.revision:
            batch = mirror.since(message.revision)
        answer = encode_message(self._message(batch, names_all=not is_same_roster))
        request.answer(200, [('Content-Type', 'application/json')], answer)

    def _message(self, batch: Batch | None, names_all: bool) -> PeerMessage:
        now_ms = self.now_ms()
        sightings = self.known.sightings(now_ms) if names_all else ()
        own = self.known.own
        return PeerMessage(
            own.name,
            own.address,
            own.data_centre,
            self.knowledge.mirror.revision,
            self.knowledge.confirmed_age_ms(now_ms),
            self.known.census(now_ms),
            tuple(WireSighting.of(sighting) for sighting in sightings),
            batch,
            self._is_leaving,
        )

    def _hear(self, message: PeerMessage) -> bool:
        """Take what a peer says; tell whether it knows the same members."""
        now_ms = self.now_ms()
        if message.is_leaving:
            self.known.left(message.name)
            return True
        self.known.hear((Sighting(message.sender, 0),), now_ms)
        self.known.hear((seen.sighting for seen in message.sightings), now_ms)
        is_same_roster = self.known.hear_ages(message.census, now_ms)
        heard = Heard(message.name, message.age_ms)
        if message.batch is None:
            self.knowledge.confirm(message.revision, heard, now_ms)
        elif self.knowledge.take(message.batch, heard, now_ms):
            self.spread(message.data_centre == self.known.own.data_centre)
        return is_same_roster


def _name(member: Member) -> str:
    return member.name
