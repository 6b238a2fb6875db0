"""Logs as JSON lines, with a fixed prefix for each part."""

import sys
from typing import TextIO

from eliot import FileDestination, add_destinations, log_message, remove_destination

LogField = str | int | float | bool | None


class JsonLogDestination:
    """Write all logs of this process as JSON lines to a stream.

    Parameters
    ----------
    stream : TextIO or None, default None
        Where lines go; standard error when none is given.

    Examples
    --------
    >>> import io
    >>> lines = io.StringIO()
    >>> with JsonLogDestination(lines):
    ...     ComponentLog('operator').write('Started.', address='127.0.0.1:80')
    >>> '"message_type":"operator: Started."' in lines.getvalue()
    True
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        self._destination = FileDestination(file=stream or sys.stderr)

    def __enter__(self) -> 'JsonLogDestination':
        """Start to write."""
        add_destinations(self._destination)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop writing."""
        remove_destination(self._destination)


class ComponentLog:
    """Log short sentences of one part of the system.

    Parameters
    ----------
    prefix : str
        Name of the part, such as ``'operator'``; starts every message.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def write(self, sentence: str, request_id: str = '', **fields: LogField) -> None:
        """Log a sentence with its fields.

        Parameters
        ----------
        sentence : str
            What happened, as a short sentence that is the same each time.
        request_id : str, default ''
            Request concerned; left out when empty.
        **fields : str, int, float, bool or None
            What differs from time to time; names carry units.
        """
        if request_id:
            fields['request_id'] = request_id
        log_message(message_type=f'{self.prefix}: {sentence}', **fields)
