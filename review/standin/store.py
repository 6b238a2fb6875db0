"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
from urllib.parse import parse_qs, urlsplit

from review.standin.http import Connection, Message, Server, render

ANSWER_S = 0.004  # of the site file
PAGE_ITEMS = 500


class Store(Server):
    """Linearizable store with a history; `answering` is cleared for an outage."""

    def __init__(self) -> None:
        super().__init__()
        self.answering = asyncio.Event()
        self.answering.set()
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.calls: list[str] = []
        self._changed = asyncio.Event()
        self._leases = itertools.count(1)

    def put(self, key: str, document: dict) -> int:
        """Write as the operator or a backend does; return the revision."""
        self.revision += 1
        self._write(key, base64.b64encode(json.dumps(document).encode()))
        return self.revision

    def get(self, key: str) -> dict | None:
        """Return the document of a key."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item['value']))

    def delete(self, key: str) -> int:
        """Remove a key; return the revision."""
        self.revision += 1
        self._delete(key)
        return self.revision

    async def handle(self, connection: Connection, request: Message) -> None:
        """Answer one call."""
        if not self.answering.is_set():
            return
        await asyncio.sleep(ANSWER_S)
        parts = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        self.calls.append(parts.path)
        if parts.path == '/v1/kv-watch':
            status, document = await self._watch(query)
        else:
            status, document = self._call(parts.path, query, request)
        if not self.answering.is_set():
            return
        body = json.dumps(document).encode()
        connection.write(render(status, {'Content-Type': 'application/json'}, body))

    def _delete(self, key: str) -> None:
        del self.items[key]
        self._record({'key': key, 'revision': self.revision, 'tombstone': True})

    def _write(self, key: str, text: bytes) -> None:
        created = self.items.get(key, {}).get('createRevision', self.revision)
        item = {
            'key': key,
            'value': text.decode(),
            'revision': self.revision,
            'createRevision': created,
            'lease': 0,
        }
        self.items[key] = item
        self._record(item)

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _call(
        self, path: str, query: dict[str, str], request: Message
    ) -> tuple[int, dict]:
        if path == '/v1/kv-key':
            item = self.items.get(query.get('key', ''))
            return (200, item) if item else (404, {})
        if path == '/v1/kv-range':
            return 200, self._range(query.get('prefix', ''), query.get('after', ''))
        if path == '/v1/kv-txn':
            return self._transact(json.loads(request.body))
        if path == '/v1/kv-lease':
            ttl_ms = json.loads(request.body)['ttlMs']
            return 200, {'lease': next(self._leases), 'ttlMs': ttl_ms}
        return 404, {}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'currentRev': self.revision,
        }

    def _transact(self, call: dict) -> tuple[int, dict]:
        for row in call['expectedRevision']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                return 412, {'items': [item] if item else []}
        self.revision += 1  # one for all writes of the call
        for write in call['writes']:
            self._write(write['key'], write['value'].encode())
        for key in call['deletes']:
            if key in self.items:
                self._delete(key)
        return 200, {'revision': self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        try:
            async with asyncio.timeout(float(query['waitMs']) / 1000):
                while not self._events(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return 200, {
            'events': self._events(prefix, after),
            'currentRev': max(after, self.revision),
        }

    def _events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self.history
            if event['revision'] > after and event['key'].startswith(prefix)
        ]
