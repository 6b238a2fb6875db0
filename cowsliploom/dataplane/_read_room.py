"""Room for what one connection reads, for which it waits."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._room import READ_BYTES, SMALL_BYTES


class Source(Protocol):
    """Connection that reads requests, answers or frames."""

    @property
    def incomplete_bytes(self) -> int:
        """Memory of what is read and not complete, such as a request."""
        ...

    @property
    def expected_bytes(self) -> int:
        """Memory that it takes once it is complete, as far as that is known."""
        ...

    def note_held(self) -> None:
        """Update what the connection holds in the account."""
        ...


class ReadRoom:
    """Pause a connection until the process has room for what it reads next.

    What is small needs room for one more read. What is large needs room for all of it,
    so that whatever was admitted can be completed, although others wait.

    Parameters
    ----------
    source : Source
        The connection.
    admission : Admission
        Account of the process.
    is_work : bool
        Whether it reads an answer to a call of this process, rather than what a client
        sends.
    has_priority : bool
        Whether it is read also when room is short. Default False.
    on_room : callable or None
        Called when there is room again. Default is to read on.

    Attributes
    ----------
    reserved_bytes : int
        Room that was reserved for what is being read.
    transport : asyncio.Transport or None
        Transport of the connection while it is open.
    """

    def __init__(
        self,
        source: Source,
        admission: Admission,
        is_work: bool,
        has_priority: bool = False,
        on_room: Callable[[], None] | None = None,
    ) -> None:
        self.is_work = is_work
        self.reserved_bytes = 0
        self.transport: asyncio.Transport | None = None
        self._on_room: Callable[[], None] | None = on_room
        self._source = source
        self._admission = admission
        self._has_priority = has_priority

    @property
    def wanted_bytes(self) -> float:
        """Bytes that the connection waits for."""
        held_bytes = self._source.incomplete_bytes
        if held_bytes + READ_BYTES <= SMALL_BYTES:
            return READ_BYTES
        return READ_BYTES + max(0, self._source.expected_bytes - held_bytes)

    def pause_unless_admitted(self) -> bool:
        """Take room for what is read next, or pause; return whether there was room."""
        if self.take():
            return True
        self.pause()
        self._admission.wait(self)
        return False

    def pause(self) -> None:
        """Stop reading."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_room(self) -> None:
        """Go on after a wait."""
        if self._on_room is None:
            self.resume()
        else:
            self._on_room()

    def take(self) -> bool:
        """Take room for what is read next; False if there is none."""
        held_bytes = self._source.incomplete_bytes
        if held_bytes + READ_BYTES <= self.reserved_bytes:
            return True
        wanted_bytes = int(self.wanted_bytes)
        if not (self._has_priority or self._admits(wanted_bytes, held_bytes)):
            return False
        if held_bytes + READ_BYTES > SMALL_BYTES:
            self.reserved_bytes = held_bytes + wanted_bytes
            self._source.note_held()
        return True

    def release(self) -> None:
        """Return the room, as what was read is complete or discarded."""
        self.reserved_bytes = 0

    def close(self) -> None:
        """Return the room and wait no more, as the connection is closed."""
        self.reserved_bytes = 0
        self.transport = None
        self._admission.forget(self)

    def _admits(self, wanted_bytes: int, held_bytes: int) -> bool:
        room = self._admission.room
        if self.is_work and held_bytes + READ_BYTES > SMALL_BYTES:
            return room.admits_work(wanted_bytes)
        return room.admits(wanted_bytes, held_bytes)
