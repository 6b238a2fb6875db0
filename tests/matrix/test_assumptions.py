"""What the system cannot promise, with the case that shows it."""

import pytest

from tests.matrix.move_subject import MOVE, slow_all
from tests.matrix.table import Fault, Injection


@pytest.mark.parametrize('step', ['last-share', 'watched'])
def test_slowdown_of_all_after_the_last_share_is_blamed_on_the_version(step):
    """Show the assumption: no old traffic is left to compare with."""
    found = MOVE.play((Injection(Fault('all-slow', slow_all), step),))
    assert 'good version finishes' in {finding.promise for finding in found}
