"""Watches that go on over broken streams and between operator daemons."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from cowsliploom.cli._client import OperatorClient, refusal_error
from cowsliploom.ports import Clock

SILENCE_MS = 20_000.0  # four of the daemon's heartbeats
PAUSE_FIRST_MS = 100.0
PAUSE_MAX_MS = 5000.0

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class WatchLine:
    """Hold one line of a stream, whatever its type."""

    type: str
    revision: int = 0
    resource: Fields = field(default_factory=dict)
    kind: str = ''
    name: str = ''
    status: Fields = field(default_factory=dict)
    store_failure: str = ''
    reason: str = ''


@dataclass(frozen=True, slots=True)
class PutSeen:
    """Tell that a resource is new or changed."""

    kind: str
    name: str
    revision: int
    spec: Fields
    event: str = 'put'


@dataclass(frozen=True, slots=True)
class DeleteSeen:
    """Tell that a resource is gone."""

    kind: str
    name: str
    revision: int
    event: str = 'delete'


@dataclass(frozen=True, slots=True)
class StatusSeen:
    """Tell that a resource's status changed."""

    kind: str
    name: str
    revision: int
    status: Fields
    event: str = 'status'


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """Tell that the watch goes on at another stream."""

    server: str
    reason: str
    event: str = 'resume'


@dataclass(frozen=True, slots=True)
class StoreSeen:
    """Tell that the platform's store stopped answering, or answers again."""

    failure: str
    event: str = 'store'


WatchEvent = PutSeen | DeleteSeen | StatusSeen | StreamBroken | StoreSeen


@dataclass(frozen=True, slots=True)
class WatchState:
    """Hold what a watcher knows.

    Parameters
    ----------
    bookmark : int or None
        Revision up to which all is known; None to begin with all resources.
    known : dict of (str, str) to int
        Revision by kind and name.
    listed : frozenset of (str, str) or None
        Resources seen since a listing began; None when none is under way.
    store_failure : str
        What the last bookmark said of the store.
    """

    bookmark: int | None = None
    known: dict[tuple[str, str], int] = field(default_factory=dict)
    listed: frozenset[tuple[str, str]] | None = None
    store_failure: str = ''


def open_stream(state: WatchState) -> WatchState:
    """Return the state at the start of a stream."""
    listed = frozenset[tuple[str, str]]() if state.bookmark is None else None
    return replace(state, listed=listed)


def take_line(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    """Take a line and return the events that are news.

    Parameters
    ----------
    state : WatchState
        What is known.
    line : WatchLine
        Next line of the stream.

    Returns
    -------
    WatchState, tuple of WatchEvent
        Next state, and events; a line seen before gives none.
    """
    match line.type:
        case 'put':
            return _take_put(state, line)
        case 'delete':
            return _take_delete(state, line)
        case 'status':
            seen = StatusSeen(line.kind, line.name, line.revision, line.status)
            return state, (seen,)
        case 'bookmark':
            return _take_bookmark(state, line)
    return state, ()


def _key(line: WatchLine) -> tuple[str, str]:
    return (str(line.resource.get('kind')), str(line.resource.get('name')))


def _take_put(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    key = _key(line)
    revision = int(line.resource.get('revision', 0))
    if state.listed is not None:
        state = replace(state, listed=state.listed | {key})
    if state.known.get(key, 0) >= revision:
        return state, ()
    seen = PutSeen(*key, revision, line.resource.get('spec', {}))
    return replace(state, known={**state.known, key: revision}), (seen,)


def _take_delete(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    key = _key(line)
    if key not in state.known:
        return state, ()
    known = {other: state.known[other] for other in state.known if other != key}
    return replace(state, known=known), (DeleteSeen(*key, line.revision),)


def _take_bookmark(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    """Take a bookmark; after a listing, what it did not name is gone."""
    listed = state.known.keys() if state.listed is None else state.listed
    gone = [key for key in state.known if key not in listed]
    events: list[WatchEvent] = [DeleteSeen(*key, line.revision) for key in gone]
    if line.store_failure != state.store_failure:
        events.append(StoreSeen(line.store_failure))
    known = {key: state.known[key] for key in state.known if key in listed}
    after = WatchState(line.revision, known, None, line.store_failure)
    return after, tuple(events)


class Watcher:
    """Follow a path's events over any number of streams.

    Parameters
    ----------
    client : OperatorClient
        Opens streams.
    path : str
        Path of the resources that are watched.
    clock : Clock
        Clock for the time limit.
    pause : callable
        Waits the given milliseconds before a new stream.
    """

    def __init__(
        self,
        client: OperatorClient,
        path: str,
        clock: Clock,
        pause: Callable[[float], None],
    ) -> None:
        self.client = client
        self.path = path
        self.clock = clock
        self.pause = pause
        self._state = WatchState()
        self._turn = 0
        self._pause_ms = PAUSE_FIRST_MS

    def events(self, deadline_ms: float) -> Iterator[WatchEvent]:
        """Make events until the deadline.

        Parameters
        ----------
        deadline_ms : float
            Time by the clock at which the watch ends, in milliseconds; looked at
            with each line, and at the latest with the daemon's next heartbeat.

        Raises
        ------
        CtlError
            The watch is refused for good.
        """
        while self.clock.now_ms() < deadline_ms:
            server = self.client.servers[self._turn % len(self.client.servers)]
            self._turn += 1
            try:
                yield from self._follow(server, deadline_ms)
            except (HTTPError, msgspec.MsgspecError) as error:
                yield StreamBroken(server, f'{type(error).__name__}: {error}')
            self.pause(min(self._pause_ms, max(0, deadline_ms - self.clock.now_ms())))
            self._pause_ms = min(self._pause_ms * 2, PAUSE_MAX_MS)

    def _follow(self, server: str, deadline_ms: float) -> Iterator[WatchEvent]:
        path = f'{self.path}?watch=true'
        if self._state.bookmark is not None:
            path = f'{path}&after_revision={self._state.bookmark}'
        silence_ms = min(SILENCE_MS, max(1, deadline_ms - self.clock.now_ms()))
        response = self.client.stream(server, path, silence_ms)
        with response:
            if response.status == HTTPStatus.OK:
                lines = iter(response.readline, b'')
                yield from self._read_lines(server, lines, deadline_ms)
            else:
                yield self._refused(server, response.status, response.read())

    def _read_lines(
        self, server: str, lines: Iterator[bytes], deadline_ms: float
    ) -> Iterator[WatchEvent]:
        self._state = open_stream(self._state)
        reason = 'the stream ended'
        for text in lines:
            line = msgspec.json.decode(text, type=WatchLine)
            taken = take_line(self._state, line)
            self._state = taken[0]
            yield from taken[1]
            self._pause_ms = PAUSE_FIRST_MS
            reason = line.reason or reason
            if self.clock.now_ms() >= deadline_ms:
                return
        yield StreamBroken(server, reason)

    def _refused(self, server: str, status: int, body: bytes) -> StreamBroken:
        """Take a refusal; a revision too old means to list all again."""
        error = refusal_error(server, status, body)
        if status == HTTPStatus.GONE:
            self._state = replace(self._state, bookmark=None)
        elif status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise error
        return StreamBroken(server, str(error))
