"""One call to a server over HTTP: what is sent, and what comes of it."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cowsliploom.dataplane._sockets import HeaderList
from cowsliploom.forwarding import CallStep


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold a server's whole answer."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Report a call that got no whole answer.

    Parameters
    ----------
    step : CallStep
        At which step.
    peer : str
        Address of the server.
    reason : str
        What was seen.
    may_have_run : bool
        False only when no byte of the request was sent.
    """

    step: CallStep
    peer: str
    reason: str
    may_have_run: bool


CallResult = HttpAnswer | HttpFailure


class Abortable(Protocol):
    """A connection that can be closed at once."""

    def abort(self) -> None:
        """Close at once and forget the call."""
        ...


class HttpCall:
    """Hold one call: what is sent, and who hears of its end.

    Parameters
    ----------
    content : bytes
        Whole request as it is sent.
    on_result : callable
        Called once with the answer or the failure; never after a drop.
    is_own : callable
        Tells whether an answer belongs to this call; others are passed over.
    """

    def __init__(
        self,
        content: bytes,
        on_result: Callable[[CallResult], None],
        is_own: Callable[[HttpAnswer], bool] = bool,
    ) -> None:
        self.content = content
        self.on_result = on_result
        self.is_own = is_own
        self.connection: Abortable | None = None
        self.is_ended = False

    def end(self, result: CallResult) -> None:
        """Tell the result, unless the call has ended already."""
        if not self.is_ended:
            self.is_ended = True
            self.connection = None
            self.on_result(result)

    def cancel(self) -> None:
        """Close the connection of a call whose answer nobody needs."""
        self.is_ended = True
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
