"""Version moves in which a bad version may give only few bad answers."""

from cowsliploom.rollout._controller import Controller
from cowsliploom.rollout._criteria import CAUTIOUS_CRITERIA
from cowsliploom.rollout._judge import EvidenceLimits
from cowsliploom.rollout._leadership import AssignedLeadership
from cowsliploom.rollout._rollout import Rollout
from cowsliploom.rollout._schedule import CAUTIOUS_SCHEDULE

# Two daemons receive all evidence, however many send it.
CAUTIOUS_EVIDENCE_LIMITS = EvidenceLimits(
    interval_ms=250, entries_max=10_000, bytes_per_s=60_000, reports_old_calls=True
)


def cautious_rollout(daemon: str, incarnation: str) -> Rollout:
    """Return one daemon's part in moves whose controller is assigned by membership.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    incarnation : str
        Differs for each start of the daemon.

    Examples
    --------
    >>> from cowsliploom.rollout import cautious_rollout
    >>> cautious_rollout('entry-1', 'a').is_controller(0)
    False
    """
    controller = Controller(
        AssignedLeadership(), CAUTIOUS_SCHEDULE, retries_rejected=False
    )
    return Rollout(
        daemon, incarnation, controller, CAUTIOUS_EVIDENCE_LIMITS, CAUTIOUS_CRITERIA
    )
