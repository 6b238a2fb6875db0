"""Fault matrix: every fault at every step, in pairs and twice; each promise holds."""

import pytest

from tests.matrix.change_subject import CHANGE
from tests.matrix.claim_subject import CLAIM
from tests.matrix.query_subject import QUERY, WITHDRAWAL
from tests.matrix.table import case_id

SUBJECTS = (CLAIM, CHANGE, QUERY, WITHDRAWAL)
CASES = [
    pytest.param(subject, case, id=case_id(subject, case))
    for subject in SUBJECTS
    for case in subject.cases()
]


@pytest.mark.parametrize(('subject', 'case'), CASES)
def test_promises_hold(subject, case):
    found = subject.play(case)
    assert found == ()
