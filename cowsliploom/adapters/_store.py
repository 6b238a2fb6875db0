"""Client of the platform's key-value store over HTTP."""

import dataclasses
from collections.abc import Callable
from types import TracebackType
from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered, Unchanged
from cowsliploom.protocol import (
    AddressError,
    LeaseCall,
    LeaseResult,
    PutResult,
    PutValue,
    StoredValue,
    UnreadableError,
    VmInfo,
    VmList,
    decode_json,
    decode_json_pruned,
    split_address,
)

MS_PER_S = 1000
CONNECTIONS_MAX = 8  # covers a daemon's concurrent calls, including a watch
WATCH_MARGIN_MS = 1000  # allowed delay of the response to an expired watch
STATUS_OK = 200
STATUS_NO_CONTENT = 204
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

Body = TypeVar('Body')


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    status: int
    body: bytes


def _may_have_reached_store(error: Exception) -> bool:
    """Return whether bytes of the request may have reached the store."""
    cause = error.reason if isinstance(error, MaxRetryError) else error
    return not isinstance(cause, (NewConnectionError, ConnectTimeoutError))


class HttpStore:
    """Call the platform's store; outages are returned as ``Unanswered``.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS_MAX, retries=False)

    def __enter__(self) -> 'HttpStore':
        """Return the client."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        self._pool.clear()

    def read(self, key: str, timeout_ms: float) -> StoredValue | Absent | Unanswered:
        """Read the value and version of a key."""
        response = self._call('store.read', 'GET', f'/kv/{key}', timeout_ms)
        if isinstance(response, Unanswered):
            return response
        if response.status == STATUS_NOT_FOUND:
            return Absent(key)
        return self._decode('store.read', response, StoredValue)

    def swap(
        self, key: str, text: str, expected_version: int, timeout_ms: float
    ) -> Swapped | Conflict | Unanswered:
        """Write a key if its version equals ``expected_version`` (0: absent)."""
        body = msgspec.json.encode(PutValue(text, expected_version))
        response = self._call('store.swap', 'PUT', f'/kv/{key}', timeout_ms, body)
        if isinstance(response, Unanswered):
            return response
        outcome = self._decode('store.swap', response, PutResult)
        if isinstance(outcome, Unanswered):
            return outcome
        if response.status == STATUS_CONFLICT:
            return Conflict(outcome.version)
        return Swapped(outcome.version)

    def watch(
        self, key: str, after_version: int, wait_ms: float
    ) -> StoredValue | Unchanged | Unanswered:
        """Wait until a key's version is above ``after_version``."""
        path = f'/kv/{key}?after_version={after_version}&wait_ms={wait_ms:.0f}'
        response = self._call('store.watch', 'GET', path, wait_ms + WATCH_MARGIN_MS)
        if isinstance(response, Unanswered):
            return response
        if response.status in {STATUS_NO_CONTENT, STATUS_NOT_FOUND}:
            return Unchanged(key)
        return self._decode('store.watch', response, StoredValue)

    def lease(
        self, name: str, call: LeaseCall, timeout_ms: float
    ) -> LeaseResult | Unanswered:
        """Acquire, renew or release a lease.

        The result is the lease as stored; its holder and token show whether it is
        held.
        """
        body = msgspec.json.encode(call)
        response = self._call(
            'store.lease', 'POST', f'/leases/{name}', timeout_ms, body
        )
        if isinstance(response, Unanswered):
            return response
        return self._decode('store.lease', response, LeaseResult)

    def list_vms(self, timeout_ms: float) -> VmList | Unanswered:
        """List the live and leaving VMs; the list may be stale."""
        response = self._call('store.list', 'GET', '/vms', timeout_ms)
        if isinstance(response, Unanswered):
            return response
        return self._decode_body('store.list', response, _decode_vm_list)

    def _call(
        self,
        step: str,
        method: str,
        path: str,
        timeout_ms: float,
        body: bytes | None = None,
    ) -> _Response | Unanswered:
        try:
            response = self._pool.request(
                method,
                f'http://{self.address}{path}',
                body=body,
                timeout=urllib3.Timeout(total=timeout_ms / MS_PER_S),
            )
        except HTTPError as error:
            return Unanswered(
                step, self.address, _may_have_reached_store(error), str(error)
            )
        return _Response(response.status, response.data)

    def _decode(
        self, step: str, response: _Response, body_type: type[Body]
    ) -> Body | Unanswered:
        return self._decode_body(
            step, response, lambda body: decode_json(body, body_type)
        )

    def _decode_body(
        self, step: str, response: _Response, decode: Callable[[bytes], Body]
    ) -> Body | Unanswered:
        if response.status not in {STATUS_OK, STATUS_CONFLICT}:
            reason = f'status {response.status}'
            return Unanswered(step, self.address, maybe_applied=True, reason=reason)
        try:
            return decode(response.body)
        except msgspec.MsgspecError as error:
            return Unanswered(step, self.address, maybe_applied=True, reason=str(error))


class _WireVmList(msgspec.Struct):
    vms: tuple[msgspec.Raw, ...]
    store_ms: float


def _decode_vm_list(body: bytes) -> VmList:
    """Decode the VM list; malformed entries are left out and reported."""
    wire = decode_json_pruned(body, _WireVmList)
    vms, unreadable = [], []
    for entry in wire.vms:
        try:
            vms.append(_check_address(decode_json(bytes(entry), VmInfo)))
        except (UnreadableError, AddressError) as error:
            unreadable.append(str(error))
    return VmList(tuple(vms), wire.store_ms, tuple(unreadable))


def _check_address(vm: VmInfo) -> VmInfo:
    """Return the entry; raises ``AddressError`` if its address is invalid."""
    split_address(vm.address)
    return vm
