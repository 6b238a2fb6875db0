"""The version moves that operators order, as one entry VM takes part in them.

Loaded with the first order, as most processes never see one.
"""

import asyncio
import time
from collections.abc import Iterator
from dataclasses import replace

from cowsliploom import platform
from cowsliploom.forwarding import CompletedCall, VersionSplit
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._move_states import MoveStates
from cowsliploom.gateway._ordered import Ordered, decode_state
from cowsliploom.gateway._peer_wire import Fact
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._stored_moves import STATE_PREFIX
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.rollout import (
    AnnounceFact,
    CandidateChanged,
    Move,
    MoveState,
    MoveStatus,
    ReadState,
    RolloutCommand,
    ShareReceived,
    SharesChanged,
    StateRead,
    StateSwapped,
    SwapState,
    Veto,
    cautious_rollout,
)

MS_PER_S = 1000
EVIDENCE_LINES_MS = 1000
CONFIRM_PAUSE_MS = 1000  # until the write is seen, or tried again
JOB = 'version-moves'
JUDGES = 2  # hear all evidence: the controller, and who would be the next one


class VersionMoves:
    """Own this entry VM's part in all version moves.

    Parameters
    ----------
    knowledge : Knowledge
        Orders, states and servers.
    peers : Peers
        Who is the controller, and how facts are told.
    store : PlatformStore
        Where states are kept.
    log : LineLog
        Log of shares and ends.
    """

    def __init__(
        self,
        store_view: StoreView,
        peers: Peers,
        store: platform.PlatformStore,
        log: LineLog,
    ) -> None:
        own = peers.known.own.name
        start = str(time.time_ns())
        self._rollout = cautious_rollout(own, start)
        self._store_view = store_view
        self._peers = peers
        self._states = MoveStates(store, store_view.mirror, log)
        self._log = log
        self._ordered: dict[str, Ordered] = {}
        self._ended: set[str] = set()
        self._confirming: set[str] = set()
        self._running: tuple[Move, ...] = ()
        self._entries = 0
        self._state_revisions: dict[str, int] = {}
        self._background = BackgroundTasks()
        self._evidence_told_ms = float('-inf')
        store_view.desk.calls.on_call = self._sample
        peers.facts.on_fact = self._hear
        for fact in peers.facts.kept():
            self._hear(fact)

    def tick(self) -> None:
        """Take what has changed, judge, and move shares where that is due here."""
        self._take_orders()
        self._declare()
        self._take_states()
        self._declare()
        now_ms = self._peers.now_ms()
        is_first = self._judges()[0] == self._peers.known.own.name
        self._perform(self._rollout.step_controller(CandidateChanged(now_ms, is_first)))
        if is_first:
            self._confirm_ended()
        self._perform(self._rollout.tick(now_ms, time.time() * MS_PER_S))
        self._log_evidence(now_ms)

    def _log_evidence(self, now_ms: float) -> None:
        """Tell what the calls of the new versions have come to, once a second."""
        if now_ms < self._evidence_told_ms + EVIDENCE_LINES_MS:
            return
        self._evidence_told_ms = now_ms
        for move in self._running:
            finding = self._rollout.strongest_finding(move.name)
            state = self._rollout.states().get(move.name)
            if finding is not None and finding.calls:
                self._log.write(
                    'move',
                    'evidence',
                    service=move.service,
                    to_version=move.to_version,
                    share=state.share if state else 0,
                    is_judge=self._peers.known.own.name in self._judges(),
                    kind=finding.kind.value,
                    route=finding.route,
                    calls=finding.calls,
                    bad=finding.bad,
                    allowed_rate=round(finding.allowed_rate, 4),
                    e_value=round(finding.e_value, 2),
                )

    def _judges(self) -> tuple[str, ...]:
        return self._peers.known.rank_live(JOB, self._peers.now_ms(), JUDGES)

    def _take_orders(self) -> None:
        orders = self._store_view.orders
        now_ms = self._peers.now_ms()
        for service, order in orders.items():
            known = self._ordered.get(service)
            if known is None or known.order.to_version != order.to_version:
                self._forget(service)
                self._ordered[service] = Ordered(order, now_ms)
            elif known.order != order:
                self._ordered[service] = replace(known, order=order)
        for gone in self._ordered.keys() - orders.keys():
            self._forget(gone)

    def _forget(self, service: str) -> None:
        """Forget what belongs to an order that doesn't stand any more."""
        self._ordered.pop(service, None)
        self._state_revisions.pop(service, None)
        self._ended.discard(service)

    def _take_states(self) -> None:
        for service in self._ordered:
            item = self._store_view.mirror.get(f'{STATE_PREFIX}{service}')
            known_revision = self._state_revisions.get(service, 0)
            if item is not None and item.revision > known_revision:
                self._state_revisions[service] = item.revision
                state = decode_state(item.content)
                if state is not None:
                    self._take_state(service, state, item.revision)

    def _take_state(self, service: str, state: MoveState, revision: int) -> None:
        ordered = self._ordered[service]
        if not ordered.concerns(state):
            return
        now_ms = self._peers.now_ms()
        ordered = ordered.not_before(state, now_ms)
        self._ordered[service] = ordered
        self._log.write(
            'move',
            'share',
            service=service,
            to_version=state.to_version,
            share=state.share,
            step=state.step,
            requests=state.requests,
            status=state.status.value,
            reason=state.reason,
            revision=revision,
        )
        if state.status is not MoveStatus.RUNNING:
            self._ended.add(service)
            split = VersionSplit(state.to_version, state.share)
            self._store_view.desk.fleet.split(service, split)
        heard = ShareReceived(now_ms, service, ordered.localized(state), revision)
        self._perform(self._rollout.step_controller(heard))

    def _declare(self) -> None:
        """Judge and control the moves that still run; ended ones keep their share."""
        running = tuple(self._running_moves())
        entries = len(self._peers.others()) + 1
        if (running, entries) == (self._running, self._entries):
            return
        known = {move.service for move in self._running}
        self._running = running
        self._entries = entries
        now_ms = self._peers.now_ms()
        self._perform(self._rollout.declare(now_ms, running, entries))
        calls = self._store_view.desk.calls
        calls.watched = self._rollout.moved_services()
        for service in calls.watched - known:
            for call in calls.latest(service):
                self._sample(call)
        self._peers.facts.forget_unless(self._is_open_veto)

    def _running_moves(self) -> Iterator[Move]:
        fleet = self._store_view.desk.fleet
        for service, ordered in self._ordered.items():
            if service not in self._ended:
                versions = [server.record.version for server in fleet.serving(service)]
                yield ordered.as_move(versions.count(ordered.order.to_version))

    def _is_open_veto(self, fact: Fact) -> bool:
        """Tell whether a veto is on an order that still stands."""
        try:
            veto = decode_json(fact.blob, Veto)
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=fact.key, reason=error.reason)
            return False
        ordered = self._ordered.get(veto.service)
        return ordered is not None and veto.to_version == ordered.order.to_version

    def _sample(self, call: CompletedCall) -> None:
        ordered = self._ordered.get(call.server.record.service)
        if ordered is not None:
            self._rollout.sample(ordered.sample(call))

    def _hear(self, fact: Fact) -> None:
        now_ms = self._peers.now_ms()
        if fact.key.startswith(self._peers.facts.lasting_prefix):
            self._log.write('move', 'veto heard', veto=fact.key)
        commands = self._rollout.handle_fact(
            now_ms, fact.key, fact.generation, fact.blob
        )
        self._perform(commands)

    def _perform(self, commands: tuple[RolloutCommand, ...]) -> None:
        for command in commands:
            match command:
                case SharesChanged():
                    self._split(command)
                case AnnounceFact():
                    self._announce(command)
                case ReadState(move):
                    self._background.start(self._read(move))
                case SwapState():
                    self._background.start(self._swap(command))

    def _split(self, changed: SharesChanged) -> None:
        for share in changed.shares:
            split = VersionSplit(share.to_version, share.share)
            self._store_view.desk.fleet.split(share.service, split)

    def _announce(self, told: AnnounceFact) -> None:
        """Tell a veto to all, evidence to those who judge; states are the store's."""
        fact = Fact(told.key, told.generation, told.blob)
        if told.key.startswith(self._peers.facts.lasting_prefix):
            veto = self._rollout.vetoes()[-1]
            self._log.write(
                'move',
                'vetoed',
                service=veto.service,
                to_version=veto.to_version,
                reason=veto.reason.value,
                evidence=veto.evidence,
            )
            self._peers.spread_fact(fact)
        elif told.key.startswith('evidence/'):
            self._peers.tell_fact(fact, self._judges())

    def _confirm_ended(self) -> None:
        """Tell an operator who orders an ended move again how it has ended."""
        for service in self._ended - self._confirming:
            order = self._ordered[service].order
            if order.revision > self._state_revisions[service]:
                self._confirming.add(service)
                self._background.start(self._confirm(service))

    async def _confirm(self, service: str) -> None:
        await self._states.confirm(self._ordered[service])
        await asyncio.sleep(CONFIRM_PAUSE_MS / MS_PER_S)
        self._confirming.discard(service)

    async def _read(self, service: str) -> None:
        answer = await self._states.read(service, self._ordered.get(service))
        event = StateRead(self._peers.now_ms(), service, answer)
        self._perform(self._rollout.step_controller(event))

    async def _swap(self, command: SwapState) -> None:
        ordered = self._ordered.get(command.move)
        answer = await self._states.write(command, ordered)
        event = StateSwapped(self._peers.now_ms(), command.move, answer)
        self._perform(self._rollout.step_controller(event))
