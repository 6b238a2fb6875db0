"""Move requests of operators, and stored states of version moves."""

from collections.abc import Iterable

from cowsliploom import platform
from cowsliploom.forwarding import Fleet, MoveOrder, VersionSplit
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._stored_moves import (
    STATE_PREFIX,
    StoredMove,
    decode_stored_move,
)
from cowsliploom.members import StoreMirror
from cowsliploom.protocol import UnreadableError


class MoveTracker:
    """Block versions that are new, or whose moves did not finish.

    Parameters
    ----------
    mirror : StoreMirror
        Local copy of the store.
    fleet : Fleet
        Fleet in which versions are blocked and services are split.
    log : LineLog
        Log of move requests and blocked versions.
    """

    def __init__(self, mirror: StoreMirror, fleet: Fleet, log: LineLog) -> None:
        self.orders: dict[str, MoveOrder] = {}
        self._mirror = mirror
        self._fleet = fleet
        self._log = log
        self._stored: dict[str, StoredMove] = {}
        self._abandoned: dict[str, frozenset[str]] = {}

    def apply(self, changed: Iterable[str], provenance: Provenance) -> None:
        """Apply changed move states and move requests."""
        affected = set()
        for key in sorted(changed):
            if key.startswith(STATE_PREFIX):
                affected.add(key.removeprefix(STATE_PREFIX))
                self._apply_stored(key)
            elif key.startswith(platform.MOVE_PREFIX):
                affected.add(key.removeprefix(platform.MOVE_PREFIX))
                self._apply_order(key, provenance)
        for service in affected:
            self._block_unfinished(service)

    def _apply_stored(self, key: str) -> None:
        service = key.removeprefix(STATE_PREFIX)
        item = self._mirror.get(key)
        if item is None:
            self._stored.pop(service, None)
            return
        try:
            self._stored[service] = decode_stored_move(item.content)
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=service, reason=error.reason)

    def _block_unfinished(self, service: str) -> None:
        """Block the versions of the service whose moves did not finish."""
        order = self.orders.get(service)
        requested = order.to_version if order else None
        stored = self._stored.get(service)
        abandoned = self._abandoned.get(service, frozenset()) - {requested}
        self._abandoned[service] = abandoned
        blocked = abandoned
        if stored is not None:
            blocked |= stored.blocked(requested)
        if self._fleet.block_versions(service, blocked):
            self._log.write('move', 'barred', service=service, versions=sorted(blocked))

    def _abandon(self, service: str) -> None:
        """Remove a move request, and record its version if no state names it.

        A state that was written after the request lists the version itself.
        """
        order = self.orders.pop(service, None)
        item = self._mirror.get(f'{STATE_PREFIX}{service}')
        if order is not None and (item is None or item.revision < order.revision):
            abandoned = self._abandoned.get(service, frozenset())
            self._abandoned[service] = abandoned | {order.to_version}

    def _apply_order(self, key: str, provenance: Provenance) -> None:
        """Apply a new, changed or removed move request.

        The new version receives no requests until its share is known.
        """
        service = key.removeprefix(platform.MOVE_PREFIX)
        item = self._mirror.get(key)
        if item is None:
            if service in self.orders:
                self._abandon(service)
                self._fleet.split(service, None)
                self._log.write('move', 'order gone', service=service)
            return
        try:
            order = platform.decode_move_order(key, item.content, item.revision)
        except platform.DocumentError as error:
            self._log.write('move', 'unreadable', service=service, reason=error.reason)
            return
        known = self.orders.get(service)
        if known is None or known.to_version != order.to_version:
            self._abandon(service)
            self._fleet.split(service, self._initial_split(order))
        self.orders[service] = order
        self._log.write(
            'move',
            'ordered',
            service=service,
            to_version=order.to_version,
            given_ms=order.given_ms,
            revision=order.revision,
            source=provenance.source,
            age_ms=provenance.age_ms,
        )

    def _initial_split(self, order: MoveOrder) -> VersionSplit:
        stored = self._stored.get(order.service)
        if stored is None or stored.to_version != order.to_version:
            return VersionSplit(order.to_version)
        return VersionSplit(order.to_version, 1 if stored.is_finished else None)
