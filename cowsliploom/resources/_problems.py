"""Validation problems of resource documents."""

import reprlib
from dataclasses import dataclass
from typing import Any

VALUE_LENGTH_MAX = 80  # characters of an invalid value shown in a message

_TRUNCATED_REPR = reprlib.Repr()  # bounded also for nested YAML aliases
_TRUNCATED_REPR.maxstring = VALUE_LENGTH_MAX
_TRUNCATED_REPR.maxother = VALUE_LENGTH_MAX


@dataclass(frozen=True, slots=True)
class ResourceProblem:
    """A validation problem in one field of a document.

    Parameters
    ----------
    document : str
        ``kind/name`` of the document, or its position in the file if it has none.
    field : str
        Path of the field, such as ``'spec.servers[2].address'``.
    got : str
        Invalid value; empty if the field is missing.
    expected : str
        Accepted values, with their unit.
    """

    document: str
    field: str
    got: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as a single line."""
        got = self.got or 'nothing'
        return f'{self.document}: {self.field}: got {got}, expected {self.expected}'


class InvalidResources(ValueError):
    """Raised with all validation problems of a set of documents.

    Parameters
    ----------
    problems : tuple of ResourceProblem
        All problems, in the order of the documents.
    """

    def __init__(self, problems: tuple[ResourceProblem, ...]) -> None:
        super().__init__('; '.join(str(problem) for problem in problems))
        self.problems = problems


def format_value(found: Any) -> str:
    """Format an invalid value for a message.

    Parameters
    ----------
    found : Any
        Value parsed from YAML or JSON.

    Returns
    -------
    str
        Representation, truncated to a bounded length.
    """
    return _TRUNCATED_REPR.repr(found)
