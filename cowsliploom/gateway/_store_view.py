"""This entry VM's view of the configuration and the backend servers."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cowsliploom import platform
from cowsliploom.forwarding import (
    LeavingChange,
    MoveOrder,
    RequestDispatcher,
    ServerHealthChange,
    ServerRecord,
)
from cowsliploom.gateway._expiry_hold import NEVER_MS, ExpiryHold, StoreOutage
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._move_tracker import MoveTracker
from cowsliploom.gateway._peer_wire import UNKNOWN_AGE_MS
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._stored_moves import STATE_PREFIX
from cowsliploom.members import Batch, StoreMirror, era_of, store_revision

# Written again by operators, or by the VMs themselves, if a restored store lacks them.
RESTORED_PREFIXES = (platform.EVACUATION_PREFIX, platform.MOVE_PREFIX, STATE_PREFIX)
FRESHNESS_SHARE = 0.8  # of the apply time; the rest is for the way from the store
CHANGE_LINES_MAX = 20  # more lines would push others out of the log


@dataclass(frozen=True, slots=True)
class InForce:
    """Configuration in force on this entry VM, and how recently it was confirmed.

    Parameters
    ----------
    version : int
        Version of the route table; 0 for none.
    revision : int
        Store revision up to which all changes are applied here.
    heard_revision : int
        Newest revision reported by the store or a peer.
    confirmed_age_ms : float
        Time since the store confirmed that there was nothing newer.
    """

    version: int
    revision: int
    heard_revision: int
    confirmed_age_ms: float


class StoreView:
    """Apply store contents received from the store or from peers to the dispatcher.

    Parameters
    ----------
    dispatcher : RequestDispatcher
        Dispatcher whose routes, servers and version splits are updated.
    log : LineLog
        Log of changes to configuration, servers and moves.
    apply_ms : float
        Time within which a new configuration is to be in force.
    """

    def __init__(
        self, dispatcher: RequestDispatcher, log: LineLog, apply_ms: float
    ) -> None:
        self.dispatcher = dispatcher
        self.log = log
        self.apply_ms = apply_ms
        self.mirror = StoreMirror()
        self._confirmed_ms: float | None = None
        self.heard_revision = 0
        self._is_unreadable = False
        self._records: dict[str, ServerRecord] = {}
        self._moves = MoveTracker(self.mirror, dispatcher.fleet, log)
        self._held: dict[str, float] = {}
        self.expiry_hold = ExpiryHold()
        dispatcher.fleet.on_health_change = self._log_health_change
        dispatcher.fleet.leaving.on_change = self._log_leaving
        dispatcher.access.is_current = self.is_current
        dispatcher.access.confirmed_age_ms = self.confirmed_age_ms

    @property
    def orders(self) -> Mapping[str, MoveOrder]:
        """Current move requests by service."""
        return self._moves.orders

    @property
    def is_ready(self) -> bool:
        """Whether a configuration has been applied."""
        return bool(self.dispatcher.table.version)

    def confirmed_age_ms(self, now_ms: float) -> float:
        """Return the time since the store confirmed the applied contents."""
        if self._confirmed_ms is None:
            return UNKNOWN_AGE_MS
        return now_ms - self._confirmed_ms

    def is_current(self, now_ms: float) -> bool:
        """Return whether a new configuration would have been received by now."""
        is_behind = self.heard_revision > self.mirror.revision
        if is_behind or self._is_unreadable:
            return False
        return self.confirmed_age_ms(now_ms) < FRESHNESS_SHARE * self.apply_ms

    def in_force(self, now_ms: float) -> InForce:
        """Return the configuration in force and how recently it was confirmed."""
        return InForce(
            self.dispatcher.table.version,
            self.mirror.revision,
            self.heard_revision,
            self.confirmed_age_ms(now_ms),
        )

    def note_restored(self, era: int) -> None:
        """Record that the store has come back from an older copy.

        What is known here stays in use, and counts as out of date until the contents of
        the new era are complete.
        """
        heard_revision = store_revision(era, 0)
        if heard_revision > self.heard_revision:
            self.heard_revision = heard_revision
            self.log.write('store', 'restored', era=era, revision=self.mirror.revision)

    def note_outage(
        self, outage: StoreOutage, source: str, running_since_ms: float = NEVER_MS
    ) -> None:
        """Record an outage of the store that has ended.

        Parameters
        ----------
        outage : StoreOutage
            The outage.
        source : str
            ``'store'`` if noticed here, or the name of the peer that noticed it.
        running_since_ms : float
            Since when this VM has run without a pause, if it noticed the outage itself.
        """
        if self.expiry_hold.note(outage, running_since_ms):
            self.log.write(
                'store',
                'outage ended',
                for_ms=round(outage.recovered_ms - outage.lost_ms),
                hold_until_ms=round(self.expiry_hold.until_ms),
                source=source,
            )

    def apply(
        self,
        batch: Batch,
        provenance: Provenance,
        now_ms: float,
        is_newest: bool = True,
    ) -> bool:
        """Apply a batch from the store or a peer; return whether it changed anything.

        Parameters
        ----------
        batch : Batch
            Changes, or the whole contents.
        provenance : Provenance
            Source of the batch and its age.
        now_ms : float
            Monotonic time.
        is_newest : bool
            Whether the source has nothing newer. Default True.
        """
        known_revision = self.mirror.revision
        changed = self.mirror.apply(batch)
        for written in filter(self.mirror.get, changed):
            self._held.pop(written, None)
        if batch.is_whole:
            self._log_full_contents(batch, len(changed), known_revision, provenance)
        if known_revision and era_of(self.mirror.revision) > era_of(known_revision):
            self._hold_lost(changed, now_ms)
        if is_newest:
            self.confirm(batch.revision, provenance, now_ms)
        if not changed:
            return False
        if platform.CONFIGURATION_KEY in changed:
            self._apply_configuration(provenance)
        self._apply_evacuations()
        self._moves.apply(changed - self._held.keys(), provenance)
        servers = [key for key in changed if key.startswith(platform.SERVER_PREFIX)]
        if servers:
            self._apply_servers(servers, provenance, now_ms)
        return True

    def confirm(self, revision: int, provenance: Provenance, now_ms: float) -> None:
        """Record that a revision was the newest known to its source.

        A source at a higher revision than this VM does not confirm the contents here.
        """
        self.heard_revision = max(self.heard_revision, revision)
        confirmed_ms = now_ms - provenance.age_ms
        self.expiry_hold.confirmations.add(confirmed_ms)
        if revision == self.mirror.revision:
            self._confirmed_ms = max(confirmed_ms, self._confirmed_ms or confirmed_ms)

    def add_age(self, missed_ms: float) -> None:
        """Add time during which the local clock did not advance."""
        if self._confirmed_ms is not None:
            self._confirmed_ms -= missed_ms
        self.expiry_hold.add_age(missed_ms)

    def expire_held_servers(self, now_ms: float) -> None:
        """Remove servers whose registrations did not return within the hold time."""
        due = [key for key, until_ms in self._held.items() if now_ms >= until_ms]
        for key in due:
            del self._held[key]
            self._records.pop(key, None)
        if due:
            provenance = Provenance('held registrations')
            self._apply_evacuations()
            self._moves.apply(due, provenance)
            self._update_fleet(provenance, now_ms)

    def _hold_lost(self, changed: Iterable[str], now_ms: float) -> None:
        """Keep for a while what a restored store lacks, as it will be written again."""
        era = era_of(self.mirror.revision)
        self.note_restored(era)
        self.expiry_hold.note_restored(now_ms)
        until_ms = self.expiry_hold.until_ms
        lost = [
            key
            for key in changed
            if key.startswith(RESTORED_PREFIXES) and self.mirror.get(key) is None
        ]
        self._held.update(dict.fromkeys(lost, until_ms))
        self.log.write(
            'store',
            'lost keys held',
            era=era,
            keys=lost[:CHANGE_LINES_MAX],
            for_ms=round(until_ms - now_ms),
        )

    def _apply_configuration(self, provenance: Provenance) -> None:
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
        if self.dispatcher.apply_table(table):
            self.log.write(
                'configuration',
                'taken',
                version=table.version,
                revision=item.revision,
                routes=len(table.routes),
                source=provenance.source,
                age_ms=provenance.age_ms,
            )

    def _apply_evacuations(self) -> None:
        stored = self.mirror.items_with_prefix(platform.EVACUATION_PREFIX)
        keys = (item.key for item in stored)
        closed = platform.evacuated_data_centres((*keys, *self._held))
        if closed != self.dispatcher.fleet.closed_data_centres:
            self.dispatcher.fleet.closed_data_centres = closed
            self.log.write('evacuation', 'changed', data_centres=sorted(closed))

    def _apply_servers(
        self, keys: list[str], provenance: Provenance, now_ms: float
    ) -> None:
        hold_until_ms = self.expiry_hold.until_ms
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
        self._update_fleet(provenance, now_ms)

    def _log_full_contents(
        self, batch: Batch, changed: int, known_revision: int, provenance: Provenance
    ) -> None:
        self.log.write(
            'store',
            'full contents',
            revision=batch.revision,
            known_revision=known_revision,
            items=len(batch.items),
            changed=changed,
            source=provenance.source,
            age_ms=provenance.age_ms,
        )

    def _log_health_change(self, change: ServerHealthChange) -> None:
        self.log.write(
            'server',
            change.health,
            server=change.server,
            service=change.service,
            failures=change.failures,
            mean_ms=change.mean_ms,
            for_ms=change.for_ms,
            reason=change.reason,
        )

    def _log_leaving(self, change: LeavingChange) -> None:
        self.log.write(
            'placement',
            'leaves data centre' if change.leaves else 'stays in data centre',
            service=change.service,
            home_ms=round(change.home_ms, 1),
            away_ms=round(change.away_ms, 1),
            price_ms=round(change.price_ms, 1),
        )

    def _update_fleet(self, provenance: Provenance, now_ms: float) -> None:
        changes = self.dispatcher.fleet.update(self._records.values(), now_ms)
        if len(changes) > CHANGE_LINES_MAX:
            kinds = Counter(change.what for change in changes)
            self.log.write(
                'server',
                'many changed',
                changed=len(changes),
                new=kinds['new'],
                gone=kinds['gone'],
                revision=self.mirror.revision,
                source=provenance.source,
                age_ms=provenance.age_ms,
            )
            return
        for change in changes:
            self.log.write(
                'server',
                change.what,
                server=change.name,
                service=change.service,
                revision=self.mirror.revision,
                source=provenance.source,
                age_ms=provenance.age_ms,
            )
