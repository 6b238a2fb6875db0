"""Responses that never end."""

import asyncio
from dataclasses import dataclass

BUFFERED_BYTES_MAX = 1_000_000  # limits the write buffer if the reader is slower


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """Response that continues until the reader closes the connection.

    Parameters
    ----------
    start : bytes
        Bytes sent once, first.
    piece : bytes
        Bytes sent repeatedly.
    pause_ms : float
        Pause between two pieces, in milliseconds.
    """

    start: bytes
    piece: bytes
    pause_ms: float = 0


async def send_without_end(
    transport: asyncio.Transport, answer: EndlessResponse
) -> None:
    """Send a response until the peer has closed the connection."""
    transport.write(answer.start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < BUFFERED_BYTES_MAX:
            transport.write(answer.piece)
        await asyncio.sleep(answer.pause_ms / 1000)
