"""Controller of version moves: one daemon at a time, resumable by any other."""

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
from cowsliploom.rollout._judge import MovesDeclared, VetoReceived
from cowsliploom.rollout._leadership import Appointment, Leadership
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
from cowsliploom.rollout._states import first_state, held_back, next_step, taken_back
from cowsliploom.rollout._traffic import Traffic

RETRY_MS = 1000  # between tries of a call on the store that failed
FOLLOWER_READ_MS = 10_000  # a candidate that heard no state by then asks
STALE_SPEC_MS = 10_000  # configurations are in force everywhere sooner than this
VETOES_MAX = 256  # vetoes remembered, also of moves not yet declared
DOUBT_CALLS = 30  # enough to settle a doubt; a bad version may have more
NOT_COUNTED = -1  # a new controller counts samples from its first look on
NO_STATE = MoveState(0, '', MoveStatus.RUNNING, 0, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class _Watched:
    move: Move
    declared_ms: float
    version: int = 0
    state: MoveState = NO_STATE
    is_known: bool = False
    is_open: bool = False
    pending: MoveState = NO_STATE
    retry_ms: float = -math.inf
    samples_at_step: int = NOT_COUNTED
    traffic: Traffic = Traffic()
    settled_ms: float = -math.inf


class Controller:
    """Move shares by schedule while being the controller; follow moves otherwise.

    Parameters
    ----------
    leadership : Leadership or Appointment
        How this daemon becomes the controller.
    schedule : Schedule
        Shares that a move goes through. By default those of the product.
    tries_again : bool
        Whether a version that was taken back may be moved to in a later generation.
        Default True.

    Notes
    -----
    The store's version of ``moves/{name}`` fences controllers and orders the
    states that daemons tell each other; a share is told only once it is known to
    be in the store. While the store is out no share changes. A veto needs no
    controller; its status is written when there is one.

    Examples
    --------
    >>> from cowsliploom.rollout import Controller, ControllerTick, Move
    >>> from cowsliploom.rollout import Leadership, MovesDeclared
    >>> controller = Controller(Leadership('entry-1#1'))
    >>> move = Move('rota-2', 'van-rota', 'v1', 'v2', 1, 60_000)
    >>> _ = controller.step(MovesDeclared(0, (move,), entries=1))
    >>> controller.step(ControllerTick(10, samples={}))[0].call.holder
    'entry-1#1'
    """

    def __init__(
        self,
        leadership: Leadership | Appointment,
        schedule: Schedule = DEFAULT_SCHEDULE,
        tries_again: bool = True,
    ) -> None:
        self._leadership = leadership
        self._tries_again = tries_again
        self._schedule = schedule
        self._watched: dict[str, _Watched] = {}
        self._vetoes: dict[tuple[str, str, int], Veto] = {}
        self._is_candidate = True

    def step(self, event: ControllerEvent) -> tuple[ControllerCommand, ...]:
        """Take an event and return the commands that follow from it."""
        match event:
            case MovesDeclared():
                self._declare(event)
            case CandidateChanged(is_candidate=is_candidate):
                self._is_candidate = is_candidate
                is_new = self._leadership.appoint(is_chosen=is_candidate)
                self._lead_anew(event.now_ms, is_new)
            case LeaseAnswered():
                self._lead_anew(event.now_ms, self._leadership.take(event))
            case StateRead():
                return self._take_read(event)
            case StateSwapped():
                return self._take_swap(event)
            case ShareReceived():
                self._dispatch_fact(event)
            case VetoReceived(veto=veto):
                self._remember(veto)
            case ControllerTick():
                return self._tick(event)
        return ()

    def states(self) -> Mapping[str, MoveState]:
        """Return the latest known state of each move."""
        return {
            name: watched.state
            for name, watched in self._watched.items()
            if watched.version
        }

    def vetoes(self) -> tuple[Veto, ...]:
        """Return the vetoes heard."""
        return tuple(self._vetoes.values())

    def is_leader(self, now_ms: float) -> bool:
        """Tell whether this daemon is the controller."""
        return self._leadership.is_held(now_ms)

    def _declare(self, declared: MovesDeclared) -> None:
        watched = {}
        for move in declared.moves:
            before = self._watched.get(move.name, _Watched(move, declared.now_ms))
            if not before.move.is_same_attempt(move):
                before = replace(before, declared_ms=declared.now_ms)
            watched[move.name] = replace(before, move=move)
        self._watched = watched

    def _remember(self, veto: Veto) -> None:
        self._vetoes[(veto.move, veto.to_version, veto.generation)] = veto
        if len(self._vetoes) > VETOES_MAX:
            self._vetoes.pop(next(iter(self._vetoes)))

    def _lead_anew(self, now_ms: float, is_new: bool) -> None:
        """Read each state again as a new controller, and count samples from now."""
        if is_new:
            for watched in tuple(self._watched.values()):
                newly_led = replace(
                    watched,
                    is_known=False,
                    samples_at_step=NOT_COUNTED,
                    traffic=Traffic(),
                    settled_ms=now_ms + self._schedule.settle_ms,
                )
                self._keep(newly_led)

    def _dispatch_fact(self, heard: ShareReceived) -> None:
        watched = self._watched.get(heard.move)
        if watched is None or heard.version <= watched.version:
            return
        if heard.state.token > self._leadership.token:
            self._leadership.step_down()
        self._keep(replace(watched, state=heard.state, version=heard.version))

    def _take_read(self, answered: StateRead) -> tuple[ControllerCommand, ...]:
        watched = self._watched.get(answered.move)
        if watched is None:
            return ()
        watched = replace(watched, is_open=False)
        match answered.answer:
            case StoredValue(version=version, value=text):
                return self._decode(answered.now_ms, watched, version, text)
            case Absent():
                self._keep(replace(watched, is_known=True))
            case Unanswered():
                self._keep(replace(watched, retry_ms=answered.now_ms + RETRY_MS))
        return ()

    def _decode(
        self, now_ms: float, watched: _Watched, version: int, text: str
    ) -> tuple[ControllerCommand, ...]:
        try:
            state = decode_json(text, MoveState)
        except msgspec.MsgspecError:
            self._keep(replace(watched, retry_ms=now_ms + FOLLOWER_READ_MS))
            return ()
        if state.token > self._leadership.token:
            self._leadership.step_down()
        if version >= watched.version:
            if state not in (watched.state, watched.pending):
                settled_ms = now_ms + self._schedule.settle_ms
                watched = replace(watched, settled_ms=settled_ms)
            watched = replace(watched, state=state, version=version, is_known=True)
        self._keep(watched)
        return (share_fact(watched.move.name, watched.state, watched.version),)

    def _take_swap(self, answered: StateSwapped) -> tuple[ControllerCommand, ...]:
        watched = self._watched.get(answered.move)
        if watched is None:
            return ()
        watched = replace(watched, is_open=False)
        match answered.answer:
            case Swapped(version):
                return self._adopt_pending(watched, version)
            case Conflict():
                self._keep(replace(watched, is_known=False))
            case Unanswered():
                retry_ms = answered.now_ms + RETRY_MS
                self._keep(replace(watched, is_known=False, retry_ms=retry_ms))
        return ()

    def _adopt_pending(
        self, watched: _Watched, version: int
    ) -> tuple[ControllerCommand, ...]:
        if version > watched.version:
            watched = replace(watched, state=watched.pending, version=version)
        self._keep(watched)
        return (share_fact(watched.move.name, watched.state, watched.version),)

    def _tick(self, tick: ControllerTick) -> tuple[ControllerCommand, ...]:
        commands: list[ControllerCommand] = []
        if self._watched and self._is_candidate:
            commands.extend(self._leadership.next_call(tick.now_ms))
        is_leader = self._leadership.is_held(tick.now_ms)
        for watched in tuple(self._watched.values()):
            if watched.is_open or tick.now_ms < watched.retry_ms:
                continue
            if is_leader:
                commands.extend(self._lead(watched, tick))
            elif self._is_candidate:
                commands.extend(self._follow(watched, tick))
        return tuple(commands)

    def _follow(
        self, watched: _Watched, tick: ControllerTick
    ) -> tuple[ControllerCommand, ...]:
        since_ms = max(watched.declared_ms, watched.retry_ms)
        is_new = watched.state.belongs_to(watched.move)
        if is_new or tick.now_ms < since_ms + FOLLOWER_READ_MS:
            return ()
        self._keep(replace(watched, is_open=True, retry_ms=tick.now_ms))
        return (ReadState(watched.move.name),)

    def _lead(
        self, watched: _Watched, tick: ControllerTick
    ) -> tuple[ControllerCommand, ...]:
        if not watched.is_known:
            self._keep(replace(watched, is_open=True))
            return (ReadState(watched.move.name),)
        samples = tick.samples.get(watched.move.name, 0)
        if watched.samples_at_step == NOT_COUNTED:
            watched = replace(watched, samples_at_step=samples)
        requests = tick.requests.get(watched.move.name, 0)
        traffic = watched.traffic.counted(tick.now_ms, requests)
        watched = replace(watched, traffic=traffic)
        self._keep(watched)
        is_suspect = watched.move.name in tick.suspects
        seen = 0 if is_suspect else samples - watched.samples_at_step
        pending = self._next_state(watched, tick, seen)
        if pending is None:
            return ()
        usual_ms = tick.usual_ms.get(watched.move.name, {})
        pending = replace(
            pending,
            token=self._leadership.token,
            usual_ms={**usual_ms, **pending.usual_ms},
        )
        self._keep(
            replace(watched, is_open=True, pending=pending, samples_at_step=samples)
        )
        text = msgspec.json.encode(pending).decode()
        return (SwapState(watched.move.name, text, watched.version),)

    def _next_state(
        self, watched: _Watched, tick: ControllerTick, seen: int
    ) -> MoveState | None:
        state = watched.state
        move = watched.move
        now_ms = tick.now_ms
        store_ms = self._leadership.store_ms(now_ms)
        if not state.belongs_to(move):
            if _may_be_stale(watched, now_ms):
                return None
            first = first_state(state, move, self._schedule, store_ms)
            return self._taken_back(move, first) or first
        taken_back = self._taken_back(move, state)
        if taken_back is not None or state.status is not MoveStatus.RUNNING:
            return taken_back
        progress = Progress(
            step=state.step,
            started_ms=state.started_ms,
            updated_ms=state.updated_ms,
            finish_by_ms=move.finish_by_ms,
            samples=seen,
        )
        if self._is_held(move, state, tick):
            is_suspect = move.name in tick.suspects
            return held_back(move, state, store_ms) if is_suspect else None
        if now_ms < watched.settled_ms:
            return None
        if is_step_due(progress, store_ms, self._schedule):
            state = replace(state, updated_ms=store_ms)
            given_ms = move.finish_by_ms - state.started_ms
            requests = watched.traffic.expected(now_ms, given_ms)
            if requests is not None:
                state = replace(state, requests=requests)
            return next_step(state, self._schedule)
        return None

    def _is_held(self, move: Move, state: MoveState, tick: ControllerTick) -> bool:
        """Tell whether doubt keeps the share as it is; few calls can't settle one."""
        if move.name not in tick.doubts:
            return False
        is_told = tick.samples.get(move.name, 0) >= DOUBT_CALLS
        is_whole = next_step(state, self._schedule).share >= 1
        return is_told or is_whole or move.name in tick.suspects

    def _taken_back(self, move: Move, state: MoveState) -> MoveState | None:
        veto = self._vetoes.get((move.name, move.to_version, move.generation))
        return taken_back(state, veto, tries_again=self._tries_again)

    def _keep(self, watched: _Watched) -> None:
        self._watched[watched.move.name] = watched


def _may_be_stale(watched: _Watched, now_ms: float) -> bool:
    """Tell whether this daemon's configuration may lag behind the state."""
    same_version = watched.state.to_version == watched.move.to_version
    if not same_version or watched.state.generation < watched.move.generation:
        return False
    return now_ms < watched.declared_ms + STALE_SPEC_MS
