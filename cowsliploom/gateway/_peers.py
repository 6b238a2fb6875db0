"""The task that exchanges knowledge with other entry VMs."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from functools import partial

import msgspec

from cowsliploom.members import (
    MembershipTable,
    WatcherLiveness,
    Member,
    LivenessRecord,
    chosen_watchers,
    rank_names,
)
from cowsliploom.dataplane import HttpListener, HttpRequest
from cowsliploom.forwarding import CallerLimits
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._news import News
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._pulls import Pulls
from cowsliploom.gateway._facts import FactBook
from cowsliploom.gateway._peer_calls import MESSAGE_BYTES_MAX, PeerCalls
from cowsliploom.gateway._peer_wire import (
    Fact,
    NewsError,
    PeerMessage,
    WireSighting,
    decode_message,
    decode_news,
    encode_message,
)

MS_PER_S = 1000
EXCHANGE_MS = 500.0
EAGER_MS = 120.0  # while nobody is known, or the store is silent
WATCHERS = 1  # of the store in each data centre; news cross between them
STALE_MS = 6500.0  # the store's word is older than a watch takes: ask peers eagerly
UNKNOWN_SHARERS = 12  # while nobody was heard: careful, as there may be many
REACH_ASKED = 3
PEER_LIMITS = CallerLimits(body_bytes_max=MESSAGE_BYTES_MAX)
OWNER_HOLD_MS = 1000.0  # after a change of members, which others see later
ASK_WATCHER_SHARE = 0.5  # of exchanges while it may be gone; others stay in touch


class Peers:
    """Own the listener for peers and the exchanges with them.

    Parameters
    ----------
    known : MembershipTable
        Who is alive.
    knowledge : Knowledge
        What is told and taken.
    log : LineLog
        Log of members that come and go, and of messages that don't arrive.
    metrics : Metrics
        Counters of messages.
    now_ms : callable
        Steady clock.
    apply_ms : float
        Time within which a new configuration is to be in force.
    """

    def __init__(
        self,
        known: MembershipTable,
        store_view: StoreView,
        log: LineLog,
        metrics: Metrics,
        now_ms: Callable[[], float],
        apply_ms: float,
    ) -> None:
        self.known = known
        self._store_view = store_view
        self._log = log
        self._calls = PeerCalls(log, metrics, now_ms)
        self.now_ms = now_ms
        self.attendance = WatcherLiveness(apply_ms)
        self.facts = FactBook()
        self.listener = HttpListener(
            known.own.address,
            self._take,
            lambda: PEER_LIMITS,
            self._calls.rejected,
        )
        self._random = random.Random(known.own.name)
        self._live: frozenset[str] = frozenset()
        self._changed_ms = now_ms()
        self._others: tuple[Member, ...] = ()
        self._is_leaving = False
        self._background = BackgroundTasks()
        self.news = News(known, store_view.mirror, self._tell_member, now_ms)
        self._pulls = Pulls(
            store_view.mirror, partial(self.exchange, wants_news=True), now_ms
        )

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            address = self.partner()
            if address is not None:
                await self.exchange(address)
            self._refresh_members()
            pause_ms = EAGER_MS if self._is_eager() else EXCHANGE_MS
            pause_ms *= self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def leave(self) -> None:
        """Tell the live members that this daemon leaves."""
        self._is_leaving = True
        others = self.known.live(self.now_ms())[1:]
        await asyncio.gather(*(self.exchange(member.address) for member in others))

    async def reaches_others(self) -> bool:
        """Tell whether a member outside the own data centre answers."""
        own = self.known.own
        others = self.known.tracked_peers()
        far = [member for member in others if member.data_centre != own.data_centre]
        asked = self._random.sample(far or others, min(REACH_ASKED, len(far or others)))
        answers = await asyncio.gather(
            *(self.exchange(member.address) for member in asked)
        )
        return any(answers)

    def watches_store(self) -> bool:
        """Tell whether this daemon watches the store for its data centre.

        It also does while those that should haven't heard from the store for long,
        and while it hasn't heard that anybody watches.
        """
        now_ms = self.now_ms()
        if self._store_view.confirmed_age_ms(now_ms) > STALE_MS:
            return True
        live = self.known.live(now_ms)
        own = self.known.own
        rank = chosen_watchers(live, own.data_centre, len(live)).index(own.name)
        return rank < WATCHERS or self.attendance.is_missing(now_ms, rank - WATCHERS)

    def spread_fact(self, fact: Fact) -> None:
        """Tell everybody a fact for good; each message carries it from now on."""
        self.facts.keep(fact)
        self.news.spread_near()
        self.news.spread_far()

    def tell_fact(self, fact: Fact, names: Iterable[str]) -> None:
        """Tell some members a fact once."""
        message = msgspec.structs.replace(self._message(), facts=(fact,))
        for member in self._others:
            if member.name in names:
                self._background.start(self._send(member.address, message))

    def drop_idle(self) -> None:
        """Close the connections to peers on which nothing is under way."""
        self._calls.pools.drop_idle()

    def others(self) -> tuple[Member, ...]:
        """Return the other live members, by name."""
        return self._others

    def owns(self, server: str) -> bool:
        """Tell whether this daemon is the one that may ask a cold server.

        Nobody does for a while after members have come or gone in its eyes, as it
        may not be alone in taking the server over.
        """
        now_ms = self.now_ms()
        own = self.known.own
        live = frozenset(self.known.live_names(now_ms))
        held_ms = now_ms - self._changed_ms
        may_be_alone = not set(self.known.seeds) - {own.address}
        if live != self._live or held_ms < OWNER_HOLD_MS:
            return False
        is_first = rank_names(server, live, 1) == (own.name,)
        return is_first and (self.known.has_seen_peer or may_be_alone)

    def partner(self) -> str | None:
        """Return whom to ask next: the watcher if it may be gone, or anybody."""
        now_ms = self.now_ms()
        in_doubt = self.attendance.is_suspect(now_ms)
        if in_doubt and self._random.random() < ASK_WATCHER_SHARE:
            for member in _watchers(self.known.live(now_ms)):
                if member is not self.known.own:
                    return member.address
        return self.known.partner(now_ms)

    def _is_eager(self) -> bool:
        stale = self._store_view.confirmed_age_ms(self.now_ms()) > STALE_MS
        return stale or not self.known.has_seen_peer

    def _refresh_members(self) -> None:
        members = self.known.live(self.now_ms())
        live = frozenset(member.name for member in members)
        self._others = tuple(sorted(members[1:], key=_name))
        sharers = len(live) if self.known.has_seen_peer else UNKNOWN_SHARERS
        self._store_view.desk.fleet.sharers = sharers
        if live != self._live:
            self._log.write(
                'members',
                'changed',
                live=len(live),
                joined=sorted(live - self._live),
                gone=sorted(self._live - live),
            )
            self._live = live
            self._changed_ms = self.now_ms()
            wanted = {member.address for member in self.known.tracked_peers()}
            wanted.update(self.known.seeds)
            self._calls.pools.keep(wanted.__contains__)

    async def _tell_member(
        self, address: str, news: bytes, tell_on: Sequence[str]
    ) -> bool:
        message = msgspec.structs.replace(
            self._message(), news=news, tell_on=tuple(tell_on)
        )
        return await self._send(address, message)

    async def exchange(
        self, address: str, names_all: bool = False, wants_news: bool = False
    ) -> bool:
        """Tell a peer what is known and hear the same of it; False if it is silent."""
        message = self._message(names_all)
        if wants_news:
            message = msgspec.structs.replace(message, wants_news=True)
        return await self._send(address, message)

    async def _send(self, address: str, sent: PeerMessage) -> bool:
        message = await self._calls.ask(address, sent)
        if message is None:
            return False
        knows_same = self._hear(message)
        if not (knows_same or sent.sightings):
            self._background.start(self.exchange(address, names_all=True))
        return True

    def _take(self, request: HttpRequest) -> None:
        message = decode_message(request.body)
        if message is None:
            self._log.write('members', 'unreadable', bytes=len(request.body))
            request.answer(400, [], b'')
            return
        is_same_roster = self._hear(message)
        if message.tell_on:
            self.news.tell_on(message.news, message.tell_on)
        answer = self._message(names_all=not is_same_roster)
        if message.wants_news and message.revision < self._store_view.mirror.revision:
            news = self.news.since(message.revision)
            answer = msgspec.structs.replace(answer, news=news)
        headers = [('Content-Type', 'application/msgpack')]
        request.answer(200, headers, encode_message(answer))

    def _message(self, names_all: bool = False) -> PeerMessage:
        now_ms = self.now_ms()
        sightings = self.known.sightings(now_ms) if names_all else ()
        own = self.known.own
        attendance = self.attendance
        reported_age_ms = (
            attendance.reported_age_ms(now_ms)
            if self.watches_store()
            else attendance.age_ms(now_ms)
        )
        return PeerMessage(
            own.name,
            own.address,
            own.data_centre,
            self._store_view.mirror.revision,
            self._store_view.confirmed_age_ms(now_ms),
            self.known.census(now_ms),
            tuple(WireSighting.of(sighting) for sighting in sightings),
            facts=self.facts.kept(),
            attended_age_ms=reported_age_ms,
            is_leaving=self._is_leaving,
        )

    def _hear(self, message: PeerMessage) -> bool:
        """Take what a peer says; tell whether it knows the same members."""
        now_ms = self.now_ms()
        if message.is_leaving:
            self.known.remove(message.name)
            return True
        self.known.record((LivenessRecord(message.sender, 0),), now_ms)
        self.known.record((seen.sighting for seen in message.sightings), now_ms)
        is_same_roster = self.known.record_ages(message.census, now_ms)
        self.attendance.record(message.attended_age_ms, now_ms)
        is_far = message.data_centre != self.known.own.data_centre
        if self.facts.take(message.facts) and is_far:
            self.news.spread_near()
        self._take_news(message, is_far)
        self._pulls.heard(message.address, message.revision)
        return is_same_roster

    def _take_news(self, message: PeerMessage, is_far: bool) -> None:
        now_ms = self.now_ms()
        heard = Provenance(message.name, message.age_ms)
        try:
            batch = decode_news(message.news)
        except NewsError as error:
            self._log.write(
                'members', 'unreadable', bytes=error.packed_bytes, reason=error.reason
            )
            return
        known_revision = self._store_view.mirror.revision
        if batch is None:
            self._store_view.confirm(message.revision, heard, now_ms)
        elif self._store_view.take(
            batch, heard, now_ms, is_newest=message.revision == batch.revision
        ):
            if is_far:
                self.news.spread(known_revision)


def _watchers(live: tuple[Member, ...]) -> list[Member]:
    """Return who watches the store for the data centre of the first."""
    names = chosen_watchers(live, live[0].data_centre, WATCHERS)
    return [member for member in live if member.name in names]


def _name(member: Member) -> str:
    return member.name
