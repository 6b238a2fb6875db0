"""Structured log lines on standard output that never block and never pile up."""

import asyncio
import os
import sys
from collections import deque

import msgspec

MS_PER_S = 1000
LINES_PER_S = 300.0  # sustained; more lines are counted and left out
BURST_LINES = 600.0
BUFFER_BYTES_MAX = 262_144
FLUSH_MS = 50

LogField = str | int | float | bool | None | list[str]


class LineLog:
    """Write one JSON object a line, within bounds.

    Parameters
    ----------
    descriptor : int
        Where lines go; standard output by default.

    Notes
    -----
    A full pipe or too many lines cost lines, not requests; a later line tells how
    many were lost.
    """

    def __init__(self, descriptor: int | None = None) -> None:
        self.lost = 0
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._encode = msgspec.json.Encoder().encode
        self._buffer: deque[bytes] = deque()
        self._bytes = 0
        self._tokens = BURST_LINES
        self._earned_ms: float = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._flushing: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Write from the running loop from now on."""
        self._loop = asyncio.get_running_loop()
        self._earned_ms = self._loop.time() * MS_PER_S
        os.set_blocking(self._descriptor, False)

    def write(self, part: str, event: str, **fields: LogField) -> None:
        """Log an event of one part of the system.

        Parameters
        ----------
        part : str
            Part that speaks, such as ``'request'``.
        event : str
            What happened, in the same few words each time.
        **fields : str, int, float, bool, None or list of str
            Inputs of the decision; names carry units.
        """
        if not self._may_write():
            self.lost += 1
            return
        line = self._line({'part': part, 'event': event, **fields})
        if self._bytes + len(line) > BUFFER_BYTES_MAX:
            self.lost += 1
            return
        self._buffer.append(line)
        self._bytes += len(line)
        if self._flushing is None and self._loop is not None:
            self._flushing = self._loop.call_later(FLUSH_MS / MS_PER_S, self._flush)

    def close(self) -> None:
        """Write what the reader takes now."""
        self._flush()

    def _line(self, fields: dict[str, LogField]) -> bytes:
        return b'%b\n' % self._encode({'now_ms': self._now_ms(), **fields})

    def _now_ms(self) -> float:
        return round(self._loop.time() * MS_PER_S, 1) if self._loop else 0

    def _may_write(self) -> bool:
        now_ms = self._now_ms()
        earned = (now_ms - self._earned_ms) / MS_PER_S * LINES_PER_S
        self._earned_ms = now_ms
        self._tokens = min(BURST_LINES, self._tokens + earned)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        self._flushing = None
        if self.lost:
            told: dict[str, LogField] = {
                'part': 'log',
                'event': 'lines lost',
                'lines': self.lost,
            }
            self._buffer.append(self._line(told))
            self.lost = 0
        pending = b''.join(self._buffer)
        self._buffer.clear()
        try:
            written = os.write(self._descriptor, pending) if pending else 0
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(pending)  # nobody reads any more, so nothing is owed
        rest = pending[written:]
        self._bytes = len(rest)
        if rest:
            self._buffer.append(rest)
            if self._loop is not None:
                self._flushing = self._loop.call_later(FLUSH_MS / MS_PER_S, self._flush)
