"""Output of the command-line tool: tables for people, JSON lines for programs."""

from collections.abc import Iterable, Sequence
from enum import StrEnum

import click
import msgspec

GAP = '  '


class OutputForm(StrEnum):
    """Name the form of the output."""

    TABLE = 'table'
    JSON = 'json'


def render_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as aligned columns below a head.

    Examples
    --------
    >>> print(render_table(('KIND', 'NAME'), [('search', 'cellar')]))
    KIND    NAME
    search  cellar
    """
    lines = [tuple(head), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        GAP.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def print_json(body: object) -> None:
    """Print a value as one line of JSON."""
    click.echo(msgspec.json.encode(body))


def print_text(text: str) -> None:
    """Print text, at once also when standard output is a pipe."""
    click.echo(text)


def print_note(text: str) -> None:
    """Print a note on standard error, apart from the output."""
    click.echo(text, err=True)
