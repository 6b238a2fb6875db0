"""Client of the platform's store over HTTP."""

import base64
from collections import Counter
from collections.abc import Callable, Sequence
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
from cowsliploom.members import (
    Batch,
    MirrorItem,
    era_of,
    number_in_era,
    store_revision,
)
from cowsliploom.platform._store_wire import (
    WireEvents,
    WireItem,
    WireKept,
    WireLease,
    WireRange,
    WireRevision,
    decode_events,
    decode_items,
)
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
    """The store no longer keeps the changes after a revision.

    Parameters
    ----------
    after : int
        The revision.
    era : int
        Era in which the store answered; a later one than that of the revision if it
        has come back from an older copy.
    """

    after: int
    era: int = 0


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
    on_restored : callable
        Called with the new era by the first answer after a restore.

    Notes
    -----
    All revisions here are those of ``store_revision``, with the era of the answer that
    brought them. A condition on a revision of an earlier era is never sent, as the
    restored store may have given its number to another write.
    """

    def __init__(self, address: str, admission: Admission | None = None) -> None:
        self.address = address
        self.calls: Counter[str] = Counter()
        self.era = 0
        self.on_restored: Callable[[int], None] = _ignore_era
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
        first: tuple[int, int] | None = None
        after = ''
        for _ in range(PAGES_MAX):
            path = f'/v1/kv-range?prefix={quote(prefix, safe="")}'
            if after:
                path = f'{path}&after={quote(after, safe="")}'
            reply = await self._call('list', 'GET', path, timeout_ms)
            page = self._decode(reply, 'store.list', WireRange)
            if isinstance(page, StoreUnanswered):
                return page
            era = _era_of(reply)
            first = first or (era, page.current_rev)
            if era != first[0]:
                return self._restored('store.list')
            items.extend(decode_items(page.items, era))
            if not (page.has_more and page.items):
                return Batch(store_revision(*first), tuple(items), is_whole=True)
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
        item = self._decode(reply, 'store.read', WireItem)
        if isinstance(item, StoreUnanswered):
            return item
        return decode_items([item], _era_of(reply))[0]

    async def write(
        self,
        expected: Sequence[KeyRevision],
        writes: Sequence[KeyWrite],
        timeout_ms: float,
    ) -> Written | ChangedMeanwhile | StoreUnanswered:
        """Write all keys if each expected one is at its revision.

        Notes
        -----
        A call without an answer may have taken effect, or may still do so. So may one
        during which the store came back from an older copy.
        """
        eras = {era_of(each.revision) for each in expected if each.revision}
        self._note_era(max(eras, default=0))
        era = self.era
        if eras - {era}:
            return ChangedMeanwhile()
        body = msgspec.json.encode(
            {
                'expectedRevision': [
                    {'key': each.key, 'revision': number_in_era(each.revision)}
                    for each in expected
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
        written = self._decode(reply, 'store.write', WireRevision)
        if isinstance(written, StoreUnanswered):
            return written
        if _era_of(reply) != era:
            return self._restored('store.write')
        return Written(store_revision(era, written.revision))

    async def grant_lease(
        self, ttl_ms: float, timeout_ms: float
    ) -> Lease | StoreUnanswered:
        """Return a new lease."""
        body = msgspec.json.encode({'ttlMs': round(ttl_ms)})
        reply = await self._call('lease', 'POST', '/v1/kv-lease', timeout_ms, body)
        granted = self._decode(reply, 'store.lease', WireLease)
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
        kept = self._decode(reply, 'store.keep', WireKept)
        return kept if isinstance(kept, StoreUnanswered) else True

    async def watch(
        self, prefix: str, after: int, wait_ms: int, timeout_ms: float
    ) -> Batch | HistoryGone | StoreUnanswered:
        """Wait for changes after a revision and return them."""
        self._note_era(era_of(after))
        if era_of(after) != self.era:
            return HistoryGone(after, self.era)
        path = (
            f'/v1/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={number_in_era(after)}&waitMs={wait_ms}'
        )
        reply = await self._call('watch', 'GET', path, timeout_ms)
        if isinstance(reply, HttpAnswer) and reply.status == COMPACTED:
            return HistoryGone(after, self.era)
        events = self._decode(reply, 'store.watch', WireEvents)
        if isinstance(events, StoreUnanswered):
            return events
        era = _era_of(reply)
        if era != era_of(after):
            return HistoryGone(after, era)
        return decode_events(events, era, after)

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
        self._note_era(_era_of(reply))
        return reply

    def _note_era(self, era: int) -> None:
        if era > self.era:
            self.era = era
            self.on_restored(era)

    def _restored(self, step: str) -> StoreUnanswered:
        reason = 'the store came back from an older copy during the call'
        return StoreUnanswered(step, self.address, reason)

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


def _ignore_era(era: int) -> None:
    """Ignore a restore of the store."""


def _era_of(reply: CallResult | None) -> int:
    """Return the era in which a call was answered; 0 without an answer."""
    return read_era(reply.headers) if isinstance(reply, HttpAnswer) else 0


def read_era(headers: HeaderList) -> int:
    """Return how often the store came back from an older copy; 0 if not stated."""
    for name, header in headers:
        if name.lower() == ERA:
            return parse_count(header.strip()) or 0
    return 0
