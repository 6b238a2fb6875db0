"""What keeps a controller from taking a step that is due."""

import math

from cowsliploom.rollout._control_messages import ControllerTick
from cowsliploom.rollout._moves import Move, MoveState, MoveStatus
from cowsliploom.rollout._schedule import Schedule
from cowsliploom.rollout._states import next_step

UNPROVEN_END = 1.25  # of the time given; no version is held for longer as unproven
UNPROVEN_AFTER_STEP = 0.4  # of the time given; a late step moves the end
CONCLUSIVE_CALLS = 30  # enough for a conclusive test; a bad version may get more


def is_share_held(
    move: Move,
    state: MoveState,
    tick: ControllerTick,
    schedule: Schedule,
    store_ms: float,
) -> bool:
    """Return whether an inconclusive test holds the share.

    With few calls the share still grows short of all traffic, as more calls are
    needed for a conclusive test.
    """
    following = next_step(state, schedule)
    is_unproven = move.name in tick.unproven and store_ms < _unproven_until_ms(
        move, state
    )
    if is_unproven and following.status is MoveStatus.FINISHED:
        return True
    if move.name not in tick.inconclusive:
        return False
    has_enough_calls = tick.samples.get(move.name, 0) >= CONCLUSIVE_CALLS
    reaches_all_traffic = following.share >= 1
    return has_enough_calls or reaches_all_traffic or move.name in tick.suspects


def lacks_bake(
    move: Move,
    state: MoveState,
    tick: ControllerTick,
    schedule: Schedule,
    restarted_ms: float,
) -> bool:
    """Return whether the next step finishes the move before the full share was judged.

    Parameters
    ----------
    move, state : Move, MoveState
        Move and its current state.
    tick : ControllerTick
        What the judge knows.
    schedule : Schedule
        Whether the full share must be judged at all.
    restarted_ms : float
        When this controller last began anew; earlier reports do not count.
    """
    following = next_step(state, schedule)
    if not (schedule.bakes_full_share and following.status is MoveStatus.FINISHED):
        return False
    baked_ms = tick.baked_ms.get(move.name, -math.inf)
    return baked_ms <= -math.inf or baked_ms < restarted_ms


def _unproven_until_ms(move: Move, state: MoveState) -> float:
    """Return until when a version is held as unproven, by the store's clock."""
    given_ms = move.finish_by_ms - state.started_ms
    return max(
        state.started_ms + UNPROVEN_END * given_ms,
        state.updated_ms + UNPROVEN_AFTER_STEP * given_ms,
    )
