"""Fault matrix of ownership changes and shutdowns."""

import pytest

from tests.matrix.ownership_subject import OWNERSHIP, SHUTDOWN
from tests.matrix.table import params_of


@pytest.mark.parametrize(('subject', 'case'), params_of(OWNERSHIP, SHUTDOWN))
def test_promises_hold(subject, case):
    found = subject.play(case)
    assert found == ()
