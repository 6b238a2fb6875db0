"""The platform's store over HTTP: its calls, and what they answer."""

import base64
import binascii
from collections import Counter
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cowsliploom.members import Batch, MirrorItem, Removal
from cowsliploom.dataplane import CallResult, ConnectionPool, HttpAnswer

CONNECT_TIMEOUT_MS = 1000
OK = 200
HISTORY_GONE = 410
PROBE_STATUSES = frozenset((OK, 404))
PAGES_MAX = 64

Found = TypeVar('Found')


@dataclass(frozen=True, slots=True)
class StoreUnanswered:
    """Report a call that the store didn't answer as it should.

    Parameters
    ----------
    step : str
        What was being done, such as ``'store.watch'``.
    peer : str
        Address of the store.
    reason : str
        What was seen.
    """

    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """Report that the store no longer knows what changed since a revision."""

    after: int


class _WireItem(msgspec.Struct):
    key: str
    revision: int
    value: str = ''  # base64
    tombstone: bool = False


class _WireRange(msgspec.Struct, rename='camel'):
    items: list[_WireItem]
    current_rev: int
    has_more: bool = False


class _WireEvents(msgspec.Struct, rename='camel'):
    events: list[_WireItem]
    current_rev: int


class PlatformStore:
    """Call the store; each call returns, none raises on an outage.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.calls: Counter[str] = Counter()
        self._pool = ConnectionPool(address, CONNECT_TIMEOUT_MS)

    async def list_under(
        self, prefix: str, timeout_ms: float
    ) -> Batch | StoreUnanswered:
        """Return all items under a prefix.

        Notes
        -----
        Pages are no snapshot, so the batch counts as of the first page: what changed
        later is heard once more.
        """
        items: list[MirrorItem] = []
        revision: int | None = None
        after = ''
        for _ in range(PAGES_MAX):
            path = f'/v1/kv-range?prefix={quote(prefix, safe="")}'
            if after:
                path = f'{path}&after={quote(after, safe="")}'
            reply = await self._call('list', 'GET', path, timeout_ms)
            page = self._decode(reply, 'store.list', _WireRange)
            if isinstance(page, StoreUnanswered):
                return page
            revision = page.current_rev if revision is None else revision
            items.extend(_items(page.items))
            if not (page.has_more and page.items):
                return Batch(revision, tuple(items), is_whole=True)
            after = page.items[-1].key
        return StoreUnanswered('store.list', self.address, 'too many pages')

    async def answers(self, timeout_ms: float) -> bool:
        """Tell whether the store answers, by the cheapest call there is."""
        path = '/v1/kv-key?key=op%2Fconfig&serializable=1'
        reply = await self._call('probe', 'GET', path, timeout_ms)
        return isinstance(reply, HttpAnswer) and reply.status in PROBE_STATUSES

    async def watch(
        self, prefix: str, after: int, wait_ms: int, timeout_ms: float
    ) -> Batch | HistoryGone | StoreUnanswered:
        """Return what changed after a revision, as soon as there is something."""
        path = (
            f'/v1/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={after}&waitMs={wait_ms}'
        )
        reply = await self._call('watch', 'GET', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == HISTORY_GONE:
            return HistoryGone(after)
        events = self._decode(reply, 'store.watch', _WireEvents)
        if isinstance(events, StoreUnanswered):
            return events
        removals = tuple(
            Removal(event.key, event.revision)
            for event in events.events
            if event.tombstone
        )
        written = [event for event in events.events if not event.tombstone]
        return Batch(events.current_rev, _items(written), removals, since=after)

    async def _call(
        self, kind: str, method: str, path: str, timeout_ms: float
    ) -> CallResult | None:
        """Return the answer, the failure, or None when there was none in time."""
        self.calls[kind] += 1
        head = f'{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n'
        return await self._pool.ask(head.encode('latin-1'), timeout_ms)

    def _decode(
        self, reply: CallResult | None, step: str, kind: type[Found]
    ) -> Found | StoreUnanswered:
        if reply is None:
            return StoreUnanswered(step, self.address, 'no answer in time')
        if not isinstance(reply, HttpAnswer):
            return StoreUnanswered(step, self.address, reply.reason)
        if reply.status != OK:
            return StoreUnanswered(step, self.address, f'status {reply.status}')
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return StoreUnanswered(step, self.address, f'unreadable: {error}')


def _items(wire: list[_WireItem]) -> tuple[MirrorItem, ...]:
    return tuple(
        MirrorItem(item.key, _bytes(item.value), item.revision) for item in wire
    )


def _bytes(text: str) -> bytes:
    """Decode base64; what can't be decoded is an item that nobody can read."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b''
