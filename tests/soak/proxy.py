"""A TCP proxy on loopback that delays, resets or drops bytes, also in one direction."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass

CHUNK_BYTES = 65536
MS_PER_S = 1000
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(slots=True)
class Impairment:
    """Current treatment of the proxied connections.

    Parameters
    ----------
    delay_ms : float
        Delay before each chunk is forwarded.
    drops_there, drops_back : bool
        Whether bytes to or from the target are dropped; affected connections drop
        all later bytes in that direction.
    refuses : bool
        Whether new connections are reset.
    """

    delay_ms: float = 0
    drops_to_target: bool = False
    drops_from_target: bool = False
    resets_new_connections: bool = False


class Proxy:
    """Forward connections to one address.

    Parameters
    ----------
    target : str
        Address to connect to.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.impairment = Impairment()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address on which the proxy listens."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)

    async def close(self) -> None:
        """Stop listening and reset the open connections."""
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

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        serving = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.impairment.resets_new_connections:
            _reset(writer)
            return
        host, port = self.target.rsplit(':', 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        writers = {writer, target_writer}
        self._writers |= writers
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._pump(reader, target_writer, from_target=False),
                self._pump(target_reader, writer, from_target=True),
            )
        self._writers -= writers
        for writer_end in writers:
            writer_end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_target: bool,
    ) -> None:
        is_silenced = False
        while chunk := await reader.read(CHUNK_BYTES):
            drops = (
                self.impairment.drops_from_target
                if from_target
                else self.impairment.drops_to_target
            )
            is_silenced = is_silenced or drops
            if is_silenced:
                continue
            if self.impairment.delay_ms:
                await asyncio.sleep(self.impairment.delay_ms / MS_PER_S)
            writer.write(chunk)
            await writer.drain()
        if not is_silenced:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.is_closing():
        raw = writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
