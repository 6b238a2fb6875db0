"""Fault matrix of claims and configuration changes."""

import pytest

from tests.matrix.change_subject import CHANGE
from tests.matrix.claim_subject import CLAIM
from tests.matrix.table import case_params


@pytest.mark.parametrize(('subject', 'case'), case_params(CLAIM, CHANGE))
def test_invariants_hold(subject, case):
    findings = subject.run(case)
    assert findings == ()
