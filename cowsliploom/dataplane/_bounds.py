"""Bounds on the size of an answer, which a faulty server may send without end."""

from dataclasses import dataclass

HEAD_BYTES_MAX = 65_536
BODY_BYTES_MAX = 32_000_000  # all updates of the store after a long outage


@dataclass(frozen=True, slots=True)
class AnswerBounds:
    """Upper bounds of what is read of one answer.

    Parameters
    ----------
    head_bytes_max : int
        Interim answers, status line and headers. Bytes between or after those of
        the body, such as chunk framing and trailers, have the same bound.
    body_bytes_max : int
        Body as it is sent, with the framing of its chunks.
    """

    head_bytes_max: int = HEAD_BYTES_MAX
    body_bytes_max: int = BODY_BYTES_MAX


class AnswerMeter:
    """Count the bytes of one answer against its bounds.

    Parameters
    ----------
    bounds : AnswerBounds
        Upper bounds of the answer.
    """

    def __init__(self, bounds: AnswerBounds) -> None:
        self._bounds = bounds
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._is_in_body = False

    @property
    def exceeded(self) -> str:
        """Return a description of the exceeded bound; empty if there is none."""
        if self._overhead_bytes > self._bounds.head_bytes_max:
            return f'head over {self._bounds.head_bytes_max} bytes'
        if self._body_bytes > self._bounds.body_bytes_max:
            return f'body over {self._bounds.body_bytes_max} bytes'
        return ''

    def restart(self) -> None:
        """Reset the counts for the next answer."""
        self._overhead_bytes = 0
        self._body_bytes = 0
        self._is_in_body = False

    def add(self, size_bytes: int) -> None:
        """Count bytes before they are parsed."""
        self._overhead_bytes += size_bytes
        if self._is_in_body:
            self._body_bytes += size_bytes

    def begin_body(self, length_bytes: int) -> None:
        """Start counting the body; an announced length above the bound exceeds it."""
        self._is_in_body = True
        self._overhead_bytes = 0
        if length_bytes > self._bounds.body_bytes_max:
            self._body_bytes = length_bytes

    def reset_overhead(self) -> None:
        """Restart the overhead count, as body bytes have been parsed."""
        self._overhead_bytes = 0
