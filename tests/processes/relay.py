"""A TCP relay for tests that can stall, close or refuse connections."""

import contextlib
import socket
import threading
from types import TracebackType

BUFFER_BYTES = 65536
ACCEPT_POLL_S = 0.05


class Relay:
    """Forward bytes between a listening port and one address.

    ``stall`` drops all later bytes of the open connections while new ones work, as
    when a device on the path loses its connection state. ``cut`` closes the open
    connections and refuses new ones until ``mend``.
    """

    def __init__(self, target: str) -> None:
        host, port = target.rsplit(':', 1)
        self._target = (host, int(port))
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._listener.settimeout(ACCEPT_POLL_S)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._stalled: set[socket.socket] = set()
        self._cut = False
        self._closed = False
        self.accepted = 0

    @property
    def address(self) -> str:
        """Address to connect to instead of the target."""
        host, port = self._listener.getsockname()
        return f'{host}:{port}'

    def __enter__(self) -> 'Relay':
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closed = True
        self._close_pairs()
        self._listener.close()

    def stall(self) -> int:
        """Drop all later bytes of the open connections; return their number."""
        silenced = [end for pair in self._pairs for end in pair]
        self._stalled.update(silenced)
        return len(silenced) // 2

    def cut(self) -> None:
        """Close the open connections and refuse new ones."""
        self._cut = True
        self._close_pairs()

    def mend(self) -> None:
        """Accept connections again."""
        self._cut = False

    def _close_pairs(self) -> None:
        for pair in self._pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)
                end.close()
        self._pairs = []

    def _accept(self) -> None:
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            if self._cut:
                near.close()
                continue
            self.accepted += 1
            self._connect(near)

    def _connect(self, near: socket.socket) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            near.close()
            return
        near.settimeout(None)
        self._pairs.append((near, far))
        for source, sink in ((near, far), (far, near)):
            threading.Thread(
                target=self._pump, args=(source, sink), daemon=True
            ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                received = source.recv(BUFFER_BYTES)
                if source in self._stalled:
                    continue
                if not received:
                    break
                sink.sendall(received)
        with contextlib.suppress(OSError):
            sink.shutdown(socket.SHUT_RDWR)
