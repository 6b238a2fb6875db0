"""Transitions between the states of a version move."""

import math
from dataclasses import replace

from cowsliploom.rollout._moves import Move, MoveState, MoveStatus, Veto
from cowsliploom.rollout._schedule import Schedule

SUSPECT_END = 0.97  # of the time given; a version still suspect then is rolled back


def first_state(
    before: MoveState, move: Move, schedule: Schedule, store_ms: float
) -> MoveState:
    """Return the first state of a move that follows another one of its service."""
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
    """Return the state after the next step."""
    step = state.step + 1
    requests = math.inf if state.requests is None else state.requests
    is_last = step == len(schedule.shares) - 1
    return replace(
        state,
        status=MoveStatus.FINISHED if is_last else MoveStatus.RUNNING,
        step=step,
        share=max(state.share, schedule.share(step, requests, state.exposed)),
    )


def exposed_requests(state: MoveState, store_ms: float, given_ms: float) -> float:
    """Return the requests that a new version has received by its shares."""
    if state.requests is None or given_ms <= 0:
        return state.exposed
    elapsed_ms = store_ms - state.updated_ms
    return state.exposed + state.share * state.requests * elapsed_ms / given_ms


def rolled_back_in_doubt(
    move: Move, state: MoveState, schedule: Schedule, store_ms: float
) -> MoveState | None:
    """Return the rolled-back state if a suspect version wasn't cleared in time."""
    given_ms = move.finish_by_ms - state.started_ms
    if store_ms >= state.started_ms + SUSPECT_END * given_ms:
        return _rolled_back(state, 'still in doubt at the end of the time given')
    if schedule.exposure is None or state.requests is None:
        return None
    if state.exposed >= schedule.exposure.usable(state.requests):
        return _rolled_back(state, 'still in doubt after the requests it may receive')
    return None


def rolled_back(
    state: MoveState, veto: Veto | None, *, retries_rejected: bool
) -> MoveState | None:
    """Return the rolled-back state if the version is vetoed or was rejected before."""
    if state.status is MoveStatus.ROLLED_BACK:
        return None
    if veto is not None:
        return _rolled_back(state, f'{veto.reason}: {veto.evidence}')
    if state.to_version in state.rejected and not retries_rejected:
        return _rolled_back(state, 'taken back before')
    return None


def _rolled_back(state: MoveState, reason: str) -> MoveState:
    return replace(state, status=MoveStatus.ROLLED_BACK, share=0, reason=reason)
