"""HTTP handlers of the platform stand-in."""

import threading
import time
from dataclasses import replace
from http import HTTPStatus

from cowsliploom.ports import Absent, Clock, Conflict
from cowsliploom.protocol import LeaseCall, PutResult, PutValue, VmList
from cowsliploom.standins._faults import (
    CallKind,
    StoreCounters,
    StoreFaults,
    StoreMode,
    applicable_mode,
    consume_fault,
    count_call,
)
from cowsliploom.standins._http import (
    DropConnection,
    Reply,
    Request,
    decode_admin_body,
    decode_body,
    json_reply,
    problem_reply,
)
from cowsliploom.standins._store import StoreState, value_too_large

MS_PER_S = 1000
KEY_PREFIX = '/kv/'
LEASE_PREFIX = '/leases/'
WATCH_MAX_MS = 60_000  # limit of a wait, so that its thread is released


def parse_call(request: Request) -> tuple[CallKind, str]:
    """Return the kind and key of a call; raise ``LookupError`` for unknown paths."""
    path = request.path
    match request.method:
        case 'GET' if path.startswith(KEY_PREFIX):
            watching = 'after_version' in request.query
            kind = CallKind.WATCH if watching else CallKind.READ
            return kind, path.removeprefix(KEY_PREFIX)
        case 'PUT' if path.startswith(KEY_PREFIX):
            return CallKind.SWAP, path.removeprefix(KEY_PREFIX)
        case 'POST' if path.startswith(LEASE_PREFIX):
            return CallKind.LEASE, path.removeprefix('/')
        case 'GET' if path == '/vms':
            return CallKind.LIST, 'vms'
    raise LookupError(f'{request.method} {path}')


class Platform:
    """Handler of the platform's HTTP calls.

    Parameters
    ----------
    state : StoreState
        Keys, leases and the list of VMs.
    clock : Clock
        Its ``wall_ms`` is the store's time.
    """

    def __init__(self, state: StoreState, clock: Clock) -> None:
        self.state = state
        self.clock = clock
        self.faults = StoreFaults()
        self.counters = StoreCounters()
        self._changed = threading.Condition()

    def answer(self, request: Request) -> Reply:
        """Answer one request; raise `DropConnection` if a fault requires it."""
        if request.path.startswith('/admin/'):
            return self._answer_admin(request)
        try:
            kind, key = parse_call(request)
        except LookupError as error:
            return problem_reply(HTTPStatus.NOT_FOUND, str(error))
        with self._changed:
            mode, delay_ms = self._mode_of(kind, key)
        if mode in {StoreMode.DOWN, StoreMode.LOSE_REQUESTS}:
            raise DropConnection
        if mode is StoreMode.SLOW:
            time.sleep(delay_ms / MS_PER_S)
        with self._changed:
            reply = self._execute(kind, key, request)
        if mode is StoreMode.LOSE_ANSWERS:
            raise DropConnection
        return reply

    def _answer_admin(self, request: Request) -> Reply:
        with self._changed:
            match (request.method, request.path):
                case ('PUT', '/admin/vms'):
                    vms = decode_admin_body(request, VmList)
                    self.state.put_vms(vms, self.clock.wall_ms())
                    return json_reply(vms)
                case ('PUT', '/admin/faults'):
                    self.faults = decode_admin_body(request, StoreFaults)
                    self._changed.notify_all()
                    return json_reply(self.faults)
                case ('GET', '/admin/counters'):
                    return json_reply(self.counters)
        return problem_reply(HTTPStatus.NOT_FOUND, request.path)

    def _mode_of(self, kind: CallKind, key: str) -> tuple[StoreMode, float]:
        self.counters = count_call(self.counters, kind)
        mode = applicable_mode(self.faults, kind, key)
        delay_ms = self.faults.delay_ms
        if mode is not StoreMode.OK:
            self.faults = consume_fault(self.faults)
            self.counters = replace(self.counters, faults=self.counters.faults + 1)
        return mode, delay_ms

    def _execute(self, kind: CallKind, key: str, request: Request) -> Reply:
        match kind:
            case CallKind.READ:
                return self._read(key)
            case CallKind.WATCH:
                return self._watch(key, request)
            case CallKind.SWAP:
                return self._swap(key, decode_body(request, PutValue))
            case CallKind.LEASE:
                return self._lease(key, decode_body(request, LeaseCall))
            case CallKind.LIST:
                return json_reply(self.state.list_vms(self.clock.wall_ms()))

    def _read(self, key: str) -> Reply:
        found = self.state.read(key, self.clock.wall_ms())
        if isinstance(found, Absent):
            return problem_reply(HTTPStatus.NOT_FOUND, f'no key {key}')
        return json_reply(found)

    def _watch(self, key: str, request: Request) -> Reply:
        after_version = int(request.query['after_version'])
        wait_ms = min(float(request.query.get('wait_ms', '0')), WATCH_MAX_MS)
        self._count_waiting(1)
        self._changed.wait_for(
            lambda: self.state.version(key) > after_version or self._is_down(key),
            wait_ms / MS_PER_S,
        )
        self._count_waiting(-1)
        if self._is_down(key):
            raise DropConnection
        newer = self.state.version(key) > after_version
        return self._read(key) if newer else Reply(HTTPStatus.NO_CONTENT)

    def _is_down(self, key: str) -> bool:
        """Return whether an outage interrupts a waiting watch."""
        return applicable_mode(self.faults, CallKind.WATCH, key) is StoreMode.DOWN

    def _count_waiting(self, step: int) -> None:
        waiting = self.counters.watches_waiting + step
        self.counters = replace(
            self.counters,
            watches_waiting=waiting,
            watches_waiting_max=max(waiting, self.counters.watches_waiting_max),
        )

    def _swap(self, key: str, put: PutValue) -> Reply:
        if value_too_large(put.value):
            return problem_reply(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                'value: larger than 1000000 bytes',
            )
        now_ms = self.clock.wall_ms()
        outcome = self.state.swap(key, put.value, put.expected_version, now_ms)
        put_result = PutResult(key, outcome.version, now_ms)
        if isinstance(outcome, Conflict):
            conflicts = self.counters.conflicts + 1
            self.counters = replace(self.counters, conflicts=conflicts)
            return json_reply(put_result, HTTPStatus.CONFLICT)
        self._changed.notify_all()
        return json_reply(put_result)

    def _lease(self, key: str, call: LeaseCall) -> Reply:
        name = f'/{key}'.removeprefix(LEASE_PREFIX)
        outcome = self.state.lease(name, call, self.clock.wall_ms())
        status = HTTPStatus.OK if outcome.granted else HTTPStatus.CONFLICT
        return json_reply(outcome.lease, status)
