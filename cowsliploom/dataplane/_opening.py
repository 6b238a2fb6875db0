"""Opening of one connection for one call."""

from types import TracebackType
from typing import Self

from cowsliploom.dataplane._call_connection import CallConnection
from cowsliploom.dataplane._http_calls import HttpCall, HttpFailure
from cowsliploom.forwarding import CallStep


class Opening:
    """Own a connection and its descriptor until the connection is open.

    Leaving it by an error, whatever it is, returns the descriptor and fails the call.
    Only errors that end the task, such as a cancellation, go on from there.

    Parameters
    ----------
    connection : CallConnection
        Connection that is being opened.
    call : HttpCall
        Call that waits for it.
    """

    def __init__(self, connection: CallConnection, call: HttpCall) -> None:
        self.connection = connection
        self.call = call

    def __enter__(self) -> Self:
        """Begin to open the connection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        """Clean up after an error; return whether it is dealt with."""
        if error is None:
            return False
        pool = self.connection.pool
        pool.counts['call_errors'] += not isinstance(error, OSError)
        self.connection.give_up()
        self.call.end(HttpFailure(CallStep.CONNECT, pool.address, repr(error), False))
        return isinstance(error, Exception)
