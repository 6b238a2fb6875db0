"""Errors and exit statuses of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of the command-line tool."""

    DONE = 0
    FAILED = 1
    USAGE_ERROR = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    NOT_APPLIED = 6
    MAYBE_APPLIED = 7
    ROLLED_BACK = 8
    TIMED_OUT = 9


class CtlError(Exception):
    """Raised to end the tool with a message and an exit status.

    Parameters
    ----------
    code : ExitCode
        Exit status.
    message : str
        Error message.
    step, peer : str
        Operation that failed, and the server involved.
    """

    def __init__(
        self, code: ExitCode, message: str, step: str = '', peer: str = ''
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        place = ', '.join(filter(None, (self.step, self.peer)))
        return f'{self.message} ({place})' if place else self.message
