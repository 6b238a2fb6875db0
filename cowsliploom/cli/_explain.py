"""The story of one request, from the log lines of the processes that saw it."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._output import render_table

BEFORE_MS = 10_000.0  # what servers did longer ago hardly decided anything
LASTING = ('configuration', 'members', 'store', 'isolation', 'evacuation')
PLAIN = frozenset(('now_ms', 'part', 'event', 'request_id'))

LogLine = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Story:
    """Hold what one process logged that bears on a request.

    Parameters
    ----------
    source : str
        Log file.
    lines : tuple of dict
        Lines in order of time; the request's own is the last.
    lines_lost : int
        Lines that this process left out up to then.
    """

    source: str
    lines: tuple[LogLine, ...]
    lines_lost: int


def explain(request_id: str, paths: Iterable[Path]) -> list[Story]:
    """Return the stories of a request.

    Parameters
    ----------
    request_id : str
        Id that the caller sent.
    paths : iterable of Path
        Log files, one of each process.

    Returns
    -------
    list of Story
        One for each time that a process ended a request of this id.

    Raises
    ------
    CtlError
        If a file can't be read, or none has the request.
    """
    stories = [story for path in paths for story in _stories(request_id, path)]
    if not stories:
        raise CtlError(
            ExitCode.NOT_FOUND,
            f'request {request_id}: expected in one of the files, found in none',
        )
    return stories


def render_story(story: Story) -> str:
    """Return a story as a table, with times before the request's end."""
    end_ms = story.lines[-1]['now_ms']
    rows = [
        (
            f'{end_ms - line["now_ms"]:.1f}',
            line['part'],
            line['event'],
            _details(line),
        )
        for line in story.lines
    ]
    head = ('MS BEFORE', 'PART', 'EVENT', 'DETAILS')
    lost = f'\n{story.lines_lost} lines were lost' if story.lines_lost else ''
    return f'{story.source}\n{render_table(head, rows)}{lost}'


def _stories(request_id: str, path: Path) -> Iterator[Story]:
    lines = _read(path)
    for position, line in enumerate(lines):
        if line['part'] == 'request' and line.get('request_id') == request_id:
            before = lines[:position]
            lost = sum(
                earlier.get('lines', 0) for earlier in before if _tells_loss(earlier)
            )
            chosen = sorted(_bearing(line, before), key=_time_ms)
            yield Story(str(path), (*chosen, line), lost)


def _read(path: Path) -> list[LogLine]:
    """Return the lines that are log lines; others, such as tracebacks, are not."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise CtlError(ExitCode.FAILED, f'{path}: can not be read: {error}') from error
    lines = []
    for piece in text.splitlines():
        try:
            line = msgspec.json.decode(piece, type=LogLine)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue
        if {'now_ms', 'part', 'event'} <= line.keys():
            lines.append(line)
    return lines


def _bearing(request: LogLine, before: list[LogLine]) -> list[LogLine]:
    """Return the beliefs in force and what the services' servers did just before."""
    lasting: dict[str, LogLine] = {}
    servers = []
    since_ms = request['now_ms'] - request.get('elapsed_ms', 0) - BEFORE_MS
    services = {told.split()[0] for told in request.get('missing', ())}
    for line in before:
        if line['part'] in LASTING:
            lasting[line['part']] = line
        elif line['part'] == 'server' and line['now_ms'] >= since_ms:
            if line.get('service') in services:
                servers.append(line)
    return [*lasting.values(), *servers]


def _tells_loss(line: LogLine) -> bool:
    return (line['part'], line['event']) == ('log', 'lines lost')


def _time_ms(line: LogLine) -> float:
    return float(line['now_ms'])


def _details(line: LogLine) -> str:
    return ' '.join(
        f'{name}={content}'
        for name, content in line.items()
        if name not in PLAIN and content not in ('', [])
    )
