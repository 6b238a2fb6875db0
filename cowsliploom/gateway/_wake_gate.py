"""Requests that waited while this process was paused, until its contents are current.

The servers and versions that a process knew before a pause may be gone. What it sends
right after waking goes to them, unless it asks another member first.
"""

import asyncio

from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._pauses import PauseDetector
from cowsliploom.gateway._peers import Peers

ASKED_MEMBERS = 2  # one of them may be gone
WAIT_MAX_MS = 300.0  # a healthy member answers in a fraction of it


class WakeGate:
    """Hold back new calls after a pause until a member has sent its updates.

    Parameters
    ----------
    pauses : PauseDetector
        Pauses of this process.
    peers : Peers
        Members to ask for updates.
    log : LineLog
        Log of the pauses.
    """

    def __init__(self, pauses: PauseDetector, peers: Peers, log: LineLog) -> None:
        self._pauses = pauses
        self._peers = peers
        self._log = log
        self._background = BackgroundTasks()
        self._current_since_ms = pauses.running_since_ms()
        self._asked_ms = float('-inf')

    def may_send(self) -> bool:
        """Return whether calls may be sent, and ask for updates after a pause."""
        since_ms = self._pauses.running_since_ms()
        if since_ms <= self._current_since_ms:
            return True
        now_ms = self._peers.now_ms()
        if self._asked_ms < since_ms:
            self._asked_ms = now_ms
            self._background.start(self._ask(since_ms))
        if now_ms < self._asked_ms + WAIT_MAX_MS:
            return False
        self._open(since_ms, is_current=False)
        return True

    async def _ask(self, since_ms: float) -> None:
        members = self._peers.others()[:ASKED_MEMBERS]
        questions = [
            self._peers.exchange(member.address, wants_updates=True)
            for member in members
        ]
        for answer in asyncio.as_completed(questions):
            if await answer:
                self._open(since_ms, is_current=True)
                return
        if not members:
            self._open(since_ms, is_current=False)

    def _open(self, since_ms: float, is_current: bool) -> None:
        if since_ms <= self._current_since_ms:
            return
        self._current_since_ms = since_ms
        self._log.write(
            'daemon',
            'sends again after a pause',
            is_current=is_current,
            waited_ms=round(self._peers.now_ms() - self._asked_ms),
        )
