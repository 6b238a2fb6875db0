"""One HTTP call to a server: its request and its result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cowsliploom.dataplane._sockets import HeaderList
from cowsliploom.forwarding import CallStep


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Complete answer of a server."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Failure of a call that got no complete answer.

    Parameters
    ----------
    step : CallStep
        Step that failed.
    peer : str
        Address of the server.
    reason : str
        What was observed.
    may_have_run : bool
        False only when no byte of the request was sent.
    """

    step: CallStep
    peer: str
    reason: str
    may_have_run: bool


CallResult = HttpAnswer | HttpFailure


class Abortable(Protocol):
    """A connection that can be reset."""

    def abort(self) -> None:
        """Reset the connection and discard the call."""
        ...


class HttpCall:
    """One call: its request, and the callback for its result.

    Parameters
    ----------
    content : bytes
        Complete request as it is sent.
    on_result : callable
        Called once with the answer or the failure; never after a cancellation.
    matches : callable
        Returns whether an answer belongs to this call; other answers are skipped.
    """

    def __init__(
        self,
        content: bytes,
        on_result: Callable[[CallResult], None],
        matches: Callable[[HttpAnswer], bool] = bool,
    ) -> None:
        self.content = content
        self.on_result = on_result
        self.matches = matches
        self.connection: Abortable | None = None
        self.is_ended = False

    def end(self, result: CallResult) -> None:
        """Report the result, unless the call has ended already."""
        if not self.is_ended:
            self.is_ended = True
            self.connection = None
            self.on_result(result)

    def cancel(self) -> None:
        """End the call without a result and reset its connection."""
        self.is_ended = True
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
