"""Requests of callers, complete or rejected before they were."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from cowsliploom.dataplane._sockets import HeaderList


class CallerConnection(Protocol):
    """Connection on which a request waits for its answer."""

    transport: asyncio.Transport | None

    def answer(
        self, request: 'HttpRequest', status: int, headers: HeaderList, body: bytes
    ) -> bool:
        """Send the answer; False if the caller has disconnected."""
        ...


@dataclass(slots=True)
class HttpRequest:
    """Complete request, and the connection that waits for its answer."""

    method: str
    target: str
    headers: HeaderList
    body: bytes
    arrived_ms: float
    keep_alive: bool
    connection: 'CallerConnection'
    path_ms: float = 0

    def answer(self, status: int, headers: HeaderList, body: bytes) -> bool:
        """Send the answer; False if the caller has disconnected."""
        return self.connection.answer(self, status, headers, body)


@dataclass(frozen=True, slots=True)
class Rejection:
    """Reason why a request was rejected before it was handled.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        What was wrong, with the bound that was exceeded.
    peer : str
        Address of the caller.
    headers : list of (str, str)
        Headers that had been parsed by then.
    """

    status: int
    reason: str
    peer: str
    headers: HeaderList
