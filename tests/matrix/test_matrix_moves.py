"""Fault matrix of version moves."""

import pytest

from tests.matrix.move_subject import MOVE
from tests.matrix.table import case_params


@pytest.mark.parametrize(('subject', 'case'), case_params(MOVE))
def test_invariants_hold(subject, case):
    findings = subject.run(case)
    assert findings == ()
