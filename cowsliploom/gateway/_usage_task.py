"""The task that holds the duty to report usage, or waits for it."""

import asyncio
import time

import msgspec

from cowsliploom import platform
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._suspension import SuspensionDetector
from cowsliploom.gateway._usage_exchange import UsageExchange
from cowsliploom.members import era_of
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.usage import (
    AcquireDuty,
    CallFailed,
    DutyCommand,
    DutyEvent,
    DutyRecord,
    DutyTick,
    DutyWritten,
    FreezeWindow,
    LeaseEnded,
    LeaseKept,
    RenewLease,
    ReportAccepted,
    SendReport,
    StoredDuty,
    UsageDuty,
    UsageRules,
    WriteRefused,
)

MS_PER_S = 1000
TICK_MS = 200.0
WAIT_MS = 1000.0  # between looks of a VM that has nothing to do while another reports
CALL_TIMEOUT_MS = 800.0
ROLE = 'usage-reports'
RECORD_KEY = 'duties/usage'
HOLDER_KEY = 'duties/usage-holder'  # under the holder's lease


class DutyHolder(msgspec.Struct, frozen=True):
    """Member that holds the duty, and its peer address."""

    name: str
    address: str


class UsageTask:
    """Run this entry VM's part in reporting usage.

    Parameters
    ----------
    rules : UsageRules
        Windows and times.
    reports : UsageReports
        Client of the platform's interface for reports.
    usage : UsageExchange
        Counts of all members.
    peers : Peers
        Members, which determine who holds the duty next.
    store_view : StoreView
        Copy of the duty's record.
    store : PlatformStore
        Client of the store.
    log : LineLog
        Log of the duty and the reports.
    metrics : Metrics
        Gauges of the duty.
    """

    def __init__(  # noqa: WPS211 (wiring)
        self,
        rules: UsageRules,
        reports: platform.UsageReports,
        usage: UsageExchange,
        peers: Peers,
        store_view: StoreView,
        store: platform.PlatformStore,
        log: LineLog,
        metrics: Metrics,
    ) -> None:
        self._duty = UsageDuty(rules)
        self._reports = reports
        self._usage = usage
        self._peers = peers
        self._store_view = store_view
        self._store = store
        self._log = log
        self._metrics = metrics
        self._suspension = SuspensionDetector(peers.now_ms)
        self._is_stopping = False

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            pause_ms = WAIT_MS if self._is_held_elsewhere() else TICK_MS
            await asyncio.sleep(pause_ms / MS_PER_S)
            if self._store_view.dispatcher.table.workspaces:
                await self._tick()

    def _is_held_elsewhere(self) -> bool:
        return not self._duty.is_held and self._stored_holder() is not None

    def stop(self) -> None:
        """Give the duty up, as the process stops; the lease runs out by itself."""
        self._is_stopping = True
        self._duty.abandon()

    async def _tick(self) -> None:
        if self._suspension.suspended_ms():
            self._duty.abandon()
            self._usage.true_time.restart()
        was_held = self._duty.is_held
        self._take_own_counts()
        command = self._duty.step(self._observe())
        if command is not None:
            self._duty.step(await self._perform(command))
        self._usage.record_reported(self._duty.reported)
        if self._duty.is_held is not was_held:
            event = 'duty lost' if was_held else 'duty acquired'
            self._log.write('usage', event, reported=self._duty.reported)
        self._metrics.set_gauge('usage_duty_held', self._duty.is_held)
        self._metrics.set_gauge('usage_reported_window', self._usage.reported)
        self._metrics.set_gauge('usage_late_entries', self._usage.late)

    def _take_own_counts(self) -> None:
        """Enter the counts of this VM in the ledger while it holds the duty."""
        own = self._peers.known.own
        holder = self._stored_holder()
        self._usage.holder_address = '' if holder is None else holder.address
        if self._duty.is_held:
            self._usage.holder_address = own.address
            entries = self._usage.local.pending(own.address)
            self._usage.ledger.apply(entries)
            self._usage.local.acknowledge(own.address, entries)

    def _observe(self) -> DutyTick:
        now_ms = self._peers.now_ms()
        stored = self._stored_duty()
        return DutyTick(
            now_ms,
            self._usage.true_ms(now_ms),
            not stored.is_held and self._is_candidate(now_ms),
            stored,
            self._usage.reported,
            self._usage.ledger.totals(self._duty.next_window),
        )

    def _is_candidate(self, now_ms: float) -> bool:
        """Return whether this VM is to hold the duty if nobody does."""
        first = self._peers.known.rank_live(ROLE, now_ms, 1)
        return first == (self._peers.known.own.name,) and not self._is_stopping

    def _stored_duty(self) -> StoredDuty:
        mirror = self._store_view.mirror
        item = mirror.get(RECORD_KEY)
        is_held = mirror.get(HOLDER_KEY) is not None
        era = max(self._store.era, era_of(mirror.revision))
        if item is None:
            return StoredDuty(is_held=is_held, era=era)
        record = None
        try:
            record = decode_json(item.content, DutyRecord)
        except UnreadableError as error:
            self._log.write('usage', 'unreadable', reason=error.reason)
        return StoredDuty(record, item.revision, is_held, era)

    def _stored_holder(self) -> DutyHolder | None:
        item = self._store_view.mirror.get(HOLDER_KEY)
        if item is None:
            return None
        try:
            return decode_json(item.content, DutyHolder)
        except UnreadableError as error:
            self._log.write('usage', 'unreadable', reason=error.reason)
            return None

    async def _perform(self, command: DutyCommand) -> DutyEvent:
        match command:
            case AcquireDuty():
                return await self._acquire(command)
            case RenewLease(lease):
                return await self._renew(lease)
            case FreezeWindow():
                return await self._freeze(command)
            case SendReport():
                return await self._report(command)

    async def _acquire(self, command: AcquireDuty) -> DutyEvent:
        sent_ms = self._peers.now_ms()
        granted = await self._store.grant_lease(command.ttl_ms, CALL_TIMEOUT_MS)
        if not isinstance(granted, platform.Lease):
            return CallFailed(self._peers.now_ms())
        own = self._peers.known.own
        holder = msgspec.json.encode(DutyHolder(own.name, own.address))
        expected = (
            platform.KeyRevision(RECORD_KEY, command.revision),
            platform.KeyRevision(HOLDER_KEY, 0),
        )
        writes = (
            platform.KeyWrite(RECORD_KEY, msgspec.json.encode(command.record)),
            platform.KeyWrite(HOLDER_KEY, holder, granted.lease_id),
        )
        return await self._write(expected, writes, sent_ms, granted.lease_id)

    async def _freeze(self, command: FreezeWindow) -> DutyEvent:
        expected = (platform.KeyRevision(RECORD_KEY, command.revision),)
        content = msgspec.json.encode(command.record)
        writes = (platform.KeyWrite(RECORD_KEY, content),)
        event = await self._write(expected, writes, self._peers.now_ms(), 0)
        if isinstance(event, DutyWritten):
            window = command.record.window
            self._usage.ledger.close_until(window)
            self._log.write('usage', 'window fixed', window=window)
        return event

    async def _write(
        self,
        expected: tuple[platform.KeyRevision, ...],
        writes: tuple[platform.KeyWrite, ...],
        sent_ms: float,
        lease: int,
    ) -> DutyEvent:
        era = self._store.era
        reply = await self._store.write(expected, writes, CALL_TIMEOUT_MS)
        now_ms = self._peers.now_ms()
        if isinstance(reply, platform.Written) and self._store.era == era:
            return DutyWritten(now_ms, sent_ms, reply.revision, era, lease)
        if isinstance(reply, platform.StoreUnanswered):
            self._log.write('usage', 'store unanswered', reason=reply.reason)
            return CallFailed(now_ms)
        return WriteRefused(now_ms)

    async def _renew(self, lease: int) -> DutyEvent:
        sent_ms = self._peers.now_ms()
        kept = await self._store.keep_lease(lease, CALL_TIMEOUT_MS)
        now_ms = self._peers.now_ms()
        if isinstance(kept, platform.NoLease):
            return LeaseEnded(now_ms)
        if isinstance(kept, platform.StoreUnanswered):
            return CallFailed(now_ms)
        return LeaseKept(now_ms, sent_ms)

    async def _report(self, command: SendReport) -> DutyEvent:
        began_s = time.monotonic()
        report = platform.UsageReport(
            self._peers.known.own.name, command.token, command.window, command.counts
        )
        problem = await self._reports.send(report, CALL_TIMEOUT_MS)
        self._log.write(
            'usage',
            'report failed' if problem else 'reported',
            window=command.window,
            token=command.token,
            requests=sum(command.counts.values()),
            workspaces=len(command.counts),
            elapsed_ms=round((time.monotonic() - began_s) * MS_PER_S),
            reason=problem,
        )
        now_ms = self._peers.now_ms()
        return CallFailed(now_ms) if problem else ReportAccepted(now_ms, command.window)
