"""Client of the platform's interface for usage reports."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from cowsliploom.dataplane import ConnectionPool, HttpAnswer

CONNECT_TIMEOUT_MS = 1000
OK = 200


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage of one window.

    Parameters
    ----------
    holder : str
        Entry VM that holds the duty to report.
    token : int
        Its fencing token.
    window : int
        Number of the window.
    counts : mapping of str to int
        Requests by workspace.
    """

    holder: str
    token: int
    window: int
    counts: Mapping[str, int]


class UsageReports:
    """Client for usage reports; no call raises on an outage.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform's interface.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = ConnectionPool(address, CONNECT_TIMEOUT_MS)

    async def send(self, report: UsageReport, timeout_ms: float) -> str:
        """Send a report; return why it was not accepted, or an empty string."""
        body = msgspec.json.encode(
            {'window': report.window, 'counts': dict(report.counts)}
        )
        head = '\r\n'.join(
            (
                'POST /usage HTTP/1.1',
                f'Host: {self.address}',
                f'Duty-Holder: {report.holder}',
                f'Fencing-Token: {report.token}',
                'Content-Type: application/json',
                f'Content-Length: {len(body)}',
                '',
                '',
            )
        )
        reply = await self._pool.ask(head.encode('latin-1') + body, timeout_ms)
        if reply is None:
            return 'no answer in time'
        if not isinstance(reply, HttpAnswer):
            return reply.reason
        return '' if reply.status == OK else f'status {reply.status}'
