"""Fault matrix of queries, runs and withdrawals."""

import pytest

from tests.matrix.query_subject import QUERY, WITHDRAWAL
from tests.matrix.table import case_params


@pytest.mark.parametrize(('subject', 'case'), case_params(QUERY, WITHDRAWAL))
def test_invariants_hold(subject, case):
    findings = subject.run(case)
    assert findings == ()
