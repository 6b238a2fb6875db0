"""Controller of version moves: one daemon at a time; any other can take over."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue, decode_json
from cowsliploom.rollout._control_messages import (
    CandidateChanged,
    ControllerCommand,
    ControllerEvent,
    ControllerTick,
    LeaseAnswered,
    ReadState,
    ShareReceived,
    StateRead,
    StateSwapped,
    SwapState,
)
from cowsliploom.rollout._holds import is_share_held, lacks_bake
from cowsliploom.rollout._judge import MovesDeclared, VetoReceived
from cowsliploom.rollout._leadership import AssignedLeadership, LeaseLeadership
from cowsliploom.rollout._moves import (
    Move,
    MoveState,
    MoveStatus,
    Veto,
    share_fact,
)
from cowsliploom.rollout._schedule import (
    DEFAULT_SCHEDULE,
    Progress,
    Schedule,
    is_step_due,
)
from cowsliploom.rollout._states import (
    exposed_requests,
    first_state,
    next_step,
    rolled_back,
    rolled_back_in_doubt,
)
from cowsliploom.rollout._traffic import Traffic

RETRY_MS = 1000  # between attempts of a failed call to the store
FOLLOWER_READ_MS = 10_000  # a candidate that received no state by then reads it
MISSED_TIME_MS = 1000  # a longer gap between ticks may hide vetoes of others
STALE_SPEC_MS = 10_000  # configurations are in force everywhere sooner than this
VETOES_MAX = 256  # vetoes kept, also of moves not yet declared
NOT_COUNTED = -1  # a new controller counts samples from its first tick on
NO_STATE = MoveState(0, '', MoveStatus.RUNNING, 0, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class _TrackedMove:
    move: Move
    declared_ms: float
    version: int = 0
    state: MoveState = NO_STATE
    is_known: bool = False
    is_call_pending: bool = False
    pending: MoveState = NO_STATE
    retry_ms: float = -math.inf
    samples_at_step: int = NOT_COUNTED
    traffic: Traffic = Traffic()
    settled_ms: float = -math.inf
    restarted_ms: float = -math.inf


class Controller:
    """Raise shares by schedule while this daemon is the controller, or follow.

    Parameters
    ----------
    leadership : LeaseLeadership or AssignedLeadership
        How this daemon becomes the controller.
    schedule : Schedule
        Shares of a move and the pace of its steps. Default ``DEFAULT_SCHEDULE``.
    retries_rejected : bool
        Whether a version that was rolled back may be moved to in a later generation.
        Default True.

    Notes
    -----
    The store's version of ``moves/{name}`` fences controllers and orders the states
    that daemons exchange; a share is announced only once it is known to be in the
    store. While the store is unavailable no share changes. A veto takes effect
    without a controller; the next controller writes its status.

    Examples
    --------
    >>> from cowsliploom.rollout import Controller, ControllerTick, Move
    >>> from cowsliploom.rollout import LeaseLeadership, MovesDeclared
    >>> controller = Controller(LeaseLeadership('entry-1#1'))
    >>> move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, 60_000)
    >>> _ = controller.step(MovesDeclared(0, (move,), entries=1))
    >>> controller.step(ControllerTick(10, samples={}))[0].call.holder
    'entry-1#1'
    """

    def __init__(
        self,
        leadership: LeaseLeadership | AssignedLeadership,
        schedule: Schedule = DEFAULT_SCHEDULE,
        retries_rejected: bool = True,
    ) -> None:
        self._leadership = leadership
        self._retries_rejected = retries_rejected
        self._schedule = schedule
        self._tracked: dict[str, _TrackedMove] = {}
        self._vetoes: dict[tuple[str, str, int], Veto] = {}
        self._is_candidate = True
        self._ticked_ms = math.inf

    def step(self, event: ControllerEvent) -> tuple[ControllerCommand, ...]:
        """Handle an event and return the commands that follow from it."""
        match event:
            case MovesDeclared():
                self._declare(event)
            case CandidateChanged(is_candidate=is_candidate):
                self._is_candidate = is_candidate
                is_new = self._leadership.assign(is_assigned=is_candidate)
                self._restart_moves(event.now_ms, is_new)
            case LeaseAnswered():
                self._restart_moves(event.now_ms, self._leadership.handle_answer(event))
            case StateRead():
                return self._handle_read(event)
            case StateSwapped():
                return self._handle_swap(event)
            case ShareReceived():
                self._handle_share(event)
            case VetoReceived(veto=veto):
                self._record_veto(veto)
            case ControllerTick():
                return self._tick(event)
        return ()

    def states(self) -> Mapping[str, MoveState]:
        """Return the latest known state of each move."""
        return {
            name: tracked.state
            for name, tracked in self._tracked.items()
            if tracked.version
        }

    def vetoes(self) -> tuple[Veto, ...]:
        """Return the vetoes raised here or received."""
        return tuple(self._vetoes.values())

    def is_leader(self, now_ms: float) -> bool:
        """Return whether this daemon is the controller."""
        return self._leadership.is_held(now_ms)

    def _declare(self, declared: MovesDeclared) -> None:
        tracked = {}
        for move in declared.moves:
            before = self._tracked.get(move.name, _TrackedMove(move, declared.now_ms))
            if not before.move.is_same_attempt(move):
                before = replace(before, declared_ms=declared.now_ms)
            tracked[move.name] = replace(before, move=move)
        self._tracked = tracked

    def _record_veto(self, veto: Veto) -> None:
        self._vetoes[(veto.move, veto.to_version, veto.generation)] = veto
        if len(self._vetoes) > VETOES_MAX:
            self._vetoes.pop(next(iter(self._vetoes)))

    def _restart_moves(self, now_ms: float, is_new: bool) -> None:
        """Read each state again and restart the counts, as new or after a pause."""
        if is_new:
            for tracked in tuple(self._tracked.values()):
                restarted = replace(
                    tracked,
                    is_known=False,
                    samples_at_step=NOT_COUNTED,
                    traffic=Traffic(),
                    settled_ms=now_ms + self._schedule.settle_ms,
                    restarted_ms=now_ms,
                )
                self._track(restarted)

    def _handle_share(self, received: ShareReceived) -> None:
        tracked = self._tracked.get(received.move)
        if tracked is None or received.version <= tracked.version:
            return
        if received.state.token > self._leadership.token:
            self._leadership.step_down()
        self._track(replace(tracked, state=received.state, version=received.version))

    def _handle_read(self, answered: StateRead) -> tuple[ControllerCommand, ...]:
        tracked = self._tracked.get(answered.move)
        if tracked is None:
            return ()
        tracked = replace(tracked, is_call_pending=False)
        match answered.answer:
            case StoredValue(version=version, value=text):
                return self._handle_stored_state(
                    answered.now_ms, tracked, version, text
                )
            case Absent():
                self._track(replace(tracked, is_known=True))
            case Unanswered():
                self._track(replace(tracked, retry_ms=answered.now_ms + RETRY_MS))
        return ()

    def _handle_stored_state(
        self, now_ms: float, tracked: _TrackedMove, version: int, text: str
    ) -> tuple[ControllerCommand, ...]:
        try:
            state = decode_json(text, MoveState)
        except msgspec.MsgspecError:
            self._track(replace(tracked, retry_ms=now_ms + FOLLOWER_READ_MS))
            return ()
        if state.token > self._leadership.token:
            self._leadership.step_down()
        if version >= tracked.version:
            if state not in (tracked.state, tracked.pending):
                settled_ms = now_ms + self._schedule.settle_ms
                tracked = replace(tracked, settled_ms=settled_ms)
            tracked = replace(tracked, state=state, version=version, is_known=True)
        self._track(tracked)
        return (share_fact(tracked.move.name, tracked.state, tracked.version),)

    def _handle_swap(self, answered: StateSwapped) -> tuple[ControllerCommand, ...]:
        tracked = self._tracked.get(answered.move)
        if tracked is None:
            return ()
        tracked = replace(tracked, is_call_pending=False)
        match answered.answer:
            case Swapped(version):
                return self._adopt_pending(tracked, version)
            case Conflict():
                self._track(replace(tracked, is_known=False))
            case Unanswered():
                retry_ms = answered.now_ms + RETRY_MS
                self._track(replace(tracked, is_known=False, retry_ms=retry_ms))
        return ()

    def _adopt_pending(
        self, tracked: _TrackedMove, version: int
    ) -> tuple[ControllerCommand, ...]:
        if version > tracked.version:
            tracked = replace(tracked, state=tracked.pending, version=version)
        self._track(tracked)
        return (share_fact(tracked.move.name, tracked.state, tracked.version),)

    def _tick(self, tick: ControllerTick) -> tuple[ControllerCommand, ...]:
        commands: list[ControllerCommand] = []
        self._restart_moves(tick.now_ms, tick.now_ms > self._ticked_ms + MISSED_TIME_MS)
        self._ticked_ms = tick.now_ms
        if self._tracked and self._is_candidate:
            commands.extend(self._leadership.next_call(tick.now_ms))
        is_leader = self._leadership.is_held(tick.now_ms)
        for tracked in tuple(self._tracked.values()):
            if tracked.is_call_pending or tick.now_ms < tracked.retry_ms:
                continue
            if is_leader:
                commands.extend(self._lead(tracked, tick))
            elif self._is_candidate:
                commands.extend(self._follow(tracked, tick))
        return tuple(commands)

    def _follow(
        self, tracked: _TrackedMove, tick: ControllerTick
    ) -> tuple[ControllerCommand, ...]:
        since_ms = max(tracked.declared_ms, tracked.retry_ms)
        is_current = tracked.state.belongs_to(tracked.move)
        if is_current or tick.now_ms < since_ms + FOLLOWER_READ_MS:
            return ()
        self._track(replace(tracked, is_call_pending=True, retry_ms=tick.now_ms))
        return (ReadState(tracked.move.name),)

    def _lead(
        self, tracked: _TrackedMove, tick: ControllerTick
    ) -> tuple[ControllerCommand, ...]:
        if not tracked.is_known:
            self._track(replace(tracked, is_call_pending=True))
            return (ReadState(tracked.move.name),)
        samples = tick.samples.get(tracked.move.name, 0)
        if tracked.samples_at_step == NOT_COUNTED:
            tracked = replace(tracked, samples_at_step=samples)
        requests = tick.requests.get(tracked.move.name, 0)
        traffic = tracked.traffic.with_count(tick.now_ms, requests)
        tracked = replace(tracked, traffic=traffic)
        self._track(tracked)
        is_suspect = tracked.move.name in tick.suspects
        step_samples = 0 if is_suspect else samples - tracked.samples_at_step
        pending = self._next_state(tracked, tick, step_samples)
        if pending is None:
            return ()
        baseline_ms = tick.baseline_ms.get(tracked.move.name, {})
        pending = replace(
            pending,
            token=self._leadership.token,
            usual_ms={**baseline_ms, **pending.usual_ms},
        )
        self._track(
            replace(
                tracked, is_call_pending=True, pending=pending, samples_at_step=samples
            )
        )
        text = msgspec.json.encode(pending).decode()
        return (SwapState(tracked.move.name, text, tracked.version),)

    def _next_state(
        self, tracked: _TrackedMove, tick: ControllerTick, step_samples: int
    ) -> MoveState | None:
        state = tracked.state
        move = tracked.move
        now_ms = tick.now_ms
        store_ms = self._leadership.store_ms(now_ms)
        if not state.belongs_to(move):
            if _may_be_stale(tracked, now_ms):
                return None
            first = first_state(state, move, self._schedule, store_ms)
            return self._rolled_back(move, first) or first
        rolled_back = self._rolled_back(move, state)
        if rolled_back is not None or state.status is not MoveStatus.RUNNING:
            return rolled_back
        progress = Progress(
            step=state.step,
            started_ms=state.started_ms,
            updated_ms=state.updated_ms,
            finish_by_ms=move.finish_by_ms,
            samples=step_samples,
        )
        given_ms = move.finish_by_ms - state.started_ms
        exposed = exposed_requests(state, store_ms, given_ms)
        state = replace(state, exposed=max(exposed, tick.samples.get(move.name, 0)))
        if is_share_held(move, state, tick, self._schedule, store_ms):
            if move.name not in tick.suspects:
                return None
            return rolled_back_in_doubt(move, state, self._schedule, store_ms)
        if now_ms < tracked.settled_ms or not is_step_due(
            progress, store_ms, self._schedule
        ):
            return None
        if lacks_bake(move, state, tick, self._schedule, tracked.restarted_ms):
            return None
        state = replace(state, updated_ms=store_ms)
        requests = tracked.traffic.expected_requests(now_ms, given_ms)
        if requests is not None:
            state = replace(state, requests=requests)
        return next_step(state, self._schedule)

    def _rolled_back(self, move: Move, state: MoveState) -> MoveState | None:
        veto = self._vetoes.get((move.name, move.to_version, move.generation))
        return rolled_back(state, veto, retries_rejected=self._retries_rejected)

    def _track(self, tracked: _TrackedMove) -> None:
        self._tracked[tracked.move.name] = tracked


def _may_be_stale(tracked: _TrackedMove, now_ms: float) -> bool:
    """Return whether this daemon's configuration may be older than the state."""
    same_version = tracked.state.to_version == tracked.move.to_version
    if not same_version or tracked.state.generation < tracked.move.generation:
        return False
    return now_ms < tracked.declared_ms + STALE_SPEC_MS
