"""How the state of a version move follows from the one before."""

import math
from dataclasses import replace

from cowsliploom.rollout._moves import Move, MoveState, MoveStatus, Veto
from cowsliploom.rollout._schedule import Schedule

DOUBT_END = 0.97  # of the time given; a suspect version is taken back then


def first_state(
    before: MoveState, move: Move, schedule: Schedule, store_ms: float
) -> MoveState:
    """Return the state of a move that begins after another one of its service."""
    first = MoveState(
        generation=move.generation,
        to_version=move.to_version,
        status=MoveStatus.RUNNING,
        step=0,
        share=schedule.shares[0],
        started_ms=store_ms,
        updated_ms=store_ms,
        token=0,
    )
    return before.followed_by(first)


def next_step(state: MoveState, schedule: Schedule) -> MoveState:
    """Return the state after one more step."""
    step = state.step + 1
    requests = math.inf if state.requests is None else state.requests
    is_last = step == len(schedule.shares) - 1
    return replace(
        state,
        status=MoveStatus.FINISHED if is_last else MoveStatus.RUNNING,
        step=step,
        share=max(state.share, schedule.share(step, requests)),
    )


def held_back(move: Move, state: MoveState, store_ms: float) -> MoveState | None:
    """Return the end of a version that isn't cleared in the time given."""
    given_ms = move.finish_by_ms - state.started_ms
    if store_ms < state.started_ms + DOUBT_END * given_ms:
        return None
    return _ended(state, 'still in doubt at the end of the time given')


def taken_back(
    state: MoveState, veto: Veto | None, *, tries_again: bool
) -> MoveState | None:
    """Return the end of a version that is vetoed, or was taken back before."""
    if state.status is MoveStatus.ROLLED_BACK:
        return None
    if veto is not None:
        return _ended(state, f'{veto.reason}: {veto.evidence}')
    if state.to_version in state.rejected and not tries_again:
        return _ended(state, 'taken back before')
    return None


def _ended(state: MoveState, reason: str) -> MoveState:
    return replace(state, status=MoveStatus.ROLLED_BACK, share=0, reason=reason)
