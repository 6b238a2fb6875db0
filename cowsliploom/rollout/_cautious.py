"""Version moves where a bad version may give few bad answers."""

from cowsliploom.rollout._controller import Controller
from cowsliploom.rollout._judge import EvidencePace
from cowsliploom.rollout._leadership import Appointment
from cowsliploom.rollout._rollout import Rollout
from cowsliploom.rollout._schedule import CAUTIOUS_SCHEDULE
from cowsliploom.rollout._criteria import COUNTING

# Two daemons hear all calls, however many tell them.
PACE = EvidencePace(
    interval_ms=250, entries_max=10_000, bytes_per_s=60_000, tells_old=True
)


def cautious_rollout(daemon: str, incarnation: str) -> Rollout:
    """Return one daemon's part in moves with an appointed controller.

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
    controller = Controller(Appointment(), CAUTIOUS_SCHEDULE, tries_again=False)
    return Rollout(daemon, incarnation, controller, PACE, COUNTING)
