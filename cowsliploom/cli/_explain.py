"""Reconstruction of a request's context from the log files of processes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._output import render_table

SERVER_HISTORY_MS = 10_000.0  # older server events rarely affect the request
LASTING_SERVER_EVENTS = frozenset(('leaving', 'paused'))
STATE_PARTS = ('configuration', 'members', 'store', 'isolation', 'evacuation')
COMMON_FIELDS = frozenset(('now_ms', 'part', 'event', 'request_id'))

LogLine = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Log lines of one process that are relevant to a request.

    Parameters
    ----------
    source : str
        Log file.
    lines : tuple of dict
        Lines in order of time; the last one is that of the request.
    lines_lost : int
        Lines that the process had lost by then.
    """

    source: str
    lines: tuple[LogLine, ...]
    lines_lost: int


def explain(request_id: str, paths: Iterable[Path]) -> list[RequestTrace]:
    """Return the traces of a request.

    Parameters
    ----------
    request_id : str
        Request id sent by the caller.
    paths : iterable of Path
        Log files, one per process.

    Returns
    -------
    list of RequestTrace
        One for each request with this id that a process completed.

    Raises
    ------
    CtlError
        A file can't be read, or no file contains the request.
    """
    traces = [trace for path in paths for trace in _find_traces(request_id, path)]
    if not traces:
        raise CtlError(
            ExitCode.NOT_FOUND,
            f'request {request_id}: not found in any of the files',
        )
    return traces


def render_trace(trace: RequestTrace) -> str:
    """Format a trace as a table, with times relative to the end of the request."""
    end_ms = trace.lines[-1]['now_ms']
    rows = [
        (
            f'{end_ms - line["now_ms"]:.1f}',
            line['part'],
            line['event'],
            _details(line),
        )
        for line in trace.lines
    ]
    head = ('MS BEFORE', 'PART', 'EVENT', 'DETAILS')
    lost = f'\n{trace.lines_lost} lines were lost' if trace.lines_lost else ''
    return f'{trace.source}\n{render_table(head, rows)}{lost}'


def _find_traces(request_id: str, path: Path) -> Iterator[RequestTrace]:
    lines = _read(path)
    for position, line in enumerate(lines):
        if line['part'] == 'request' and line.get('request_id') == request_id:
            before = lines[:position]
            lost = sum(
                earlier.get('lines', 0)
                for earlier in before
                if _reports_lost_lines(earlier)
            )
            chosen = sorted(_relevant_lines(line, before), key=_time_ms)
            yield RequestTrace(str(path), (*chosen, line), lost)


def _read(path: Path) -> list[LogLine]:
    """Return the log lines of a file; skips others, such as tracebacks."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise CtlError(ExitCode.FAILED, f'{path}: cannot be read: {error}') from error
    lines = []
    for piece in text.splitlines():
        try:
            line = msgspec.json.decode(piece, type=LogLine)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            continue
        if {'now_ms', 'part', 'event'} <= line.keys():
            lines.append(line)
    return lines


def _relevant_lines(request: LogLine, before: list[LogLine]) -> list[LogLine]:
    """Return the state lines and the server events that explain a request.

    These are the latest line of each part of the state, the recent events of the
    missing services' servers, and what these servers last asked for, however old.
    """
    latest_state = {
        line['part']: line for line in before if line['part'] in STATE_PARTS
    }
    services = {missing.split()[0] for missing in request.get('missing', ())}
    of_servers = [
        line
        for line in before
        if line['part'] == 'server' and line.get('service') in services
    ]
    since_ms = request['now_ms'] - request.get('elapsed_ms', 0) - SERVER_HISTORY_MS
    recent = [line for line in of_servers if line['now_ms'] >= since_ms]
    lasting = {
        line.get('server', ''): line
        for line in of_servers
        if line['now_ms'] < since_ms and line['event'] in LASTING_SERVER_EVENTS
    }
    return [*latest_state.values(), *lasting.values(), *recent]


def _reports_lost_lines(line: LogLine) -> bool:
    return (line['part'], line['event']) == ('log', 'lines lost')


def _time_ms(line: LogLine) -> float:
    return float(line['now_ms'])


def _details(line: LogLine) -> str:
    return ' '.join(
        f'{name}={content}'
        for name, content in line.items()
        if name not in COMMON_FIELDS and content not in ('', [])
    )
