"""Watch streams: JSON lines of events, status and bookmarks."""

from collections.abc import Iterator
from dataclasses import dataclass

from cowsliploom.daemons._operator_documents import (
    BookmarkLine,
    ClosingLine,
    DeleteLine,
    PutLine,
    StatusLine,
    WatchLine,
    encode_line,
)
from cowsliploom.daemons._operator_feed import ConfigurationFeed, FeedState
from cowsliploom.daemons._operator_status import (
    ResourceStatus,
    resource_status,
    status_to_report,
)
from cowsliploom.resources import (
    Action,
    EventBatch,
    Kind,
    Resource,
    resource_key,
    select_events,
)

MS_PER_S = 1000
TOO_SLOW = 'the stream fell behind the event log; list, then watch again'
DRAINING = 'this daemon is shutting down; resume elsewhere from the last bookmark'


@dataclass(frozen=True, slots=True)
class WatchScope:
    """Resources that a stream covers; ``None`` matches any."""

    kind: Kind | None = None
    name: str | None = None

    def covers(self, resource: Resource) -> bool:
        """Return whether a resource is within the scope."""
        in_kind = self.kind in {None, resource.kind}
        return in_kind and self.name in {None, resource.name}


class WatchStream:
    """Iterator over the chunks of a watch response.

    Parameters
    ----------
    feed : ConfigurationFeed
        Source of events and status; the caller has reserved one of its watches.
    scope : WatchScope
        What the watch covers.
    after_revision : int or None
        Revision that the watcher has; None to list all resources first.
    heartbeat_ms : float
        Idle time after which a bookmark is sent, in milliseconds.
    """

    def __init__(
        self,
        feed: ConfigurationFeed,
        scope: WatchScope,
        after_revision: int | None,
        heartbeat_ms: float,
    ) -> None:
        self.feed = feed
        self.scope = scope
        self.heartbeat_ms = heartbeat_ms
        self._position = after_revision
        self._sent_status: dict[tuple[str, str], ResourceStatus] = {}
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield lines until the daemon drains or the stream falls too far behind."""
        state = self.feed.state
        yield b''.join(map(encode_line, self._first_lines(state)))
        lines = self._follow(state)
        while lines is not None:
            if lines:
                yield b''.join(map(encode_line, lines))
            if state.closing:
                yield encode_line(ClosingLine(DRAINING))
                return
            seen = state
            state = self.feed.wait(seen, self.heartbeat_ms / MS_PER_S)
            lines = [self._bookmark(state)] if state is seen else self._follow(state)
        yield encode_line(ClosingLine(TOO_SLOW))

    def close(self) -> None:
        """Release the watch reserved from the feed, once."""
        if not self._closed:
            self._closed = True
            self.feed.close_watch()

    def _first_lines(self, state: FeedState) -> list[WatchLine]:
        if self._position is not None:
            return [BookmarkLine(self._position, state.store_failure)]
        self._position = state.revision
        lines: list[WatchLine] = [
            PutLine(resource.revision, resource) for resource in self._covered(state)
        ]
        return [*lines, self._bookmark(state)]

    def _follow(self, state: FeedState) -> list[WatchLine] | None:
        """Return the lines that a state adds; None if the log no longer has them."""
        batches = state.log.after(self._position or 0)
        if batches is None:
            return None
        lines: list[WatchLine] = []
        for batch in batches:
            lines.extend(self._event_lines(batch))
        if batches:
            self._position = batches[-1].revision
        lines.extend(self._status_lines(state))
        if batches:
            lines.append(self._bookmark(state))
        return lines

    def _event_lines(self, batch: EventBatch) -> Iterator[WatchLine]:
        for event in select_events(batch, self.scope.kind, self.scope.name):
            if event.action is Action.PUT:
                yield PutLine(batch.revision, event.resource)
            else:
                yield DeleteLine(batch.revision, event.resource)

    def _status_lines(self, state: FeedState) -> Iterator[WatchLine]:
        for resource in self._covered(state):
            status = resource_status(resource, state.status)
            key = resource_key(resource)
            sent = self._sent_status.get(key, ResourceStatus())
            reported = status_to_report(status, sent)
            if reported != sent:
                self._sent_status[key] = reported
                yield StatusLine(
                    resource.kind, resource.name, resource.revision, status
                )

    def _covered(self, state: FeedState) -> tuple[Resource, ...]:
        if state.view is None:
            return ()
        return tuple(filter(self.scope.covers, state.view.configuration.resources))

    def _bookmark(self, state: FeedState) -> BookmarkLine:
        return BookmarkLine(self._position or 0, state.store_failure)
