"""A TCP proxy on loopback that delays, resets, silences or cuts one way."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 65536
MS_PER_S = 1000
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(slots=True)
class Harm:
    """Say what is done to the bytes now.

    Parameters
    ----------
    delay_ms : float
        Time before each chunk is passed on.
    drops_there, drops_back : bool
        Whether bytes to or from the target are lost; the connections concerned
        stay silent for good.
    refuses : bool
        Whether new connections are reset.
    """

    delay_ms: float = 0
    drops_there: bool = False
    drops_back: bool = False
    refuses: bool = False


class Proxy:
    """Pass connections on to one address.

    Parameters
    ----------
    target : str
        Address to connect to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.harm = Harm()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return where to connect instead."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._take, '127.0.0.1', 0)

    async def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for serving in self._serving:
            serving.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        serving = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm.refuses:
            _reset(writer)
            return
        host, port = self.target.rsplit(':', 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        ends = {writer, far_writer}
        self._writers |= ends
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._pump(reader, far_writer, is_back=False),
                self._pump(far_reader, writer, is_back=True),
            )
        self._writers -= ends
        for end in ends:
            end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_back: bool,
    ) -> None:
        is_silent = False
        while chunk := await reader.read(CHUNK_BYTES):
            drops = self.harm.drops_back if is_back else self.harm.drops_there
            is_silent = is_silent or drops
            if is_silent:
                continue
            if self.harm.delay_ms:
                await asyncio.sleep(self.harm.delay_ms / MS_PER_S)
            writer.write(chunk)
            await writer.drain()
        if not is_silent:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.is_closing():
        raw = writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
