"""What this entry VM knows of the configuration and of the backend servers."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from cowsliploom import platform
from cowsliploom.members import Batch, StoreMirror
from cowsliploom.forwarding import (
    RequestDispatcher,
    MoveOrder,
    ServerHealthChange,
    ServerRecord,
)
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._move_news import MoveNews
from cowsliploom.gateway._peer_wire import NEVER_MS

LAPSE_HOLD_MS = 2300.0  # live servers are back this long after the store's return
LAPSE_SHARE = 0.25  # of all servers; more that go at once have rather lapsed
LAPSE_MIN = 3
CURRENT_SHARE = 0.8  # of the time for a configuration; the rest is for the way here
CHANGES_LOGGED = 20  # one by one; more would push other lines out of the log


@dataclass(frozen=True, slots=True)
class InForce:
    """Say which configuration is in force here, and how well that is known.

    Parameters
    ----------
    version : int
        Version of the route table; 0 for none.
    revision : int
        Revision of the store up to which nothing is left out.
    heard_revision : int
        Newest revision that the store or a peer has spoken of.
    confirmed_age_ms : float
        Time since the store confirmed that nothing newer was there.
    """

    version: int
    revision: int
    heard_revision: int
    confirmed_age_ms: float


class StoreView:
    """Apply what the store and the peers tell to the desk.

    Parameters
    ----------
    desk : RequestDispatcher
        Where routes and servers are taken into use.
    log : LineLog
        Log of changed beliefs.
    apply_ms : float
        Time within which a new configuration is to be in force.
    """

    def __init__(self, desk: RequestDispatcher, log: LineLog, apply_ms: float) -> None:
        self.desk = desk
        self.log = log
        self.apply_ms = apply_ms
        self.mirror = StoreMirror()
        self._confirmed_ms: float | None = None
        self.heard_revision = 0
        self._is_unreadable = False
        self._records: dict[str, ServerRecord] = {}
        self._moves = MoveNews(self.mirror, desk.fleet, log)
        self._held: dict[str, float] = {}
        self._store_back_ms = float('-inf')
        desk.fleet.on_health_change = self._note_belief
        desk.is_current = self.is_current

    @property
    def orders(self) -> Mapping[str, MoveOrder]:
        """Return the orders that stand, by service."""
        return self._moves.orders

    @property
    def is_ready(self) -> bool:
        """Tell whether there is a configuration."""
        return bool(self.desk.table.version)

    def confirmed_age_ms(self, now_ms: float) -> float:
        """Return how long ago the store confirmed what is known here."""
        if self._confirmed_ms is None:
            return NEVER_MS
        return now_ms - self._confirmed_ms

    def is_current(self, now_ms: float) -> bool:
        """Tell whether a new configuration would be known by now."""
        is_behind = self.heard_revision > self.mirror.revision
        if is_behind or self._is_unreadable:
            return False
        return self.confirmed_age_ms(now_ms) < CURRENT_SHARE * self.apply_ms

    def in_force(self, now_ms: float) -> InForce:
        """Return which configuration is in force, and how well that is known."""
        return InForce(
            self.desk.table.version,
            self.mirror.revision,
            self.heard_revision,
            self.confirmed_age_ms(now_ms),
        )

    def store_returned(self, now_ms: float) -> None:
        """Note that the store answers again after it didn't."""
        self._store_back_ms = now_ms

    def take(
        self, batch: Batch, heard: Provenance, now_ms: float, is_newest: bool = True
    ) -> bool:
        """Take what the store or a peer told; tell whether it was news.

        Parameters
        ----------
        batch : Batch
            What was told.
        heard : Heard
            Who told it, and how old that is.
        now_ms : float
            Steady clock.
        is_newest : bool
            Whether the source knows of nothing newer. Default True.
        """
        changed = self.mirror.take(batch)
        if is_newest:
            self.confirm(batch.revision, heard, now_ms)
        if not changed:
            return False
        if platform.CONFIGURATION_KEY in changed:
            self._take_configuration(heard)
        self._take_zones()
        self._moves.take(changed, heard)
        servers = [key for key in changed if key.startswith(platform.SERVER_PREFIX)]
        if servers:
            self._take_servers(servers, heard, now_ms)
        return True

    def confirm(self, revision: int, heard: Provenance, now_ms: float) -> None:
        """Note that a revision was the newest when the source heard it.

        A source that knows more than is known here confirms nothing.
        """
        self.heard_revision = max(self.heard_revision, revision)
        if revision == self.mirror.revision:
            confirmed_ms = now_ms - heard.age_ms
            self._confirmed_ms = max(confirmed_ms, self._confirmed_ms or confirmed_ms)

    def add_age(self, missed_ms: float) -> None:
        """Take time that the own clock has left out."""
        if self._confirmed_ms is not None:
            self._confirmed_ms -= missed_ms

    def expire_held_servers(self, now_ms: float) -> None:
        """Give up servers whose registration has not come back in time."""
        due = [key for key, until_ms in self._held.items() if now_ms >= until_ms]
        for key in due:
            del self._held[key]
            self._records.pop(key, None)
        if due:
            self._update_fleet(Provenance('held registrations'), now_ms)

    def _take_configuration(self, heard: Provenance) -> None:
        item = self.mirror.get(platform.CONFIGURATION_KEY)
        if item is None:
            return
        try:
            table = platform.decode_configuration(item.content)
        except platform.DocumentError as error:
            self._is_unreadable = True
            self.log.write('configuration', 'unreadable', reason=error.reason)
            return
        self._is_unreadable = False
        if self.desk.apply_table(table):
            self.log.write(
                'configuration',
                'taken',
                version=table.version,
                revision=item.revision,
                routes=len(table.routes),
                source=heard.source,
                age_ms=heard.age_ms,
            )

    def _take_zones(self) -> None:
        keys = (
            item.key
            for item in self.mirror.items_with_prefix(platform.EVACUATION_PREFIX)
        )
        closed = platform.evacuated_data_centres(keys)
        if closed != self.desk.fleet.closed_data_centres:
            self.desk.fleet.closed_data_centres = closed
            self.log.write('evacuation', 'changed', data_centres=sorted(closed))

    def _take_servers(self, keys: list[str], heard: Provenance, now_ms: float) -> None:
        removed = [key for key in keys if self.mirror.get(key) is None]
        hold_until_ms = self._hold_until_ms(len(removed), now_ms)
        for key in keys:
            item = self.mirror.get(key)
            if item is None:
                if key in self._records and hold_until_ms > now_ms:
                    self._held[key] = hold_until_ms
                else:
                    self._records.pop(key, None)
                continue
            self._held.pop(key, None)
            try:
                self._records[key] = platform.decode_server(key, item.content)
            except platform.DocumentError as error:
                self._records.pop(key, None)
                self.log.write('server', 'unreadable', server=key, reason=error.reason)
        self._update_fleet(heard, now_ms)

    def _hold_until_ms(self, removed: int, now_ms: float) -> float:
        """Return until when removed servers stay, as their entries may return."""
        lapsed = removed >= max(LAPSE_MIN, len(self._records) * LAPSE_SHARE)
        after_outage_ms = self._store_back_ms + LAPSE_HOLD_MS
        return max(after_outage_ms, now_ms + LAPSE_HOLD_MS if lapsed else 0)

    def _note_belief(self, belief: ServerHealthChange) -> None:
        self.log.write(
            'server',
            belief.health,
            server=belief.server,
            service=belief.service,
            failures=belief.failures,
            mean_ms=belief.mean_ms,
            for_ms=belief.for_ms,
            reason=belief.reason,
        )

    def _update_fleet(self, heard: Provenance, now_ms: float) -> None:
        changes = self.desk.fleet.update(self._records.values(), now_ms)
        if len(changes) > CHANGES_LOGGED:
            kinds = Counter(change.what for change in changes)
            self.log.write(
                'server',
                'many changed',
                changed=len(changes),
                new=kinds['new'],
                gone=kinds['gone'],
                revision=self.mirror.revision,
                source=heard.source,
                age_ms=heard.age_ms,
            )
            return
        for change in changes:
            self.log.write(
                'server',
                change.what,
                server=change.name,
                service=change.service,
                revision=self.mirror.revision,
                source=heard.source,
                age_ms=heard.age_ms,
            )
