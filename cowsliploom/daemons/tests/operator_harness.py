"""Harness that runs operator daemons in the test process."""

import contextlib
import json
from dataclasses import replace

import urllib3

from cowsliploom.adapters import HttpResponse, HttpServer
from cowsliploom.daemons._operator_run import OperatorDaemon
from cowsliploom.daemons._operator_settings import OperatorSettings

SETTINGS = OperatorSettings(
    listen='127.0.0.1:0',
    store='127.0.0.1:1',
    data_centre='de',
    name='op-1',
    entries=(),
    read_timeout_ms=2000,
    write_timeout_ms=600,
    store_timeout_ms=100,
    watch_wait_ms=200,
    heartbeat_ms=200,
    status_period_ms=50,
    shutdown_notice_ms=0,
    request_timeout_ms=1000,
    idle_timeout_ms=2000,
    threads=8,
    watches_max=4,
    body_max_bytes=100_000,
)


class Answer:
    """Response of a daemon."""

    def __init__(self, response):
        self.status = response.status
        self.headers = response.headers
        self.body = json.loads(response.data)


class Operator:
    """Run a daemon on a store, and send requests to it."""

    def __init__(self, store, **changes):
        self.daemon = OperatorDaemon(replace(SETTINGS, **changes), store)
        self.http = urllib3.PoolManager(retries=False, timeout=10)

    def __enter__(self):
        self.daemon.__enter__()
        return self

    def __exit__(self, *_exc):
        self.daemon.__exit__(None, None, None)
        self.http.clear()

    def request(self, method, path, body=None, **headers):
        named = {name.replace('_', '-'): text for name, text in headers.items()}
        encoded = body if body is None or isinstance(body, bytes) else json.dumps(body)
        return Answer(
            self.http.request(method, self.url(path), body=encoded, headers=named)
        )

    def put(self, name, state='in', **headers):
        path = f'/v1/resources/datacentre/{name}'
        return self.request('PUT', path, {'spec': {'state': state}}, **headers)

    def revision(self):
        return self.request('GET', '/v1/resources').body['revision']

    @contextlib.contextmanager
    def watch(self, path='/v1/resources', **query):
        response = self.http.request(
            'GET',
            self.url(path),
            fields={'watch': 'true', **query},
            preload_content=False,
        )
        with contextlib.closing(response):
            yield Watch(response)

    def url(self, path):
        return f'http://{self.daemon.address}{path}'


class Watch:
    """Read the lines of a watch stream."""

    def __init__(self, response):
        self.status = response.status
        self.lines = map(json.loads, iter(response.readline, b''))

    def until(self, kind):
        """Return the next line of a type, skipping others."""
        return next(line for line in self.lines if line['type'] == kind)

    def until_store(self, *, failing):
        """Return the next bookmark with the given state of the store."""
        bookmarks = (line for line in self.lines if line['type'] == 'bookmark')
        return next(
            line for line in bookmarks if bool(line['store_failure']) is failing
        )


class FakeEntry:
    """HTTP server that reports fixed revisions of the fleet, as an entry VM does."""

    def __init__(self):
        self.daemons = {}
        self.status = 200
        self.server = HttpServer('127.0.0.1:0', self.answer)

    def answer(self, _request):
        daemons = [
            {'name': name, 'data_centre': 'de', 'applied_revision': revision}
            for name, revision in self.daemons.items()
        ]
        return HttpResponse(self.status, json.dumps({'daemons': daemons}).encode())
