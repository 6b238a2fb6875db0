"""Orders to move services, and what is kept of moves that have ended."""

from collections.abc import Iterable

from cowsliploom import platform
from cowsliploom.forwarding import Fleet, MoveOrder, VersionSplit
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._stored_moves import (
    STATE_PREFIX,
    StoredMove,
    decode_stored_move,
)
from cowsliploom.members import StoreMirror
from cowsliploom.protocol import UnreadableError


class MoveNews:
    """Keep requests from versions that are new, or whose moves were not finished.

    Parameters
    ----------
    mirror : StoreMirror
        What the store holds.
    fleet : Fleet
        Where versions are barred, and services divided.
    log : LineLog
        Log of orders and barred versions.
    """

    def __init__(self, mirror: StoreMirror, fleet: Fleet, log: LineLog) -> None:
        self.orders: dict[str, MoveOrder] = {}
        self._mirror = mirror
        self._fleet = fleet
        self._log = log
        self._stored: dict[str, StoredMove] = {}
        self._left: dict[str, frozenset[str]] = {}

    def take(self, changed: Iterable[str], heard: Provenance) -> None:
        """Take how far moves are, and orders to move services."""
        concerned = set()
        for key in sorted(changed):
            if key.startswith(STATE_PREFIX):
                concerned.add(key.removeprefix(STATE_PREFIX))
                self._take_stored(key)
            elif key.startswith(platform.MOVE_PREFIX):
                concerned.add(key.removeprefix(platform.MOVE_PREFIX))
                self._take_order(key, heard)
        for service in concerned:
            self._bar(service)

    def _take_stored(self, key: str) -> None:
        service = key.removeprefix(STATE_PREFIX)
        item = self._mirror.get(key)
        if item is None:
            self._stored.pop(service, None)
            return
        try:
            self._stored[service] = decode_stored_move(item.content)
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=service, reason=error.reason)

    def _bar(self, service: str) -> None:
        """Keep requests from versions whose moves were not finished."""
        order = self.orders.get(service)
        ordered = order.to_version if order else None
        stored = self._stored.get(service)
        left = self._left.get(service, frozenset()) - {ordered}
        self._left[service] = left
        barred = left
        if stored is not None:
            barred |= stored.barred(ordered)
        if self._fleet.block_versions(service, barred):
            self._log.write('move', 'barred', service=service, versions=sorted(barred))

    def _leave(self, service: str) -> None:
        """Remember the version of an order that ended before its move had a state.

        States that were written later tell of it themselves.
        """
        order = self.orders.pop(service, None)
        item = self._mirror.get(f'{STATE_PREFIX}{service}')
        if order is not None and (item is None or item.revision < order.revision):
            left = self._left.get(service, frozenset())
            self._left[service] = left | {order.to_version}

    def _take_order(self, key: str, heard: Provenance) -> None:
        """Take an order to move a service, or its end.

        Until it is known how far the move is, the new version gets nothing.
        """
        service = key.removeprefix(platform.MOVE_PREFIX)
        item = self._mirror.get(key)
        if item is None:
            if service in self.orders:
                self._leave(service)
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
            self._leave(service)
            self._fleet.split(service, self._first_split(order))
        self.orders[service] = order
        self._log.write(
            'move',
            'ordered',
            service=service,
            to_version=order.to_version,
            given_ms=order.given_ms,
            revision=order.revision,
            source=heard.source,
            age_ms=heard.age_ms,
        )

    def _first_split(self, order: MoveOrder) -> VersionSplit:
        stored = self._stored.get(order.service)
        if stored is None or stored.to_version != order.to_version:
            return VersionSplit(order.to_version)
        return VersionSplit(order.to_version, 1 if stored.is_finished else None)
