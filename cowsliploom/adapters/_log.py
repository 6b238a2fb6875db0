"""Structured logging as JSON lines, with a fixed prefix for each component."""

import sys
from typing import TextIO

from eliot import FileDestination, add_destinations, log_message, remove_destination

LogField = str | int | float | bool | None


class JsonLogDestination:
    """Write all log messages of this process as JSON lines to a stream.

    Parameters
    ----------
    stream : TextIO or None, default None
        Output stream; standard error if None.

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
        """Start writing."""
        add_destinations(self._destination)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop writing."""
        remove_destination(self._destination)


class ComponentLog:
    """Log messages of one component.

    Parameters
    ----------
    prefix : str
        Name of the component, such as ``'operator'``; starts every message.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix

    def write(self, sentence: str, request_id: str = '', **fields: LogField) -> None:
        """Log a message with its fields.

        Parameters
        ----------
        sentence : str
            Constant message text, a short sentence that states the event.
        request_id : str, default ''
            Identifier of the request; left out if empty.
        **fields : str, int, float, bool or None
            Variable data of the event; field names carry units.
        """
        if request_id:
            fields['request_id'] = request_id
        log_message(message_type=f'{self.prefix}: {sentence}', **fields)
