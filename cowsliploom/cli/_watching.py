"""Watches that resume after interruptions and fail over between daemons."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any

import msgspec
from urllib3.exceptions import HTTPError

from cowsliploom.cli._client import OperatorClient, response_error
from cowsliploom.ports import Clock

READ_TIMEOUT_MS = 20_000.0  # four heartbeats of the daemon
BACKOFF_FIRST_MS = 100.0
BACKOFF_MAX_MS = 5000.0

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class WatchLine:
    """One line of a watch stream, with the fields of all line types."""

    type: str
    revision: int = 0
    resource: Fields = field(default_factory=dict)
    kind: str = ''
    name: str = ''
    status: Fields = field(default_factory=dict)
    store_failure: str = ''
    reason: str = ''


@dataclass(frozen=True, slots=True)
class PutEvent:
    """A resource was created or changed."""

    kind: str
    name: str
    revision: int
    spec: Fields
    event: str = 'put'


@dataclass(frozen=True, slots=True)
class DeleteEvent:
    """A resource was deleted."""

    kind: str
    name: str
    revision: int
    event: str = 'delete'


@dataclass(frozen=True, slots=True)
class StatusEvent:
    """The status of a resource changed."""

    kind: str
    name: str
    revision: int
    status: Fields
    event: str = 'status'


@dataclass(frozen=True, slots=True)
class StreamInterrupted:
    """A stream ended or failed; the watch resumes on another one."""

    server: str
    reason: str
    event: str = 'resume'


@dataclass(frozen=True, slots=True)
class StoreEvent:
    """The platform's store became unavailable, or available again."""

    failure: str
    event: str = 'store'


WatchEvent = PutEvent | DeleteEvent | StatusEvent | StreamInterrupted | StoreEvent


@dataclass(frozen=True, slots=True)
class WatchState:
    """State of a watch.

    Parameters
    ----------
    bookmark : int or None
        Revision from which to resume; None to start with a full listing.
    known : dict of (str, str) to int
        Revisions of the current resources, by kind and name.
    listed : frozenset of (str, str) or None
        Resources received in the current full listing; None outside of one.
    store_failure : str
        Store failure in the last bookmark; empty if the store is available.
    """

    bookmark: int | None = None
    known: dict[tuple[str, str], int] = field(default_factory=dict)
    listed: frozenset[tuple[str, str]] | None = None
    store_failure: str = ''


def begin_stream(state: WatchState) -> WatchState:
    """Return the state at the start of a new stream."""
    listed = frozenset[tuple[str, str]]() if state.bookmark is None else None
    return replace(state, listed=listed)


def apply_line(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    """Apply a line and return its events, without duplicates.

    Parameters
    ----------
    state : WatchState
        Current state.
    line : WatchLine
        Next line of the stream.

    Returns
    -------
    WatchState, tuple of WatchEvent
        Next state, and events; a repeated line gives none.
    """
    match line.type:
        case 'put':
            return _apply_put(state, line)
        case 'delete':
            return _apply_delete(state, line)
        case 'status':
            event = StatusEvent(line.kind, line.name, line.revision, line.status)
            return state, (event,)
        case 'bookmark':
            return _apply_bookmark(state, line)
    return state, ()


def _key(line: WatchLine) -> tuple[str, str]:
    return (str(line.resource.get('kind')), str(line.resource.get('name')))


def _apply_put(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    key = _key(line)
    revision = int(line.resource.get('revision', 0))
    if state.listed is not None:
        state = replace(state, listed=state.listed | {key})
    if state.known.get(key, 0) >= revision:
        return state, ()
    event = PutEvent(*key, revision, line.resource.get('spec', {}))
    return replace(state, known={**state.known, key: revision}), (event,)


def _apply_delete(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    key = _key(line)
    if key not in state.known:
        return state, ()
    known = {other: state.known[other] for other in state.known if other != key}
    return replace(state, known=known), (DeleteEvent(*key, line.revision),)


def _apply_bookmark(
    state: WatchState, line: WatchLine
) -> tuple[WatchState, tuple[WatchEvent, ...]]:
    """Apply a bookmark; resources missing from a completed listing are deleted."""
    listed = state.known.keys() if state.listed is None else state.listed
    deleted = [key for key in state.known if key not in listed]
    events: list[WatchEvent] = [DeleteEvent(*key, line.revision) for key in deleted]
    if line.store_failure != state.store_failure:
        events.append(StoreEvent(line.store_failure))
    known = {key: state.known[key] for key in state.known if key in listed}
    after = WatchState(line.revision, known, None, line.store_failure)
    return after, tuple(events)


class Watcher:
    """Watch a path, resuming after interrupted streams.

    Parameters
    ----------
    client : OperatorClient
        Client that opens streams.
    path : str
        URL path of the watched resources.
    clock : Clock
        Clock for the deadline.
    pause : callable
        Sleeps for the given time before a new stream, in milliseconds.
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
        self._server_index = 0
        self._backoff_ms = BACKOFF_FIRST_MS

    def events(self, deadline_ms: float) -> Iterator[WatchEvent]:
        """Yield events until the deadline.

        Parameters
        ----------
        deadline_ms : float
            Clock reading at which the watch ends, in milliseconds; checked after
            each line, thus at the latest with the daemon's next heartbeat.

        Raises
        ------
        CtlError
            The daemon rejected the watch with a permanent error.
        """
        while self.clock.now_ms() < deadline_ms:
            server = self.client.servers[self._server_index % len(self.client.servers)]
            self._server_index += 1
            try:
                yield from self._read_stream(server, deadline_ms)
            except (HTTPError, msgspec.MsgspecError) as error:
                yield StreamInterrupted(server, f'{type(error).__name__}: {error}')
            self.pause(min(self._backoff_ms, max(0, deadline_ms - self.clock.now_ms())))
            self._backoff_ms = min(self._backoff_ms * 2, BACKOFF_MAX_MS)

    def _read_stream(self, server: str, deadline_ms: float) -> Iterator[WatchEvent]:
        path = f'{self.path}?watch=true'
        if self._state.bookmark is not None:
            path = f'{path}&after_revision={self._state.bookmark}'
        read_timeout_ms = min(
            READ_TIMEOUT_MS, max(1, deadline_ms - self.clock.now_ms())
        )
        response = self.client.stream(server, path, read_timeout_ms)
        with response:
            if response.status == HTTPStatus.OK:
                lines = iter(response.readline, b'')
                yield from self._read_lines(server, lines, deadline_ms)
            else:
                yield self._handle_refusal(server, response.status, response.read())

    def _read_lines(
        self, server: str, lines: Iterator[bytes], deadline_ms: float
    ) -> Iterator[WatchEvent]:
        self._state = begin_stream(self._state)
        reason = 'the stream ended'
        for text in lines:
            line = msgspec.json.decode(text, type=WatchLine)
            applied = apply_line(self._state, line)
            self._state = applied[0]
            yield from applied[1]
            self._backoff_ms = BACKOFF_FIRST_MS
            reason = line.reason or reason
            if self.clock.now_ms() >= deadline_ms:
                return
        yield StreamInterrupted(server, reason)

    def _handle_refusal(
        self, server: str, status: int, body: bytes
    ) -> StreamInterrupted:
        """Handle an error response; an expired revision requires a new full listing."""
        error = response_error(server, status, body)
        if status == HTTPStatus.GONE:
            self._state = replace(self._state, bookmark=None)
        elif status < HTTPStatus.INTERNAL_SERVER_ERROR:
            raise error
        return StreamInterrupted(server, str(error))
