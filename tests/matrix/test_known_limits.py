"""Known limits: invariants that the system cannot hold, with a case for each."""

import pytest

from tests.matrix.move_subject import MOVE, slow_all
from tests.matrix.table import Fault, Injection


@pytest.mark.parametrize('step', ['last-share', 'watched'])
def test_slowdown_of_both_versions_after_last_share_rolls_back_good_version(step):
    """No old-version traffic is left to compare with."""
    findings = MOVE.run((Injection(Fault('all-slow', slow_all), step),))
    assert 'good version move finishes' in {finding.invariant for finding in findings}
