"""The task that exchanges members, updates and facts with other entry VMs."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from functools import partial

import msgspec

from cowsliploom.dataplane import Admission, HttpListener, HttpRequest, Use
from cowsliploom.forwarding import CallerLimits
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._expiry_hold import StoreOutage
from cowsliploom.gateway._facts import FactRegistry
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_calls import MESSAGE_BYTES_MAX, PeerCalls
from cowsliploom.gateway._peer_wire import (
    MESSAGE_VERSION,
    Fact,
    PeerMessage,
    UpdatesError,
    decode_message,
    decode_updates,
    encode_message,
)
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._roster_sync import RosterSync
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._update_fetcher import UpdateFetcher
from cowsliploom.gateway._update_propagation import UpdatePropagation
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.gateway._where import PATH as WHERE_PATH
from cowsliploom.gateway._where import answer_where
from cowsliploom.members import (
    STALE_MS,
    WATCHERS,
    Census,
    Member,
    MembershipTable,
    WatcherLiveness,
    WatchInputs,
    chosen_watchers,
    must_watch,
    rank_names,
)

MS_PER_S = 1000
EXCHANGE_MS = 500.0
FAST_EXCHANGE_MS = 120.0  # while no member is known or the store does not answer
ASSUMED_SHARERS = 12  # until a member is known: cautious, as there may be many
REACH_PROBES = 3
NO_CENSUS = Census(0, ())  # of a member that leaves, which all others are told
PEER_LIMITS = CallerLimits(body_bytes_max=MESSAGE_BYTES_MAX)
OWNER_HOLD_MS = 1000.0  # after a membership change, which others may see later
ASK_WATCHER_SHARE = 0.5  # of exchanges while it is suspect; the rest go to others


class Peers:
    """Own the listener for peers and the exchanges with them.

    Parameters
    ----------
    known : MembershipTable
        Known members.
    store_view : StoreView
        Store contents that are sent and to which received updates are applied.
    log : LineLog
        Log of membership changes and of failed messages.
    metrics : Metrics
        Counters of messages.
    now_ms : callable
        Monotonic clock.
    apply_ms : float
        Time within which a new configuration is to be in force.
    usage : UsageExchange or None
        Counts of usage that messages carry. Default none.
    admission : Admission or None
        Account of the process. Default one without limits.
    """

    def __init__(
        self,
        known: MembershipTable,
        store_view: StoreView,
        log: LineLog,
        metrics: Metrics,
        now_ms: Callable[[], float],
        apply_ms: float,
        usage: UsageExchange | None = None,
        admission: Admission | None = None,
    ) -> None:
        self.known = known
        self._usage = usage or UsageExchange()
        self._roster_sync = RosterSync(known)
        self._store_view = store_view
        self._log = log
        admission = Admission() if admission is None else admission
        self._calls = PeerCalls(log, metrics, now_ms, admission)
        self.now_ms = now_ms
        self.watcher_liveness = WatcherLiveness(apply_ms)
        self.facts = FactRegistry()
        self.listener = HttpListener(
            known.own.address,
            self._handle_request,
            lambda: PEER_LIMITS,
            self._calls.rejected,
            admission,
            Use.PEERS,
        )
        self._random = random.Random(known.own.name)
        self._live: frozenset[str] = frozenset()
        self._started_ms = now_ms()
        self._changed_ms = self._started_ms
        self._others: tuple[Member, ...] = ()
        self._is_leaving = False
        self._background = BackgroundTasks()
        self.updates = UpdatePropagation(
            known, store_view.mirror, self._send_updates, now_ms
        )
        self._update_fetcher = UpdateFetcher(
            store_view.mirror, partial(self.exchange, wants_updates=True), now_ms
        )

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            address = self.partner()
            if address is not None:
                await self.exchange(address)
            self._refresh_members()
            pause_ms = FAST_EXCHANGE_MS if self._needs_fast_exchange() else EXCHANGE_MS
            pause_ms *= self._random.uniform(0.7, 1.3)
            await asyncio.sleep(pause_ms / MS_PER_S)

    async def leave(self) -> None:
        """Announce to the live members that this daemon stops."""
        self._is_leaving = True
        others = self.known.live(self.now_ms())[1:]
        await asyncio.gather(*(self.exchange(member.address) for member in others))

    async def reaches_others(self) -> bool:
        """Return whether a member of another data centre answers.

        Asks members of the local data centre if no other one is known.
        """
        own = self.known.own
        others = self.known.tracked_peers()
        remote = [member for member in others if member.data_centre != own.data_centre]
        asked = self._random.sample(
            remote or others, min(REACH_PROBES, len(remote or others))
        )
        answers = await asyncio.gather(
            *(self.exchange(member.address) for member in asked)
        )
        return any(answers)

    def watches_store(self) -> bool:
        """Return whether this daemon must watch the store for its data centre."""
        now_ms = self.now_ms()
        own = self.known.own
        live = self.known.live(now_ms)
        ranked = chosen_watchers(live, own.data_centre, len(live))
        others = set(self.known.seeds) - {own.address}
        inputs = WatchInputs(
            rank=ranked.index(own.name),
            is_seed=own.address in self.known.seeds or not others,
            has_seen_peer=self.known.has_seen_peer,
            up_ms=now_ms - self._started_ms,
            has_contents=self._store_view.mirror.revision > 0,
            confirmed_age_ms=self._store_view.confirmed_age_ms(now_ms),
        )
        return must_watch(inputs, self.watcher_liveness, now_ms)

    def broadcast_fact(self, fact: Fact) -> None:
        """Send a persistent fact to all members; each later message carries it."""
        self.facts.add(fact)
        self.updates.send_to_own_data_centre()
        self.updates.notify_other_data_centres()

    def send_fact(self, fact: Fact, names: Iterable[str]) -> None:
        """Send a fact once to some members."""
        message = msgspec.structs.replace(self._message(), facts=(fact,))
        for member in self._others:
            if member.name in names:
                self._background.start(self._send(member.address, message))

    def resume(self) -> None:
        """Own no cold server for a while, and close idle connections.

        After a suspension, others may have taken over what this VM owned.
        """
        self._changed_ms = self.now_ms()
        self._calls.pools.drop_idle()

    def others(self) -> tuple[Member, ...]:
        """Return the other live members, sorted by name."""
        return self._others

    def owns(self, server: str) -> bool:
        """Return whether this daemon is the one that may call a cold server.

        It owns no server for a while after a membership change, as another member may
        take the server over at the same time.
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
        """Return the next address to exchange with.

        While the watcher is suspect, it is preferred.
        """
        now_ms = self.now_ms()
        is_suspect = self.watcher_liveness.is_suspect(now_ms)
        if is_suspect and self._random.random() < ASK_WATCHER_SHARE:
            for member in _watchers(self.known.live(now_ms)):
                if member is not self.known.own:
                    return member.address
        return self._usage.partner() or self.known.partner(now_ms)

    def _needs_fast_exchange(self) -> bool:
        stale = self._store_view.confirmed_age_ms(self.now_ms()) > STALE_MS
        return stale or not self.known.has_seen_peer

    def _refresh_members(self) -> None:
        members = self.known.live(self.now_ms())
        live = frozenset(member.name for member in members)
        self._others = tuple(sorted(members[1:], key=_name))
        sharers = len(live) if self.known.has_seen_peer else ASSUMED_SHARERS
        self._store_view.dispatcher.fleet.sharers = sharers
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

    async def _send_updates(
        self, address: str, updates: bytes, tell_on: Sequence[str]
    ) -> bool:
        message = msgspec.structs.replace(
            self._message(), news=updates, tell_on=tuple(tell_on)
        )
        return await self._send(address, message)

    async def exchange(self, address: str, wants_updates: bool = False) -> bool:
        """Exchange messages with a peer; return whether it answered.

        Parameters
        ----------
        address : str
            Address of the peer.
        wants_updates : bool
            Whether to request the updates that are missing here. Default False.
        """
        message = self._message()
        if wants_updates:
            message = msgspec.structs.replace(message, wants_news=True)
        return await self._send(address, message)

    async def _send(self, address: str, sent: PeerMessage) -> bool:
        sent = self._usage.annotate(sent, address)
        sent_ms = self.now_ms()
        message = await self._calls.call(address, sent)
        if message is None:
            return False
        now_ms = self.now_ms()
        leaving = self._store_view.dispatcher.fleet.leaving
        leaving.travel.add(message.data_centre, now_ms - sent_ms, now_ms)
        self._usage.acknowledge(address, sent)
        if not self._apply_message(message):
            follow_up = self._roster_sync.follow_up(
                self._message(), sent, message, self.now_ms()
            )
            if follow_up is not None:
                self._background.start(self._send(address, follow_up))
        return True

    def _handle_request(self, request: HttpRequest) -> None:
        if request.target == WHERE_PATH:
            answer_where(self._store_view.dispatcher, request, self.now_ms())
            return
        message = decode_message(request.body)
        if message is None:
            self._log.write('members', 'unreadable', bytes=len(request.body))
            request.answer(400, [], b'')
            return
        is_same_roster = self._apply_message(message)
        if message.tell_on:
            self.updates.forward(message.news, message.tell_on)
        answer = self._message()
        if not is_same_roster:
            answer = self._roster_sync.answer(answer, message, self.now_ms())
        if message.wants_news and message.revision < self._store_view.mirror.revision:
            updates = self.updates.encoded_since(message.revision)
            answer = msgspec.structs.replace(answer, news=updates)
        answer = self._usage.annotate(answer)
        headers = [('Content-Type', 'application/msgpack')]
        request.answer(200, headers, encode_message(answer))

    def _message(self) -> PeerMessage:
        now_ms = self.now_ms()
        own = self.known.own
        census = NO_CENSUS if self._is_leaving else self.known.census(now_ms)
        watcher_liveness = self.watcher_liveness
        attended_age_ms = (
            watcher_liveness.reported_age_ms(now_ms)
            if self.watches_store()
            else watcher_liveness.age_ms(now_ms)
        )
        return PeerMessage(
            own.name,
            own.address,
            own.data_centre,
            self._store_view.mirror.revision,
            self._store_view.confirmed_age_ms(now_ms),
            census,
            facts=self.facts.persistent(),
            attended_age_ms=attended_age_ms,
            is_leaving=self._is_leaving,
            version=MESSAGE_VERSION,
            outage_ages_ms=self._store_view.expiry_hold.ages_ms(now_ms),
        )

    def _apply_message(self, message: PeerMessage) -> bool:
        """Apply a peer's message; return whether it knows the same members."""
        now_ms = self.now_ms()
        if message.is_leaving:
            self.known.remove(message.name)
            return True
        self._usage.receive(message, now_ms)
        is_same_roster = self._roster_sync.apply(message, now_ms)
        self.watcher_liveness.record(message.attended_age_ms, now_ms)
        is_remote = message.data_centre != self.known.own.data_centre
        if self.facts.receive(message.facts) and is_remote:
            self.updates.send_to_own_data_centre()
        self._apply_updates(message, is_remote)
        self._update_fetcher.note_revision(message.address, message.revision)
        return is_same_roster

    def _apply_updates(self, message: PeerMessage, is_remote: bool) -> None:
        now_ms = self.now_ms()
        provenance = Provenance(message.name, message.age_ms)
        if len(message.outage_ages_ms) == 2:
            lost_age_ms, recovered_age_ms = message.outage_ages_ms
            outage = StoreOutage(now_ms - lost_age_ms, now_ms - recovered_age_ms)
            self._store_view.note_outage(outage, message.name)
        try:
            batch = decode_updates(message.news)
        except UpdatesError as error:
            self._log.write(
                'members',
                'unreadable',
                bytes=error.compressed_bytes,
                reason=error.reason,
            )
            return
        known_revision = self._store_view.mirror.revision
        if batch is None:
            self._store_view.confirm(message.revision, provenance, now_ms)
        elif self._store_view.apply(
            batch, provenance, now_ms, is_newest=message.revision == batch.revision
        ):
            if is_remote:
                self.updates.propagate(known_revision)


def _watchers(live: tuple[Member, ...]) -> list[Member]:
    """Return the watchers of the store in the data centre of the first member."""
    names = chosen_watchers(live, live[0].data_centre, WATCHERS)
    return [member for member in live if member.name in names]


def _name(member: Member) -> str:
    return member.name
