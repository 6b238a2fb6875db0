"""States of a move only go on, whatever the store holds."""

import pytest

from cowsliploom.gateway._known_states import KnownStates
from cowsliploom.members import store_revision
from cowsliploom.rollout import MoveState, MoveStatus


def state(step=3, status=MoveStatus.RUNNING, to_version='v2', exposed=0):
    """Return a state of a move."""
    return MoveState(0, to_version, status, step, 0.1, 0, 0, 0, exposed=exposed)


KNOWN = state()
FINISHED = state(9, MoveStatus.FINISHED)
ROLLED_BACK = state(3, MoveStatus.ROLLED_BACK)
ORDERED = (state(0), state(2), KNOWN, state(3, exposed=7), state(5), FINISHED)


@pytest.mark.parametrize('era', [0, 1])
@pytest.mark.parametrize('stored', [*ORDERED, ROLLED_BACK])
@pytest.mark.parametrize('known', [*ORDERED, ROLLED_BACK])
def test_state_that_is_behind_is_not_taken_over(known, stored, era):
    """Guard against a share that goes back, as a restored store has an earlier one."""
    states = KnownStates()
    states.merge('s', known, 50)
    order = (*ORDERED, ROLLED_BACK)
    later = max(known, stored, key=order.index)
    assert states.merge('s', stored, store_revision(era, 60)) == later
    assert states.get('s', 'v2').state == later


def test_state_of_an_earlier_revision_is_not_taken_over():
    states = KnownStates()
    states.merge('s', KNOWN, 50)
    assert states.merge('s', FINISHED, 40) == KNOWN


def test_state_of_the_next_move_replaces_that_of_the_last_one():
    """Guard against a late answer on an ended request that hides the next one."""
    states = KnownStates()
    states.merge('s', FINISHED, 50)
    following = state(0, to_version='v3')
    assert states.merge('s', following, 60) == following
    assert states.get('s', 'v2') is None
    assert states.get('s', 'v3').state == following
