"""Requests of one connection that are being read, or wait for their turn."""

from collections import deque
from collections.abc import Callable
from typing import Protocol

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._http_requests import HttpRequest
from cowsliploom.dataplane._read_room import ReadRoom
from cowsliploom.dataplane._request_reader import RequestEvents, RequestReader
from cowsliploom.dataplane._room import SMALL_BYTES
from cowsliploom.dataplane._weights import REQUEST_BYTES, headers_weight
from cowsliploom.forwarding import CallerLimits

PIPELINE_MAX = 16  # pipelined requests queued on one connection


class ReadingConnection(RequestEvents, Protocol):
    """Connection that the requests arrive on."""

    def note_held(self) -> None:
        """Update what the connection holds in the account."""
        ...


class RequestIntake:
    """Parse requests and queue them, as far as the connection and the process allow.

    Bytes that are received and may not be parsed yet are kept as they are: the objects
    of small requests take many times their bytes.

    Parameters
    ----------
    connection : ReadingConnection
        Connection that the requests arrive on.
    limits : callable
        Returns the limits in force.
    admission : Admission
        Account of the process.

    Attributes
    ----------
    room : ReadRoom
        Room for the request that is being read.
    """

    def __init__(
        self,
        connection: ReadingConnection,
        limits: Callable[[], CallerLimits],
        admission: Admission,
    ) -> None:
        self.reader = RequestReader(connection, limits)
        self._connection = connection
        self.room = ReadRoom(self, admission, is_work=False, on_room=self.read_on)
        self._unparsed = b''
        self._queued: deque[HttpRequest] = deque()
        self._queued_bytes = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)

    @property
    def is_full(self) -> bool:
        """Whether no further request may be queued."""
        return len(self._queued) > PIPELINE_MAX or self._queued_bytes > SMALL_BYTES

    @property
    def held_bytes(self) -> int:
        """Memory that all requests take that are not being answered."""
        reading = max(self.incomplete_bytes, self.room.reserved_bytes)
        return self._queued_bytes + reading

    @property
    def incomplete_bytes(self) -> int:
        """Memory of the request that is being read, and of bytes not parsed."""
        return self.reader.held_bytes + len(self._unparsed)

    @property
    def expected_bytes(self) -> int:
        """Memory that the request takes at most once it is complete."""
        return self.reader.expected_bytes

    def receive(self, chunk: memoryview) -> None:
        """Parse bytes as far as requests may be read, and keep the rest."""
        parsed = self.reader.feed(chunk)
        self._unparsed = bytes(chunk[parsed:])
        self._connection.note_held()
        if self._connection.is_blocked:
            self.room.pause()
        else:
            self.room.pause_unless_admitted()

    def read_on(self) -> None:
        """Parse what was kept and read on, unless something blocks it."""
        if self._connection.is_blocked:
            return
        if self._unparsed:
            kept = memoryview(self._unparsed)
            self._unparsed = b''
            self.room.resume()
            self.receive(kept)
        elif self.room.pause_unless_admitted():
            self.room.resume()

    def note_held(self) -> None:
        """Update what the connection holds in the account."""
        self._connection.note_held()

    def append(self, request: HttpRequest) -> None:
        """Queue a complete request."""
        self.room.release()
        self._queued.append(request)
        self._queued_bytes += _weight(request)

    def pop(self) -> HttpRequest:
        """Return the next request, which is the handler's from now on."""
        request = self._queued.popleft()
        self._queued_bytes -= _weight(request)
        return request

    def reject(self) -> None:
        """Discard the request that is being read, and all further bytes."""
        self.reader.end()
        self._unparsed = b''
        self.room.release()

    def close(self) -> None:
        """Discard all requests."""
        self.reject()
        self._queued.clear()
        self._queued_bytes = 0
        self.room.close()


def _weight(request: HttpRequest) -> int:
    """Return what a queued request weighs."""
    return REQUEST_BYTES + headers_weight(request.headers) + len(request.body)
