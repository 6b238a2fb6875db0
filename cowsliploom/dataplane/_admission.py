"""Admission of what clients send and servers answer, before memory is taken."""

import asyncio
import time
from collections.abc import Callable, Hashable, Iterable
from typing import Protocol

from cowsliploom.dataplane._room import (
    LARGE_SHARE,
    READ_BYTES,
    Room,
    RoomLimits,
    Use,
)

MS_PER_S = 1000
WAIT_MAX_MS = 200  # before the greediest connection is ended for those that wait
OVERDUE_CHECK_MS = 50
CLOSING_MS = 5  # in which closed connections return their descriptors


class Client(Hashable, Protocol):
    """Connection of a client, which may be ended to make room."""

    def shed(self) -> None:
        """End the connection."""
        ...


class Waiter(Hashable, Protocol):
    """A paused connection or call."""

    is_work: bool

    @property
    def wanted_bytes(self) -> float:
        """Bytes that it waits for."""
        ...

    def take(self) -> bool:
        """Take the room that it waits for; False if there is none."""
        ...

    def on_room(self) -> None:
        """Go on, as there is room; it may wait again."""
        ...


class CallDescriptor:
    """A descriptor that was taken for a call, and is returned once.

    Parameters
    ----------
    admission : Admission
        Account that it is returned to.
    """

    def __init__(self, admission: 'Admission') -> None:
        self._admission: Admission | None = admission

    @property
    def is_held(self) -> bool:
        """Whether it was not returned yet."""
        return self._admission is not None

    def release(self) -> None:
        """Return the descriptor, unless that was done already."""
        if self._admission is not None:
            self._admission.close(Use.CALLS)
            self._admission = None


class Admission:
    """Pause whoever needs more room than there is, and end the greediest clients.

    One for each process: all its listeners, calls and requests share it.

    Parameters
    ----------
    limits : RoomLimits
        Limits of the process. Default none.

    Attributes
    ----------
    room : Room
        The account.
    read_buffer : memoryview
        Buffer that all connections read into, one after the other.
    shed : int
        Number of connections that were ended for lack of room.
    pauses : int
        Number of times that a connection or a call had to wait for room.
    refused : int
        Number of requests, shares and calls that were refused for lack of room, and of
        connections that the system did not let the process accept.
    on_shortage : list of callable
        Called when no descriptor is left for a call, to close idle connections.
    """

    def __init__(self, limits: RoomLimits = RoomLimits()) -> None:  # noqa: WPS404
        self.room: Room[Client] = Room(limits)
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.shed = 0
        self.pauses = 0
        self.refused = 0
        self.on_shortage: list[Callable[[], None]] = []
        self._waiters: dict[Waiter, float] = {}
        self._is_resume_due = False
        self._closing_until_ms: float = 0
        self._overdue_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return the number of paused connections and calls."""
        return len(self._waiters)

    def now_ms(self) -> float:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic() * MS_PER_S

    # Connections of clients.

    def update(self, client: Client, held_bytes: float, is_busy: bool = False) -> None:
        """Record what a client's connection holds; end others if that is too much."""
        self.room.update(client, held_bytes, is_busy)
        self._shed(self.room.excess())
        self._resume_soon()

    def remove(self, client: Client) -> None:
        """Forget a connection that is closed."""
        self.room.remove(client)
        self._resume_soon()

    def end(self, client: Client) -> None:
        """Record that a connection is being closed."""
        self.room.end(client)

    # Work of the process.

    def charge(self, work: Hashable, held_bytes: float) -> None:
        """Record what a piece of work holds now; 0 if it has ended."""
        self.room.charge(work, held_bytes)
        self._resume_soon()

    def begin(self, work: Hashable, held_bytes: float) -> bool:
        """Admit a piece of work; False, and counted as refused, if there is no room."""
        if self.room.admits_work(held_bytes):
            self.room.charge(work, held_bytes)
            return True
        self.refused += 1
        return False

    # Waiting.

    def wait(self, waiter: Waiter) -> None:
        """Let a paused connection or call wait for room."""
        if waiter in self._waiters:
            return
        self.pauses += 1
        self._waiters[waiter] = self.now_ms()
        self._resume_soon()
        self._watch_overdue()

    def forget(self, waiter: Waiter) -> None:
        """Let a connection or a call wait no more."""
        self._waiters.pop(waiter, None)

    def _resume_soon(self) -> None:
        if self._waiters and not self._is_resume_due:
            self._is_resume_due = True
            asyncio.get_running_loop().call_soon(self._resume)

    def _resume(self) -> None:
        """Resume those that fit, in the order in which they began to wait.

        What is resumed takes its memory only when it is read, so the sum of what was
        granted here is bounded too.
        """
        self._is_resume_due = False
        free_bytes = self.room.limits.bytes_max - self.room.held_bytes
        for waiter in tuple(self._waiters):
            if free_bytes < 0:
                return
            if waiter in self._waiters and waiter.take():
                self._waiters.pop(waiter)
                free_bytes -= waiter.wanted_bytes
                waiter.on_room()

    def _watch_overdue(self) -> None:
        if self._overdue_timer is None and self._waiters:
            self._overdue_timer = asyncio.get_running_loop().call_later(
                OVERDUE_CHECK_MS / MS_PER_S, self._end_for_overdue
            )

    def _end_for_overdue(self) -> None:
        """End the greediest clients for the oldest waiter if it waits for too long.

        They don't help one that waits for other work to end, which has deadlines.
        """
        self._overdue_timer = None
        latest_ms = self.now_ms() - WAIT_MAX_MS
        for waiter, since_ms in self._waiters.items():
            if since_ms > latest_ms:
                break
            if not waiter.is_work or self.room.has_work_share(waiter.wanted_bytes):
                bytes_max = LARGE_SHARE * self.room.limits.bytes_max
                wanted_max = bytes_max - waiter.wanted_bytes
                self._shed(self.room.victims(wanted_max, spares_busy=True))
                break
        self._resume_soon()
        self._watch_overdue()

    def _shed(self, victims: Iterable[Client]) -> None:
        for greediest in victims:
            self.shed += 1
            greediest.shed()

    # Descriptors.

    def open(self, use: Use) -> bool:
        """Take a descriptor; False if there is none for this use."""
        if self.room.may_open(use):
            self.room.open(use)
            return True
        return False

    async def open_for_call(self) -> CallDescriptor | None:
        """Take a descriptor for a call; None if there is none.

        Idle connections to servers are closed first.
        """
        if self.open(Use.CALLS):
            return CallDescriptor(self)
        self.close_idle_calls()
        await asyncio.sleep(CLOSING_MS / MS_PER_S)
        if self.open(Use.CALLS):
            return CallDescriptor(self)
        self.refused += 1
        return None

    def close_idle_calls(self) -> None:
        """Close idle connections to servers, once for all that lack a descriptor."""
        now_ms = self.now_ms()
        if now_ms < self._closing_until_ms:
            return
        self._closing_until_ms = now_ms + CLOSING_MS
        for close_idle in self.on_shortage:
            close_idle()

    def close(self, use: Use) -> None:
        """Return a descriptor."""
        self.room.close(use)
        self._resume_soon()
