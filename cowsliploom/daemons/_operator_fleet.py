"""Reads the fleet's status from entry VMs, and the moves' from the store."""

from collections.abc import Iterable
from concurrent.futures import Future
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from cowsliploom.daemons._operator_status import (
    DaemonRevisions,
    FleetIndex,
    FleetUnknown,
    MoveStatus,
    MoveUnknown,
    StatusSnapshot,
    index_fleet,
)
from cowsliploom.ports import Absent, Clock, Store
from cowsliploom.protocol import StoredValue, decode_json

MOVE_PREFIX = 'moves/'
FLEET_PATH = '/v1/fleet/status'
FLEET_TIMEOUT_MS = 1000.0  # an entry VM answers from memory
FLEET_REUSE_MS = 300.0  # concurrent readers share one call on the entry VM
FLEET_BYTES_MAX = 2_000_000  # well above 2,600 daemons of 100 bytes each
MS_PER_S = 1000
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """Request the fleet's status, and that of some version moves."""

    moves: tuple[str, ...]
    answer: 'Future[StatusSnapshot]'


class FleetReader:
    """Fetch the fleet's revisions in force from the first entry VM that answers.

    Parameters
    ----------
    entries : tuple of str
        Addresses; the one that last answered is tried first.
    """

    def __init__(self, entries: tuple[str, ...]) -> None:
        self._entries = list(entries)
        self._pool = urllib3.PoolManager(retries=False)

    def read(self) -> FleetIndex | FleetUnknown:
        """Return the fleet's status, or the failure of the last entry VM tried."""
        failure = FleetUnknown('no entry VM is configured (--entry)')
        for index, address in enumerate(self._entries):
            found = self._fetch(address)
            if isinstance(found, FleetIndex):
                self._entries.insert(0, self._entries.pop(index))
                return found
            failure = found
        return failure

    def _fetch(self, address: str) -> FleetIndex | FleetUnknown:
        try:
            response = self._pool.request(
                'GET',
                f'http://{address}{FLEET_PATH}',
                timeout=FLEET_TIMEOUT_MS / MS_PER_S,
                preload_content=False,
            )
            with response:
                body = response.read(FLEET_BYTES_MAX)
        except HTTPError as error:
            return FleetUnknown(f'entry VM {address}: {type(error).__name__}')
        if response.status != STATUS_OK:
            return FleetUnknown(f'entry VM {address}: status {response.status}')
        try:
            return index_fleet(decode_json(body, DaemonRevisions))
        except msgspec.MsgspecError as error:
            return FleetUnknown(f'entry VM {address}: {error}')


class StatusReader:
    """Message handler that reads status.

    Parameters
    ----------
    fleet : FleetReader
        Reads the revisions in force.
    store : Store
        Holds the status of version moves.
    clock : Clock
        Clock for the age of cached responses.
    timeout_ms : float
        Timeout of one store call, in milliseconds.
    """

    def __init__(
        self, fleet: FleetReader, store: Store, clock: Clock, timeout_ms: float
    ) -> None:
        self.fleet = fleet
        self.store = store
        self.clock = clock
        self.timeout_ms = timeout_ms
        self._fleet_status: FleetIndex | FleetUnknown = FleetUnknown('not read yet')
        self._fleet_read_ms: float | None = None

    def __call__(self, message: StatusRequested) -> None:
        """Answer one status request."""
        message.answer.set_result(self.read(message.moves))

    def read(self, moves: Iterable[str]) -> StatusSnapshot:
        """Read the fleet's status, and that of some version moves."""
        statuses = {name: self._read_move(name) for name in moves}
        found = {name: move for name, move in statuses.items() if move is not None}
        return StatusSnapshot(self._read_fleet(), found)

    def _read_fleet(self) -> FleetIndex | FleetUnknown:
        now_ms = self.clock.now_ms()
        read_ms = self._fleet_read_ms
        if read_ms is None or now_ms - read_ms > FLEET_REUSE_MS:
            self._fleet_status = self.fleet.read()
            self._fleet_read_ms = self.clock.now_ms()
        return self._fleet_status

    def _read_move(self, name: str) -> MoveStatus | None:
        answer = self.store.read(f'{MOVE_PREFIX}{name}', self.timeout_ms)
        match answer:
            case Absent():
                return None
            case StoredValue(value=text):
                return _decode_move(text)
        return MoveUnknown(f'{answer.step}: {answer.reason}')


def _decode_move(text: str) -> MoveStatus:
    try:
        decode_json(text, dict)
    except msgspec.MsgspecError as error:
        return MoveUnknown(str(error))
    return msgspec.Raw(text)
