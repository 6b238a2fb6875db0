"""Stand-in for the platform's store, after PROTOCOL.md."""

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

from review.kit3.http11 import Message, read_message, render

PAGE_ITEMS = 500
TXN_MAX = 32
SYSTEM_MAY_NOT_WRITE = ('op/', 'servers/')


@dataclass(frozen=True)
class Item:
    """Content of a key."""

    key: str
    content: bytes
    revision: int
    created: int
    lease: int = 0

    def wire(self) -> dict:
        """Return the item as it is sent."""
        return {
            'key': self.key,
            'value': base64.b64encode(self.content).decode(),
            'revision': self.revision,
            'createRevision': self.created,
            'lease': self.lease,
        }


@dataclass(frozen=True)
class Copy:
    """What a copy of the store holds."""

    revision: int
    items: dict
    events: tuple


class Store:
    """Keys, one revision counter, history and leases.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    note : callable
        Receives a line for the record of each change.
    """

    def __init__(self, address, note):
        self.address = address
        self.note = note
        self.revision = 1
        self.era = 1
        self.items: dict[str, Item] = {}
        self.events: list[dict] = []
        self.calls = 0
        self.is_down = False
        self._floor = 0  # history up to here is gone
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._ttls: dict[int, float] = {}
        self._lease_ids = itertools.count(77_000)
        self._changed = asyncio.Event()
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self):
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        self.drop_connections()

    # What the operator and the backends do.

    def put(self, key, content, by='operator'):
        """Write a key; return the revision, which is the acknowledgement."""
        self.revision += 1
        revision = self._write(key, content, 0)
        self.note(f'store: {by} writes {key} at revision {revision}')
        self._wake()
        return revision

    def delete(self, key, by='store'):
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self.note(f'store: {by} removes {key} at revision {self.revision}')
            self._wake()

    # Disruptions.

    def go_down(self):
        """Reset all connections and refuse new work, by closing what comes."""
        self.is_down = True
        self.drop_connections()

    def come_back(self):
        """Serve again."""
        self.is_down = False

    def drop_connections(self):
        """Abort all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def copy(self):
        """Return a copy of the contents."""
        return Copy(self.revision, dict(self.items), tuple(self.events))

    def restore(self, copy):
        """Come back from an older copy, in the next era."""
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.events = list(copy.events)
        for timer in self._leases.values():
            timer.cancel()
        self._leases.clear()
        self.era += 1
        self.note(f'store: back at revision {self.revision}, era {self.era}')

    # Changes.

    def _write(self, key, content, lease):
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, content, self.revision, created, lease)
        self.items[key] = item
        self.events.append(item.wire())
        return self.revision

    def _remove(self, key):
        del self.items[key]
        self.events.append({'key': key, 'revision': self.revision, 'tombstone': True})

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls.

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not self.is_down:
                request = await read_message(reader)
                if request is None or self.is_down:
                    break
                status, body = await self._answer(request)
                if self.is_down:
                    break
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': str(self.era),
                }
                content = json.dumps(body).encode()
                writer.write(render(f'HTTP/1.1 {status} Status', headers, content))
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message):
        self.calls += 1
        parts = urlsplit(request.target)
        query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        path = unquote(parts.path)
        body = json.loads(request.body) if request.body else {}
        match (request.method, path.split('/')[2:]):
            case ('GET', ['kv-key']):
                return self._read(query['key'])
            case ('GET', ['kv-range']):
                return self._range(query)
            case ('GET', ['kv-watch']):
                return await self._watch(query)
            case ('POST', ['kv-txn']):
                return self._txn(body)
            case ('POST', ['kv-lease']):
                return self._grant(body)
            case ('POST', ['kv-keep', lease]):
                return self._keep(int(lease))
            case ('DELETE', ['kv-lease-end', lease]):
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _read(self, key):
        item = self.items.get(key)
        if item is None:
            return 404, {'currentRev': self.revision}
        return 200, {**item.wire(), 'currentRev': self.revision}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [self.items[key].wire() for key in keys[:PAGE_ITEMS]]
        return 200, {
            'items': page,
            'hasMore': len(keys) > PAGE_ITEMS,
            'currentRev': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get('waitMs', '0')) / 1000
        while True:
            if after > self.revision or after < self._floor:
                return 410, {}
            events = [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, body):
        expected = body.get('expectedRevision', [])
        writes, deletes = body.get('writes', []), body.get('deletes', [])
        if len(expected) + len(writes) + len(deletes) > TXN_MAX:
            return 400, {}
        keys = [write['key'] for write in writes] + list(deletes)
        if any(key.startswith(SYSTEM_MAY_NOT_WRITE) for key in keys):
            return 403, {}
        for row in expected:
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                found = [self.items.get(each['key']) for each in expected]
                return 412, {'items': [item.wire() for item in found if item]}
        for write in writes:
            lease = write.get('lease', 0)
            if lease and lease not in self._leases:
                return 404, {}
        self.revision += 1
        for write in writes:
            content = base64.b64decode(write['value'])
            revision = self._write(write['key'], content, write.get('lease', 0))
            self.note(f'store: system writes {write["key"]} at revision {revision}')
        for key in deletes:
            if key in self.items:
                self._remove(key)
        self._wake()
        return 200, {'revision': self.revision}

    def _grant(self, body):
        lease = next(self._lease_ids)
        self._ttls[lease] = body['ttlMs']
        self._renew(lease)
        return 200, {'lease': lease, 'ttlMs': body['ttlMs']}

    def _keep(self, lease):
        if lease not in self._leases:
            return 404, {}
        self._leases[lease].cancel()
        self._renew(lease)
        return 200, {'ttlMs': self._ttls[lease]}

    def _renew(self, lease):
        loop = asyncio.get_running_loop()
        life_s = self._ttls[lease] / 1000
        self._leases[lease] = loop.call_later(life_s, self._end_lease, lease)

    def _end_lease(self, lease):
        timer = self._leases.pop(lease, None)
        if timer is not None:
            timer.cancel()
        gone = [key for key, item in self.items.items() if item.lease == lease]
        if gone:
            self.revision += 1
        for key in gone:
            self._remove(key)
        self._wake()
