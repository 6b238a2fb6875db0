"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
from collections import Counter
from functools import partial
from urllib.parse import parse_qs, urlsplit

from review.kit2.http11 import Message, read_message, response

JSON = {'Content-Type': 'application/json'}
PAGE_ITEMS = 500
WATCH_STEP_S = 0.005


class Store:
    """Linearizable items with revisions and history; leases are not needed here."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.on_write = None
        self.watching: Counter[str] = Counter()  # open watches by caller
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, caller: str) -> str:
        """Listen on a free port for one caller, and return the address.

        Each gateway has an address of its own, so that the store knows who writes.
        """
        server = await asyncio.start_server(partial(self._serve, caller), host, 0)
        self._servers.append(server)
        return f'{host}:{server.sockets[0].getsockname()[1]}'

    def put(self, key: str, document: object) -> int:
        """Write an item as the operator or a backend does."""
        self.revision += 1
        return self._put(key, json.dumps(document).encode())

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._delete(key)

    def delete_together(self, keys: list[str]) -> None:
        """Remove items that end at the same moment."""
        for key in keys:
            self.delete(key)

    def _delete(self, key: str) -> None:
        self.items.pop(key, None)
        self.history.append({'key': key, 'revision': self.revision, 'tombstone': True})

    def get(self, key: str) -> object:
        """Return the document of a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item['value'])) if item else None

    def _put(self, key: str, content: bytes) -> int:
        """Write an item at the current revision, which is that of its transaction."""
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'createRevision': known['createRevision'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.history.append(item)
        return self.revision

    async def _serve(
        self, caller: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (asked := await read_message(reader)) is not None:
                status, document = await self._answer(caller, asked)
                body = json.dumps(document).encode()
                writer.write(response(status, JSON, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, caller: str, asked: Message) -> tuple[int, dict]:
        parts = urlsplit(asked.target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        match parts.path:
            case '/v1/kv-key':
                item = self.items.get(query['key'])
                if item is None:
                    return 404, {'currentRev': self.revision}
                return 200, {**item, 'currentRev': self.revision}
            case '/v1/kv-range':
                return 200, self._range(query)
            case '/v1/kv-watch':
                self.watching[caller] += 1
                try:
                    return await self._watch(query)
                finally:
                    self.watching[caller] -= 1
            case '/v1/kv-txn':
                return self._transact(caller, json.loads(asked.body))
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            'items': [self.items[key] for key in keys[:PAGE_ITEMS]],
            'hasMore': len(keys) > PAGE_ITEMS,
            'currentRev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get('prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get('waitMs', '0')) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            if events or loop.time() >= end_s:
                return 200, {'events': events, 'currentRev': self.revision}
            await asyncio.sleep(WATCH_STEP_S)

    def _transact(self, caller: str, wire: dict) -> tuple[int, dict]:
        expected = wire.get('expectedRevision', [])
        for row in expected:
            if (
                self.items.get(row['key'], {'revision': 0})['revision']
                != row['revision']
            ):
                found = [self.items.get(row['key'], {'key': row['key'], 'revision': 0})]
                return 412, {'items': found}
        self.revision += 1
        for write in wire.get('writes', []):
            self._put(write['key'], base64.b64decode(write['value']))
            if self.on_write is not None:
                self.on_write(caller, write['key'], base64.b64decode(write['value']))
        for key in wire.get('deletes', []):
            self._delete(key)
        return 200, {'revision': self.revision}
