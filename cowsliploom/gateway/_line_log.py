"""Non-blocking JSON log lines on standard output, with bounded rate and buffer."""

import asyncio
import os
import sys
from collections import deque

import msgspec

MS_PER_S = 1000
LINES_PER_S = 300.0  # sustained rate; further lines are dropped and counted
BURST_LINES = 600.0
BUFFER_BYTES_MAX = 262_144
FLUSH_MS = 50

LogField = str | int | float | bool | None | list[str]


class LineLog:
    """Write one JSON object per line, within bounds.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; standard output by default.

    Notes
    -----
    When the pipe is full or the rate too high, lines are dropped so that requests are
    never delayed. A later line reports how many were lost.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.lost = 0
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._encode = msgspec.json.Encoder().encode
        self._buffer: deque[bytes] = deque()
        self._bytes = 0
        self._tokens = BURST_LINES
        self._refilled_ms: float = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._flush_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start writing from the running loop."""
        self._loop = asyncio.get_running_loop()
        self._refilled_ms = self._loop.time() * MS_PER_S
        os.set_blocking(self._descriptor, False)

    def write(self, part: str, event: str, **fields: LogField) -> None:
        """Log an event of one part of the system.

        Parameters
        ----------
        part : str
            Part of the system that logs, such as ``'request'``.
        event : str
            Constant name of the event.
        **fields : str, int, float, bool, None or list of str
            Details, such as the inputs of a decision; names end with their unit.
        """
        if not self._take_token():
            self.lost += 1
            return
        line = self._line({'part': part, 'event': event, **fields})
        if self._bytes + len(line) > BUFFER_BYTES_MAX:
            self.lost += 1
            return
        self._buffer.append(line)
        self._bytes += len(line)
        if self._flush_timer is None and self._loop is not None:
            self._flush_timer = self._loop.call_later(FLUSH_MS / MS_PER_S, self._flush)

    def close(self) -> None:
        """Write buffered lines as far as the reader accepts them now."""
        self._flush()

    def _line(self, fields: dict[str, LogField]) -> bytes:
        return b'%b\n' % self._encode({'now_ms': self._now_ms(), **fields})

    def _now_ms(self) -> float:
        return round(self._loop.time() * MS_PER_S, 1) if self._loop else 0

    def _take_token(self) -> bool:
        now_ms = self._now_ms()
        refill = (now_ms - self._refilled_ms) / MS_PER_S * LINES_PER_S
        self._refilled_ms = now_ms
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        self._flush_timer = None
        if self.lost:
            fields: dict[str, LogField] = {
                'part': 'log',
                'event': 'lines lost',
                'lines': self.lost,
            }
            self._buffer.append(self._line(fields))
            self.lost = 0
        pending = b''.join(self._buffer)
        self._buffer.clear()
        try:
            written = os.write(self._descriptor, pending) if pending else 0
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(pending)  # the reader is gone, so nothing is kept
        unsent = pending[written:]
        self._bytes = len(unsent)
        if unsent:
            self._buffer.append(unsent)
            if self._loop is not None:
                self._flush_timer = self._loop.call_later(
                    FLUSH_MS / MS_PER_S, self._flush
                )
