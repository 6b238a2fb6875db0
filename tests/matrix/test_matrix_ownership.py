"""Fault matrix of ownership changes and shutdowns."""

import pytest

from tests.matrix.ownership_subject import OWNERSHIP, SHUTDOWN
from tests.matrix.table import case_params


@pytest.mark.parametrize(('subject', 'case'), case_params(OWNERSHIP, SHUTDOWN))
def test_invariants_hold(subject, case):
    findings = subject.run(case)
    assert findings == ()
