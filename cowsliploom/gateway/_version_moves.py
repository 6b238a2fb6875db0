"""One entry VM's part in the version moves that operators request.

Imported at the first move request, as most processes never receive one.
"""

import time
from collections.abc import Iterable, Iterator
from dataclasses import replace

from cowsliploom import platform
from cowsliploom.forwarding import CompletedCall, VersionSplit
from cowsliploom.gateway._active_order import ActiveOrder, decode_state
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._bake_log import BakeLog
from cowsliploom.gateway._controller_role import ControllerRole
from cowsliploom.gateway._evidence_log import EvidenceLog
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._move_states import MoveStates
from cowsliploom.gateway._peer_wire import Fact
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._repeated_states import RepeatedStates
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._stored_moves import STATE_PREFIX
from cowsliploom.gateway._stored_vetoes import StoredVetoes
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.rollout import (
    AnnounceFact,
    CandidateChanged,
    FleetView,
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
    veto_fact,
)

MS_PER_S = 1000


class VersionMoves:
    """Run this entry VM's part in all version moves.

    Parameters
    ----------
    store_view : StoreView
        Move requests, states and servers.
    peers : Peers
        Members, which determine the controller, and exchange of facts.
    store : PlatformStore
        Client of the store.
    log : LineLog
        Log of shares, evidence and vetoes.
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
        self._vetoes = StoredVetoes(store, store_view.mirror, log)
        self._role = ControllerRole(peers, log)
        self._repeated = RepeatedStates(self._states, self._role)
        self._evidence_log = EvidenceLog(self._rollout, log)
        self._bake_log = BakeLog(self._rollout, log)
        self._log = log
        self._active_orders: dict[str, ActiveOrder] = {}
        self._ended_services: set[str] = set()
        self._raised: dict[str, Veto] = {}
        self._running: tuple[Move, ...] = ()
        self._entry_count = 0
        self._state_revisions: dict[str, int] = {}
        self._background = BackgroundTasks()
        store_view.dispatcher.calls.on_call = self._sample
        peers.facts.on_fact = self._receive_fact
        for fact in peers.facts.persistent():
            self._receive_fact(fact)

    def tick(self) -> None:
        """Apply changes and judge; as the controller, change shares that are due."""
        self._update_orders()
        self._declare_moves()
        self._apply_states()
        self._declare_moves()
        self._exchange_vetoes()
        now_ms = self._peers.now_ms()
        is_controller = CandidateChanged(now_ms, self._role.update())
        self._perform(self._rollout.step_controller(is_controller))
        if self._role.is_held:
            self._repeated.confirm(self._repeated_orders())
        self._repeated.restore(self._unvetoed_orders())
        view = _fleet_view(self._peers, self._store_view, self._running)
        self._perform(self._rollout.tick(now_ms, time.time() * MS_PER_S, view))
        self._evidence_log.write(self._running, self._role.is_judge(), now_ms)
        if self._role.is_held:
            self._bake_log.write(self._running, now_ms)

    def _exchange_vetoes(self) -> None:
        """Apply vetoes that the store has, and write those that it lacks.

        The judges do, and the VM that raised a veto, as the judges may be frozen.
        """
        now_ms = self._peers.now_ms()
        for service in self._active_orders:
            stored = self._vetoes.read(service)
            if stored is not None:
                fact = veto_fact(stored)
                self._receive_fact(Fact(fact.key, fact.generation, fact.blob))
        is_judge = self._role.is_judge()
        for veto in self._rollout.vetoes():
            is_raised_here = self._raised.get(veto.service) == veto
            if veto.service in self._active_orders and (is_judge or is_raised_here):
                self._vetoes.record(veto, now_ms)

    def _update_orders(self) -> None:
        orders = self._store_view.orders
        now_ms = self._peers.now_ms()
        for service, order in orders.items():
            known = self._active_orders.get(service)
            if known is None or known.order.to_version != order.to_version:
                self._forget(service)
                self._active_orders[service] = ActiveOrder(order, now_ms)
            elif known.order != order:
                self._active_orders[service] = replace(known, order=order)
        for gone in self._active_orders.keys() - orders.keys():
            self._forget(gone)

    def _forget(self, service: str) -> None:
        """Remove all data on a move request that has ended."""
        self._active_orders.pop(service, None)
        self._raised.pop(service, None)
        self._state_revisions.pop(service, None)
        self._states.known.forget(service)
        self._ended_services.discard(service)

    def _apply_states(self) -> None:
        for service in self._active_orders:
            item = self._store_view.mirror.get(f'{STATE_PREFIX}{service}')
            known_revision = self._state_revisions.get(service, 0)
            if item is not None and item.revision > known_revision:
                self._state_revisions[service] = item.revision
                state = decode_state(item.content)
                if state is not None:
                    self._apply_state(service, state, item.revision)

    def _apply_state(self, service: str, state: MoveState, revision: int) -> None:
        active = self._active_orders[service]
        if not active.matches(state):
            return
        state = self._states.known.merge(service, state, revision)
        now_ms = self._peers.now_ms()
        active = active.backdated(state, now_ms)
        self._active_orders[service] = active
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
        is_vetoed = _is_vetoed(service, state, self._rollout.vetoes())
        if state.status is not MoveStatus.RUNNING and not is_vetoed:
            self._ended_services.add(service)
            split = VersionSplit(state.to_version, state.share)
            self._store_view.dispatcher.fleet.split(service, split)
        event = ShareReceived(now_ms, service, active.with_local_times(state), revision)
        self._perform(self._rollout.step_controller(event))

    def _declare_moves(self) -> None:
        """Declare the running moves to the rollout; ended ones keep their share."""
        running = tuple(self._running_moves())
        entries = len(self._peers.others()) + 1
        if (running, entries) == (self._running, self._entry_count):
            return
        known = {move.service for move in self._running}
        self._running = running
        self._entry_count = entries
        now_ms = self._peers.now_ms()
        self._perform(self._rollout.declare(now_ms, running, entries))
        calls = self._store_view.dispatcher.calls
        calls.watched = self._rollout.moved_services()
        for service in calls.watched - known:
            for call in calls.latest(service):
                self._sample(call)
        self._peers.facts.retain(self._concerns_current_request)

    def _running_moves(self) -> Iterator[Move]:
        fleet = self._store_view.dispatcher.fleet
        for service, active in self._active_orders.items():
            if service not in self._ended_services:
                versions = [server.record.version for server in fleet.serving(service)]
                yield active.as_move(versions.count(active.order.to_version))

    def _concerns_current_request(self, fact: Fact) -> bool:
        """Return whether a veto concerns a current move request."""
        try:
            veto = decode_json(fact.blob, Veto)
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=fact.key, reason=error.reason)
            return False
        active = self._active_orders.get(veto.service)
        return active is not None and veto.to_version == active.order.to_version

    def _sample(self, call: CompletedCall) -> None:
        active = self._active_orders.get(call.server.record.service)
        if active is not None:
            self._rollout.sample(active.sample(call))

    def _receive_fact(self, fact: Fact) -> None:
        now_ms = self._peers.now_ms()
        if fact.key.startswith(self._peers.facts.persistent_prefix):
            self._log.write('move', 'veto heard', veto=fact.key)
            self._reopen(fact)
        commands = self._rollout.handle_fact(
            now_ms, fact.key, fact.generation, fact.blob
        )
        self._perform(commands)

    def _reopen(self, fact: Fact) -> None:
        """Take up a move again that was reported as finished without this veto."""
        try:
            service = decode_json(fact.blob, Veto).service
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=fact.key, reason=error.reason)
            return
        if service in self._ended_services:
            self._ended_services.discard(service)
            self._state_revisions.pop(service, None)

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
            self._store_view.dispatcher.fleet.split(share.service, split)

    def _announce(self, announced: AnnounceFact) -> None:
        """Send a veto to all members, and evidence to the judges.

        Share facts are not sent, as members read the states from the store.
        """
        fact = Fact(announced.key, announced.generation, announced.blob)
        if announced.key.startswith(self._peers.facts.persistent_prefix):
            veto = self._rollout.vetoes()[-1]
            self._log.write(
                'move',
                'vetoed',
                service=veto.service,
                to_version=veto.to_version,
                reason=veto.reason.value,
                evidence=veto.evidence,
            )
            self._raised[veto.service] = veto
            self._peers.broadcast_fact(fact)
            self._vetoes.record(veto, self._peers.now_ms())
        elif announced.key.startswith('evidence/'):
            self._peers.send_fact(fact, self._role.judges())

    def _repeated_orders(self) -> Iterator[ActiveOrder]:
        """Return the requests that came again after their moves had ended."""
        for service in self._ended_services:
            active = self._active_orders[service]
            if active.order.revision > self._state_revisions[service]:
                yield active

    def _unvetoed_orders(self) -> Iterator[ActiveOrder]:
        """Return the requests whose known states no veto outranks."""
        vetoes = self._rollout.vetoes()
        for service, active in self._active_orders.items():
            known = self._states.known.get(service, active.order.to_version)
            if known is not None and not _is_vetoed(service, known.state, vetoes):
                yield active

    async def _read(self, service: str) -> None:
        answer = await self._states.read(service, self._active_orders.get(service))
        event = StateRead(self._peers.now_ms(), service, answer)
        self._perform(self._rollout.step_controller(event))

    async def _swap(self, command: SwapState) -> None:
        active = self._active_orders.get(command.move)
        vetoes = self._vetoes.expected(command.move)
        answer = await self._states.write(command, active, vetoes)
        event = StateSwapped(self._peers.now_ms(), command.move, answer)
        self._perform(self._rollout.step_controller(event))


def _is_vetoed(service: str, state: MoveState, vetoes: Iterable[Veto]) -> bool:
    """Return whether a veto outranks a finished state that was written without it."""
    return state.status is MoveStatus.FINISHED and any(
        (veto.service, veto.to_version) == (service, state.to_version)
        for veto in vetoes
    )


def _fleet_view(
    peers: Peers, store_view: StoreView, moves: Iterable[Move]
) -> FleetView:
    """Return the live members, and the open calls of the new versions."""
    members = (peers.known.own.name, *(member.name for member in peers.others()))
    fleet = store_view.dispatcher.fleet
    open_calls_ms = {
        move.service: tuple(
            sent_ms
            for server in fleet.serving(move.service)
            if server.record.version == move.to_version
            for sent_ms in server.open_calls.values()
        )
        for move in moves
    }
    return FleetView(frozenset(members), open_calls_ms)
