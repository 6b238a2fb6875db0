"""Fault matrix of queries, runs and withdrawals."""

import pytest

from tests.matrix.query_subject import QUERY, WITHDRAWAL
from tests.matrix.table import params_of


@pytest.mark.parametrize(('subject', 'case'), params_of(QUERY, WITHDRAWAL))
def test_promises_hold(subject, case):
    found = subject.play(case)
    assert found == ()
