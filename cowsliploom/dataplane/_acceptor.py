"""Acceptance of connections while the process has room for them."""

import asyncio
import socket
from collections.abc import Callable

from cowsliploom.dataplane._admission import Admission
from cowsliploom.dataplane._room import Use
from cowsliploom.dataplane._sockets import bound_address, listening_socket
from cowsliploom.dataplane._weights import CONNECTION_BYTES

BACKLOG = 512  # connections that the kernel queues
ACCEPTED_MAX = 32  # in one turn of the event loop
RETRY_S = 0.1  # after the system had no descriptor


class Acceptor:
    """Accept connections on one address; further ones wait in the kernel's queue.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address; port 0 lets the system choose.
    admission : Admission
        Account of the process.
    use : Use
        What the connections are used for. They must return their descriptor.
    make_protocol : callable
        Returns the protocol of a new connection.
    end_oldest : callable
        Ends the connection that was not used for longest, to make room.
    """

    is_work = False
    wanted_bytes = CONNECTION_BYTES

    def __init__(
        self,
        address: str,
        admission: Admission,
        use: Use,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        end_oldest: Callable[[], None],
    ) -> None:
        self.address = address
        self._admission = admission
        self._use = use
        self._make_protocol = make_protocol
        self._end_oldest = end_oldest
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._adopting: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Bind the address and start to listen."""
        self._socket = listening_socket(self.address)
        self._socket.listen(BACKLOG)
        self.address = bound_address(self._socket)
        self._listen()

    def close(self) -> None:
        """Stop listening."""
        self._admission.forget(self)
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def take(self) -> bool:
        """Return whether there is room; if there is none, ask for some."""
        if self._socket is None or self._has_room:
            return True
        self._make_room()
        return False

    def on_room(self) -> None:
        """Accept connections again."""
        self._listen()

    @property
    def _has_room(self) -> bool:
        room = self._admission.room
        return room.may_open(self._use) and room.admits(CONNECTION_BYTES)

    def _listen(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        """Accept queued connections as far as there is room; at least one is queued."""
        if not self._has_room:
            self._wait_for_room()
            return
        for _ in range(ACCEPTED_MAX):
            if not (self._has_room and self._accept_one()):
                return

    def _accept_one(self) -> bool:
        """Accept a connection; False if none is queued."""
        if self._socket is None:
            return False
        try:
            accepted, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError:
            self._admission.refused += 1
            self._loop.remove_reader(self._socket)
            self._loop.call_later(RETRY_S, self._listen)
            return False
        accepted.setblocking(False)
        self._admission.room.open(self._use)
        adopting = self._loop.create_task(self._adopt(accepted))
        self._adopting.add(adopting)
        adopting.add_done_callback(self._adopting.discard)
        return True

    async def _adopt(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, accepted)
        except OSError:
            accepted.close()
            self._admission.close(self._use)

    def _wait_for_room(self) -> None:
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
        self._make_room()
        self._admission.wait(self)

    def _make_room(self) -> None:
        """Close an idle connection here, or idle ones to servers, for descriptors."""
        room = self._admission.room
        if not room.has_share(self._use):
            self._end_oldest()
        elif not room.may_open(self._use):
            self._admission.close_idle_calls()
