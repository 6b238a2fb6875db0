"""Test deployment whose platform, backend servers and entry VMs are processes."""

import json
import os
import random
import time
from dataclasses import dataclass, field
from functools import partial
from types import TracebackType
from typing import Any

import urllib3

from cowsliploom.adapters import HttpStore, SystemClock
from cowsliploom.resources import (
    Accepted,
    Change,
    ConfigurationLog,
    Resource,
    decode_documents,
)
from tests.processes.fleet import Daemon, Fleet, wait_until
from tests.processes.shape import DATA_CENTRES, Shape, encode_json

PLATFORM = 'cowsliploom.standins.platform'
BACKEND = 'cowsliploom.standins.backend'
ENTRY = 'cowsliploom.daemons.entry'
TIMEOUT_S = 10
CALL_TIMEOUT_MS = 1000
APPLY_TIMEOUT_MS = 5000


@dataclass(frozen=True)
class Reply:
    """One HTTP reply."""

    status: int
    body: Any
    headers: dict[str, str] = field(default_factory=dict)


class World:
    """Platform, backend servers and entry VMs, each in its own process."""

    def __init__(self, folder: str, shape: Shape, entries: int = 3) -> None:
        self.folder = folder
        self.shape = shape
        self.fleet = Fleet(folder)
        self.http = urllib3.PoolManager(maxsize=32, retries=False)
        self.entry_count = entries
        self.entries: list[Daemon] = []
        self.addresses: dict[str, str] = {}
        self.backend_hosts: dict[str, Daemon] = {}

    def __enter__(self) -> 'World':
        self.fleet.__enter__()
        try:
            self._start()
        except BaseException:
            self.fleet.__exit__(None, None, None)
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.fleet.__exit__(exc_type, error, traceback)
        self.http.clear()

    def _start(self) -> None:
        self.platform = self.fleet.start(PLATFORM, 'platform')
        self.start_backends('cellar', self.shape.cellar())
        self.start_backends('rota', self.shape.rota())
        for number in range(self.entry_count):
            self.start_entry(f'entry-{number}', DATA_CENTRES[number % 3])
        self.list_vms()

    def start_backends(self, name: str, settings: list[dict[str, Any]]) -> None:
        """Start one process that hosts backend servers."""
        path = os.path.join(self.folder, f'{name}.json')
        with open(path, 'w') as servers_file:
            servers_file.write(encode_json(settings))
        host = self.fleet.start(BACKEND, name, '--servers-file', path)
        for server in host.ready['servers']:
            self.addresses[server['name']] = server['address']
            self.backend_hosts[server['name']] = host

    def start_entry(self, name: str, data_centre: str, *flags: str) -> Daemon:
        """Start an entry VM."""
        entry = self.fleet.start(
            ENTRY,
            name,
            '--name',
            name,
            '--data-centre',
            data_centre,
            '--store',
            self.platform.address,
            '--drain-notice-ms',
            '500',
            *flags,
        )
        self.entries.append(entry)
        return entry

    def list_vms(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the list of VMs to the platform."""
        vms = [
            _vm(entry.name, 'entry', entry.ready['peer'], number, ())
            for number, entry in enumerate(self.entries)
            if entry.process.poll() is None
        ]
        vms += [
            _vm(name, 'backend', address, 0, leaving)
            for name, address in self.addresses.items()
        ]
        body = {'vms': vms, 'store_ms': 0}
        assert self.put(self.platform.address, '/admin/vms', body).status < 300

    def apply(self, documents: list[dict[str, Any]], change_id: str) -> int:
        """Write resources to the store and return the revision."""
        resources: tuple[Resource, ...] = tuple(
            decode_documents(encode_json(documents))
        )
        with HttpStore(self.platform.address) as store:
            clock = SystemClock()
            log = ConfigurationLog(
                store, clock, time.sleep, random.Random(1), CALL_TIMEOUT_MS
            )
            outcome = log.apply(
                Change(change_id, resources), clock.now_ms() + APPLY_TIMEOUT_MS
            )
        assert isinstance(outcome, Accepted), outcome
        return outcome.revision

    def apply_shape(self) -> int:
        """Apply all resources and wait until all entry VMs give complete answers."""
        revision = self.apply(self.shape.resources(self.addresses), 'shape')
        for entry in self.entries:
            wait_until(
                partial(self._is_complete, entry),
                f'{entry.name} gives complete answers',
            )
        return revision

    def _is_complete(self, entry: Daemon) -> bool:
        reply = self.search(entry, 'warm')
        return reply.status == 200 and not reply.body['coverage']['missing_services']

    def search(
        self,
        entry: Daemon,
        text: str,
        timeout_ms: float = 1000,
        request_id: str = '',
    ) -> Reply:
        """Send a search to an entry VM."""
        return self.post(
            entry.address,
            '/v1/searches/cellar-briefing',
            {'text': text},
            {'Request-Timeout-Ms': str(timeout_ms), 'Request-Id': request_id},
        )

    def book(self, entry: Daemon, payload: str, key: str) -> Reply:
        """Send a booking to an entry VM."""
        return self.post(
            entry.address,
            '/v1/services/rota/requests',
            {'payload': payload},
            {'Idempotency-Key': key, 'Caller': 'test'},
        )

    def get(self, address: str, path: str) -> Reply:
        """Send a GET request."""
        return self._call('GET', address, path, None, {})

    def put(self, address: str, path: str, body: object) -> Reply:
        """Send a PUT request with a JSON body."""
        return self._call('PUT', address, path, body, {})

    def post(
        self, address: str, path: str, body: object, headers: dict[str, str]
    ) -> Reply:
        """Send a POST request with a JSON body."""
        return self._call('POST', address, path, body, headers)

    def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: object,
        headers: dict[str, str],
    ) -> Reply:
        response = self.http.request(
            method,
            f'http://{address}{path}',
            body=None if body is None else json.dumps(body).encode(),
            headers=headers,
            timeout=TIMEOUT_S,
        )
        try:
            decoded = json.loads(response.data) if response.data else None
        except ValueError:
            decoded = response.data.decode()
        return Reply(response.status, decoded, dict(response.headers))


def _vm(
    name: str, role: str, address: str, number: int, leaving: tuple[str, ...]
) -> dict[str, str]:
    return {
        'name': name,
        'role': role,
        'address': address,
        'data_centre': DATA_CENTRES[number % 3],
        'state': 'leaving' if name in leaving else 'live',
    }
