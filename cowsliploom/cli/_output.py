"""Output of the command-line tool, as tables or JSON lines."""

from collections.abc import Iterable, Sequence
from enum import StrEnum

import click
import msgspec

GAP = '  '


class OutputForm(StrEnum):
    """Output format."""

    TABLE = 'table'
    JSON = 'json'


def render_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Format rows as aligned columns below a header.

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
    """Print text and flush, also if standard output is a pipe."""
    click.echo(text)


def print_note(text: str) -> None:
    """Print a note to standard error."""
    click.echo(text, err=True)
