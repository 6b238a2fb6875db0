"""Fault matrix of claims and configuration changes."""

import pytest

from tests.matrix.change_subject import CHANGE
from tests.matrix.claim_subject import CLAIM
from tests.matrix.table import params_of


@pytest.mark.parametrize(('subject', 'case'), params_of(CLAIM, CHANGE))
def test_promises_hold(subject, case):
    found = subject.play(case)
    assert found == ()
