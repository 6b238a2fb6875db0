"""The platform's store over HTTP: its calls, and what they answer."""

import base64
import binascii
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.members import Batch, MirrorItem, Removal
from cowsliploom.dataplane import CallResult, ConnectionPool, HttpAnswer

CONNECT_TIMEOUT_MS = 1000
OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410
CHANGED = 412
PROBE_STATUSES = frozenset((OK, NOT_FOUND))
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


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """Hold what is to be written to a key."""

    key: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Written:
    """Report that all writes of a transaction took effect at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class ChangedMeanwhile:
    """Report that a key was at another revision than expected; nothing was written."""

    key: str


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


class _WireRevision(msgspec.Struct):
    revision: int


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

    async def list_prefix(
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

    async def is_reachable(self, timeout_ms: float) -> bool:
        """Tell whether the store answers, by the cheapest call there is."""
        path = '/v1/kv-key?key=op%2Fconfig&serializable=1'
        reply = await self._call('probe', 'GET', path, timeout_ms)
        return isinstance(reply, HttpAnswer) and reply.status in PROBE_STATUSES

    async def read(
        self, key: str, timeout_ms: float
    ) -> MirrorItem | None | StoreUnanswered:
        """Return a key's item as it is now; None where there is none."""
        path = f'/v1/kv-key?key={quote(key, safe="")}'
        reply = await self._call('read', 'GET', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == NOT_FOUND:
            return None
        item = self._decode(reply, 'store.read', _WireItem)
        return item if isinstance(item, StoreUnanswered) else _items([item])[0]

    async def write(
        self, expected_revision: int, writes: Sequence[KeyWrite], timeout_ms: float
    ) -> Written | ChangedMeanwhile | StoreUnanswered:
        """Write keys, all or none, if the first is at a revision (0: not there).

        Notes
        -----
        A call that got no answer may have taken effect, or may yet.
        """
        guarded = writes[0].key
        body = msgspec.json.encode(
            {
                'expectedRevision': [{'key': guarded, 'revision': expected_revision}],
                'writes': [
                    {
                        'key': write.key,
                        'value': base64.b64encode(write.content).decode(),
                        'lease': 0,
                    }
                    for write in writes
                ],
                'deletes': [],
            }
        )
        reply = await self._call('write', 'POST', '/v1/kv-txn', timeout_ms, body)
        if isinstance(reply, HttpAnswer) and reply.status == CHANGED:
            return ChangedMeanwhile(guarded)
        written = self._decode(reply, 'store.write', _WireRevision)
        if isinstance(written, StoreUnanswered):
            return written
        return Written(written.revision)

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
        self, kind: str, method: str, path: str, timeout_ms: float, body: bytes = b''
    ) -> CallResult | None:
        """Return the answer, the failure, or None when there was none in time."""
        self.calls[kind] += 1
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        if body:
            lines.append('Content-Type: application/json')
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', ''))
        content = head.encode('latin-1') + body
        return await self._pool.ask(content, timeout_ms)

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
            return decode_json(reply.body, kind)
        except UnreadableError as error:
            return StoreUnanswered(step, self.address, f'unreadable: {error.reason}')


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
