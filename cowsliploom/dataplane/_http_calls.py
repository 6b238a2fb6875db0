"""One HTTP call to a server: its request and its result."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
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


@dataclass(frozen=True, slots=True)
class HeadWatch:
    """Report the heads of answers that have certain headers.

    Heads are reported as soon as they are read, so also those of answers that break off
    or that no call waits for.

    Parameters
    ----------
    names : frozenset of str
        Names of the headers, in lower case.
    on_head : callable
        Called with the status and all headers of an answer that has one of them.
    """

    names: frozenset[str]
    on_head: Callable[[int, HeaderList], None]


def _ignore_head(status: int, headers: HeaderList) -> None:
    """Ignore the head of an answer."""


NO_HEAD_WATCH = HeadWatch(frozenset(), _ignore_head)


class AnswerOrigin(Enum):
    """To which call a received answer belongs, as far as it can be told."""

    THIS_CALL = 'names this call'
    OTHER_CALL = 'names another call'
    UNNAMED = 'names no call'


class Abortable(Protocol):
    """A connection that can be reset."""

    def abort(self) -> None:
        """Reset the connection and discard the call."""
        ...


def _assume_this_call(answer: HttpAnswer) -> AnswerOrigin:
    """Attribute every answer to the open call, for peers that name no call."""
    return AnswerOrigin.THIS_CALL


class HttpCall:
    """One call: its request, and the callback for its result.

    Parameters
    ----------
    content : bytes
        Request as it is sent, with its body or without.
    on_result : callable
        Called once with the answer or the failure; never after a cancellation.
    origin_of : callable
        Returns to which call an answer belongs. Answers to other calls are skipped; one
        that names no call is accepted, and its connection is not used again.
    used_connections : set of CallConnection or None
        Connections that carried earlier calls with the same request id, shared with
        those calls; this call uses none of them. Default none.
    body : bytes
        Sent after the content. Calls of the same request share it. Default empty.
    """

    def __init__(
        self,
        content: bytes,
        on_result: Callable[[CallResult], None],
        origin_of: Callable[[HttpAnswer], AnswerOrigin] = _assume_this_call,
        used_connections: 'set[Abortable] | None' = None,
        body: bytes = b'',
    ) -> None:
        self.content = content
        self.body = body
        self.on_result = on_result
        self.origin_of = origin_of
        self.connection: Abortable | None = None
        self._used_connections = set() if used_connections is None else used_connections
        self.is_ended = False

    @property
    def expects_body(self) -> bool:
        """Whether the answer may have a body; that to ``HEAD`` has none."""
        return not self.content.startswith(b'HEAD ')

    def start_on(self, connection: Abortable) -> None:
        """Record the connection on which the call is sent."""
        self.connection = connection
        self._used_connections.add(connection)

    def may_use(self, connection: Abortable) -> bool:
        """Return whether no earlier call with the same id was sent on a connection.

        A server may send a second copy of an answer, late. On the connection of the
        first copy it could not be told from the answer to this call.
        """
        return connection not in self._used_connections

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
