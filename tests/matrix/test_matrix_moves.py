"""Fault matrix of version moves."""

import pytest

from tests.matrix.move_subject import MOVE
from tests.matrix.table import params_of


@pytest.mark.parametrize(('subject', 'case'), params_of(MOVE))
def test_promises_hold(subject, case):
    found = subject.play(case)
    assert found == ()
