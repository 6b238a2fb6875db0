"""Fake of the platform's HTTP store: items, history and fault injection."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from cowsliploom.dataplane import HttpListener, HttpRequest

MS_PER_S = 1000
PAGE_ITEMS = 500
WATCH_STEP_MS = 5
JSON = ('Content-Type', 'application/json')


@dataclass(slots=True)
class PlatformStoreFaults:
    """Active faults of the store.

    Parameters
    ----------
    status : int
        Status returned for every call instead of its result; 0 for none.
    is_silent : bool
        Whether calls get no response.
    drops_events : bool
        Whether watches receive no events.
    drops_write_responses : bool
        Whether transactions are applied and get no response.
    """

    status: int = 0
    is_silent: bool = False
    drops_events: bool = False
    drops_write_responses: bool = False


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the items and the history, to which a store may be restored."""

    revision: int
    items: dict[str, dict[str, object]]
    history: list[dict[str, object]]


class _Expected(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename='camel'):
    expected_revision: list[_Expected]
    writes: list[_Write]
    deletes: list[str]


class FakePlatformStore:
    """HTTP server that implements the documented protocol of the platform's store.

    Notes
    -----
    Only the calls of the gateway are implemented: reads, ranges, watches and
    transactions without leases.

    Attributes
    ----------
    era : int
        How often it was restored from an older copy, as its answers say.
    """

    def __init__(self) -> None:
        self.faults = PlatformStoreFaults()
        self.era = 0
        self.revision = 1
        self.calls = 0
        self._items: dict[str, dict[str, object]] = {}
        self._history: list[dict[str, object]] = []
        self._history_from = 0
        self._listener: HttpListener | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; empty before `start`."""
        return self._listener.address if self._listener else ''

    async def start(self, address: str = '127.0.0.1:0') -> None:
        """Start listening."""
        self._listener = HttpListener(address, self._dispatch)
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.close()

    def put(self, key: str, content: bytes) -> int:
        """Write an item, as an operator or a backend server does."""
        self.revision += 1
        item: dict[str, object] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'createRevision': self.revision,
            'lease': 0,
        }
        self._items[key] = item
        self._history.append(item)
        return self.revision

    def delete(self, key: str) -> int:
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._history.append({'key': key, 'revision': self.revision, 'tombstone': True})
        return self.revision

    def get(self, key: str) -> bytes | None:
        """Return a key's content."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(str(item['value']))

    def clear_history(self) -> None:
        """Clear the history, so that older watches get status 410."""
        self._history.clear()
        self._history_from = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(self.revision, dict(self._items), list(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is lost."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)

    def _dispatch(self, request: HttpRequest) -> Callable[[], None] | None:
        self.calls += 1
        if self.faults.is_silent:
            return None
        if self.faults.status:
            request.answer(self.faults.status, self._headers(), b'')
            return None
        parts = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        match parts.path:
            case '/v1/kv-key':
                self._read(request, query.get('key', ''))
            case '/v1/kv-range':
                self._list(request, query.get('prefix', ''), query.get('after', ''))
            case '/v1/kv-txn':
                self._write(request)
            case '/v1/kv-watch':
                watch_task = asyncio.get_running_loop().create_task(
                    self._watch(request, query)
                )
                return lambda: None if watch_task.cancel() else None
            case _:
                request.answer(404, self._headers(), b'')
        return None

    def _read(self, request: HttpRequest, key: str) -> None:
        item = self._items.get(key)
        if item is None:
            request.answer(404, self._headers(), b'')
        else:
            self._answer(request, {**item, 'currentRev': self.revision})

    def _list(self, request: HttpRequest, prefix: str, after: str) -> None:
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        self._answer(
            request, {'items': page, 'hasMore': more, 'currentRev': self.revision}
        )

    def _write(self, request: HttpRequest) -> None:
        """Apply the writes if all expected revisions match."""
        wire = msgspec.json.decode(request.body, type=_Transaction)
        for expected in wire.expected_revision:
            item = self._items.get(expected.key, {'revision': 0})
            if expected.revision != _revision(item):
                body = msgspec.json.encode({'items': []})
                request.answer(412, self._headers(), body)
                return
        self.revision += 1
        for write in wire.writes:
            item = {
                'key': write.key,
                'value': write.value,
                'revision': self.revision,
                'lease': write.lease,
            }
            self._items[write.key] = item
            self._history.append(item)
        if not self.faults.drops_write_responses:
            self._answer(request, {'revision': self.revision})

    async def _watch(self, request: HttpRequest, query: dict[str, str]) -> None:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        left_ms = float(query['waitMs'])
        while True:
            if not self._history_from <= after <= self.revision:
                request.answer(410, self._headers(), b'')
                return
            events = self._events(prefix, after)
            if events:
                self._answer(request, {'events': events, 'currentRev': self.revision})
                return
            if left_ms <= 0:  # no await between the last check and the response
                break
            await asyncio.sleep(WATCH_STEP_MS / MS_PER_S)
            left_ms -= WATCH_STEP_MS
        current = after if self.faults.drops_events else self.revision
        self._answer(request, {'events': [], 'currentRev': current})

    def _headers(self) -> list[tuple[str, str]]:
        return [JSON, ('Store-Era', str(self.era))]

    def _answer(self, request: HttpRequest, body: dict[str, object]) -> None:
        request.answer(200, self._headers(), msgspec.json.encode(body))

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        if self.faults.drops_events:
            return []
        return [
            event
            for event in self._history
            if str(event['key']).startswith(prefix) and _revision(event) > after
        ]


def _revision(event: dict[str, object]) -> int:
    revision = event['revision']
    return revision if isinstance(revision, int) else 0
