"""Which member controls the version moves, and whether this one may."""

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._suspension import SuspensionDetector

ROLE = 'version-moves'
JUDGES = 2  # receive all evidence: the controller and its successor
CUT_OFF_MS = 2000  # a VM that heard nobody for longer may lack a veto of the others


class ControllerRole:
    """Decide whether this entry VM is the controller.

    One that was suspended or cut off is not, and becomes it anew afterwards: then it
    reads the states again and waits for the evidence of others.

    Parameters
    ----------
    peers : Peers
        Members, which determine the controller.
    log : LineLog
        Log of changes.
    """

    def __init__(self, peers: Peers, log: LineLog) -> None:
        self.is_held = False
        self._peers = peers
        self._log = log
        self._suspension = SuspensionDetector(peers.now_ms)

    def judges(self) -> tuple[str, ...]:
        """Return the names of the controller and of its successor."""
        return self._peers.known.rank_live(ROLE, self._peers.now_ms(), JUDGES)

    def is_judge(self) -> bool:
        """Return whether this VM is one of them."""
        return self._peers.known.own.name in self.judges()

    def rank(self) -> int:
        """Return the place of this VM among the live members; 0 is the first."""
        now_ms = self._peers.now_ms()
        members = len(self._peers.known.live(now_ms))
        ranked = self._peers.known.rank_live(ROLE, now_ms, members)
        return ranked.index(self._peers.known.own.name)

    def update(self) -> bool:
        """Return whether this VM is the controller now."""
        is_first = self.judges()[0] == self._peers.known.own.name
        suspended_ms = self._suspension.suspended_ms()
        heard_age_ms = self._heard_age_ms()
        is_held = is_first and not suspended_ms and heard_age_ms < CUT_OFF_MS
        if is_held != self.is_held:
            self.is_held = is_held
            self._log.write(
                'move',
                'controller' if is_held else 'not controller',
                suspended_ms=round(suspended_ms),
                heard_age_ms=round(heard_age_ms),
            )
        return is_held

    def _heard_age_ms(self) -> float:
        """Return the time since another member was heard; 0 if there is none."""
        if not self._peers.others():
            return 0
        return self._peers.now_ms() - self._peers.known.heard_ms
