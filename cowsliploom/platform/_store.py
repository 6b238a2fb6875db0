"""Client of the platform's store over HTTP."""

import base64
import binascii
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from cowsliploom.dataplane import (
    Admission,
    CallResult,
    ConnectionPool,
    HeaderList,
    HttpAnswer,
    parse_count,
)
from cowsliploom.members import Batch, MirrorItem, Removal
from cowsliploom.protocol import UnreadableError, decode_json

CONNECT_TIMEOUT_MS = 1000
OK = 200
NOT_FOUND = 404
COMPACTED = 410
REVISION_MISMATCH = 412
REACHABLE_STATUSES = frozenset((OK, NOT_FOUND))
PAGES_MAX = 64
ERA = 'store-era'

Decoded = TypeVar('Decoded')


@dataclass(frozen=True, slots=True)
class StoreUnanswered:
    """Failed call: no answer in time, an error or an invalid answer.

    Parameters
    ----------
    step : str
        Operation that failed, such as ``'store.watch'``.
    peer : str
        Address of the store.
    reason : str
        What was observed.
    """

    step: str
    peer: str
    reason: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store no longer keeps the changes after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """Revision at which a key is expected; 0 if it is expected to be absent."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """Content to be written to a key, which a lease may remove with its end."""

    key: str
    content: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Written:
    """All writes of a transaction took effect at a revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store and its life, from the arrival of the call."""

    lease_id: int
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class NoLease:
    """The lease has ended."""


@dataclass(frozen=True, slots=True)
class ChangedMeanwhile:
    """A key was not at its expected revision; nothing was written."""


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


class _WireKept(msgspec.Struct, rename='camel'):
    ttl_ms: float


class _WireLease(msgspec.Struct, rename='camel'):
    lease: int
    ttl_ms: float


class PlatformStore:
    """Client of the store; no call raises on an outage.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    admission : Admission or None
        Account of the process. Default one without limits.

    Attributes
    ----------
    calls : Counter
        Counts the calls by kind.
    era : int
        How often the store has come back from an older copy, as last heard.
    """

    def __init__(self, address: str, admission: Admission | None = None) -> None:
        self.address = address
        self.calls: Counter[str] = Counter()
        self.era = 0
        self._pool = ConnectionPool(
            address, CONNECT_TIMEOUT_MS, admission=admission, has_priority=True
        )

    async def list_prefix(
        self, prefix: str, timeout_ms: float
    ) -> Batch | StoreUnanswered:
        """Return all items whose keys begin with the prefix.

        Notes
        -----
        The pages are not one snapshot, so the batch has the revision of the first page:
        later changes are received again by a watch from there.
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
            items.extend(_decode_items(page.items))
            if not (page.has_more and page.items):
                return Batch(revision, tuple(items), is_whole=True)
            after = page.items[-1].key
        return StoreUnanswered(
            'store.list', self.address, 'listing exceeds the page limit'
        )

    async def is_reachable(self, timeout_ms: float) -> bool:
        """Return whether the store answers its cheapest call."""
        path = '/v1/kv-key?key=op%2Fconfig&serializable=1'
        reply = await self._call('probe', 'GET', path, timeout_ms)
        return isinstance(reply, HttpAnswer) and reply.status in REACHABLE_STATUSES

    async def read(
        self, key: str, timeout_ms: float
    ) -> MirrorItem | None | StoreUnanswered:
        """Return the current item of a key, or None."""
        path = f'/v1/kv-key?key={quote(key, safe="")}'
        reply = await self._call('read', 'GET', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == NOT_FOUND:
            return None
        item = self._decode(reply, 'store.read', _WireItem)
        return item if isinstance(item, StoreUnanswered) else _decode_items([item])[0]

    async def write(
        self,
        expected: Sequence[KeyRevision],
        writes: Sequence[KeyWrite],
        timeout_ms: float,
    ) -> Written | ChangedMeanwhile | StoreUnanswered:
        """Write all keys if each expected one is at its revision.

        Notes
        -----
        A call without an answer may have taken effect, or may still do so.
        """
        body = msgspec.json.encode(
            {
                'expectedRevision': [
                    {'key': each.key, 'revision': each.revision} for each in expected
                ],
                'writes': [
                    {
                        'key': write.key,
                        'value': base64.b64encode(write.content).decode(),
                        'lease': write.lease,
                    }
                    for write in writes
                ],
                'deletes': [],
            }
        )
        reply = await self._call('write', 'POST', '/v1/kv-txn', timeout_ms, body)
        if isinstance(reply, HttpAnswer) and reply.status == REVISION_MISMATCH:
            return ChangedMeanwhile()
        written = self._decode(reply, 'store.write', _WireRevision)
        if isinstance(written, StoreUnanswered):
            return written
        return Written(written.revision)

    async def grant_lease(
        self, ttl_ms: float, timeout_ms: float
    ) -> Lease | StoreUnanswered:
        """Return a new lease."""
        body = msgspec.json.encode({'ttlMs': round(ttl_ms)})
        reply = await self._call('lease', 'POST', '/v1/kv-lease', timeout_ms, body)
        granted = self._decode(reply, 'store.lease', _WireLease)
        if isinstance(granted, StoreUnanswered):
            return granted
        return Lease(granted.lease, granted.ttl_ms)

    async def keep_lease(
        self, lease_id: int, timeout_ms: float
    ) -> bool | NoLease | StoreUnanswered:
        """Renew a lease; return True if it was renewed."""
        path = f'/v1/kv-keep/{lease_id}'
        reply = await self._call('keep', 'POST', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == NOT_FOUND:
            return NoLease()
        kept = self._decode(reply, 'store.keep', _WireKept)
        return kept if isinstance(kept, StoreUnanswered) else True

    async def watch(
        self, prefix: str, after: int, wait_ms: int, timeout_ms: float
    ) -> Batch | HistoryGone | StoreUnanswered:
        """Wait for changes after a revision and return them."""
        path = (
            f'/v1/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={after}&waitMs={wait_ms}'
        )
        reply = await self._call('watch', 'GET', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == COMPACTED:
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
        return Batch(events.current_rev, _decode_items(written), removals, since=after)

    async def _call(
        self, kind: str, method: str, path: str, timeout_ms: float, body: bytes = b''
    ) -> CallResult | None:
        """Return the answer or the failure, or None after the timeout."""
        self.calls[kind] += 1
        lines = [f'{method} {path} HTTP/1.1', f'Host: {self.address}']
        if body:
            lines.append('Content-Type: application/json')
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', ''))
        content = head.encode('latin-1') + body
        reply = await self._pool.ask(content, timeout_ms)
        if isinstance(reply, HttpAnswer):
            self.era = max(self.era, read_era(reply.headers))
        return reply

    def _decode(
        self, reply: CallResult | None, step: str, kind: type[Decoded]
    ) -> Decoded | StoreUnanswered:
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


def _decode_items(wire_items: list[_WireItem]) -> tuple[MirrorItem, ...]:
    return tuple(
        MirrorItem(item.key, _decode_base64(item.value), item.revision)
        for item in wire_items
    )


def _decode_base64(text: str) -> bytes:
    """Decode base64; an invalid text gives empty content, which no reader accepts."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b''


def read_era(headers: HeaderList) -> int:
    """Return how often the store came back from an older copy; 0 if not stated."""
    for name, header in headers:
        if name.lower() == ERA:
            return parse_count(header.strip()) or 0
    return 0
