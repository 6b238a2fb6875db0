"""Answers that a stand-in sends without end."""

import asyncio
from dataclasses import dataclass

BUFFERED_BYTES_MAX = 1_000_000  # of a reader that is slower


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """Describe an answer that goes on until its reader closes.

    Parameters
    ----------
    start : bytes
        Sent once.
    piece : bytes
        Sent again and again.
    pause_ms : float
        Time between two pieces.
    """

    start: bytes
    piece: bytes
    pause_ms: float = 0


async def send_without_end(
    transport: asyncio.Transport, answer: EndlessResponse
) -> None:
    """Send an answer until the other side has closed the connection."""
    transport.write(answer.start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < BUFFERED_BYTES_MAX:
            transport.write(answer.piece)
        await asyncio.sleep(answer.pause_ms / 1000)
