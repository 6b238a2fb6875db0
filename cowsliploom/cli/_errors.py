"""How the command-line tool ends."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Name the exit status of the command-line tool."""

    DONE = 0
    FAILED = 1
    WRONG_USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    LOST_RACE = 5
    NOT_APPLIED = 6
    MAYBE_APPLIED = 7
    TAKEN_BACK = 8
    TIMED_OUT = 9


class CtlError(Exception):
    """End the tool with a message and an exit status.

    Parameters
    ----------
    code : ExitCode
        Exit status.
    sentence : str
        What went wrong.
    step, peer : str
        Where it arose.
    """

    def __init__(
        self, code: ExitCode, sentence: str, step: str = '', peer: str = ''
    ) -> None:
        super().__init__(sentence)
        self.code = code
        self.sentence = sentence
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        place = ', '.join(filter(None, (self.step, self.peer)))
        return f'{self.sentence} ({place})' if place else self.sentence
