"""What is wrong with resource documents."""

import reprlib
from dataclasses import dataclass
from typing import Any

GOT_LENGTH_MAX = 80  # characters of a wrong value that a message repeats

_SHORT = reprlib.Repr()  # bounded also for a value that repeats itself by aliases
_SHORT.maxstring = GOT_LENGTH_MAX
_SHORT.maxother = GOT_LENGTH_MAX


@dataclass(frozen=True, slots=True)
class ResourceProblem:
    """Name one fault of one document.

    Parameters
    ----------
    document : str
        ``kind/name`` of the document, or its place in the file when it has none.
    field : str
        Path of the field, such as ``'spec.servers[2].address'``.
    got : str
        Value found; empty when the field is missing.
    expected : str
        What the field takes, with its unit.
    """

    document: str
    field: str
    got: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        got = self.got or 'nothing'
        return f'{self.document}: {self.field}: got {got}, expected {self.expected}'


class InvalidResources(ValueError):
    """Carry all problems of a set of documents.

    Parameters
    ----------
    problems : tuple of ResourceProblem
        All problems found, in the order of the documents.
    """

    def __init__(self, problems: tuple[ResourceProblem, ...]) -> None:
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


def describe_got(found: Any) -> str:
    """Return a wrong value as short text.

    Parameters
    ----------
    found : Any
        Value decoded from YAML or JSON.

    Returns
    -------
    str
        Its text form, cut to a bounded length.
    """
    return _SHORT.repr(found)
