"""Members, a store and a platform in memory; calls are lost, members stand still.

Members are cut off from the store and from each other, and still reach the platform.
"""

import random
from dataclasses import dataclass, field, replace

from cowsliploom.usage import (
    AcquireDuty,
    CallFailed,
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

RULES = UsageRules(window_ms=1000, late_ms=10_000, lease_ms=3000)
STEP_MS = 100
COPY_AGE_MS = 8000  # of the oldest copy that the store comes back from
LOST_SHARE = 0.05
HEARD_SHARE = 0.3  # of the steps in which a member's copy of the store is refreshed
FREEZE_MAX_MS = 12_000


@dataclass
class FakeStore:
    """A store with one record, a holder under a lease, revisions and eras."""

    record: DutyRecord | None = None
    record_revision: int = 0
    revision: int = 10
    era: int = 0
    lease: int = 0
    lease_end_ms: float = 0
    holder_lease: int = 0
    copies: list['FakeStore'] = field(default_factory=list)

    def observe(self, now_ms):
        """Return the duty as a member's fresh copy has it."""
        return StoredDuty(
            self.record, self.record_revision, self.is_held(now_ms), self.era
        )

    def is_held(self, now_ms):
        """Return whether a holder's lease lives."""
        return self.holder_lease > 0 and now_ms < self.lease_end_ms

    def acquire(self, command, now_ms):
        """Write record and holder, if nobody holds the duty; return the lease."""
        if command.revision != self.record_revision or self.is_held(now_ms):
            return 0
        self.lease += 1
        self.holder_lease = self.lease
        self.lease_end_ms = now_ms + command.ttl_ms
        self._write(command.record)
        return self.lease

    def freeze(self, command):
        """Write a record if nobody else has."""
        if command.revision != self.record_revision:
            return False
        self._write(command.record)
        return True

    def renew(self, lease, now_ms):
        """Renew a lease that lives."""
        if lease != self.holder_lease or not self.is_held(now_ms):
            return False
        self.lease_end_ms = now_ms + RULES.lease_ms
        return True

    def keep_copy(self):
        """Keep a copy of the contents."""
        copy = replace(self, copies=[])
        self.copies = [*self.copies, copy][-COPY_AGE_MS // STEP_MS :]

    def come_back_old(self):
        """Come back from an older copy, without the lease."""
        copy = self.copies[0]
        self.record = copy.record
        self.record_revision = copy.record_revision
        self.revision = copy.revision
        self.era += 1
        self.holder_lease = 0

    def _write(self, record):
        self.revision += 1
        self.record = record
        self.record_revision = self.revision


@dataclass
class Call:
    """A call to the platform that was accepted."""

    now_ms: float
    member: int
    report: SendReport


class Member:
    """One member, its copy of the store and its clock."""

    def __init__(self, number):
        self.number = number
        self.duty = UsageDuty(RULES)
        self.stored = StoredDuty()
        self.reported = 0
        self.frozen_until_ms = 0
        self.is_cut = False


class Simulation:
    """Play a random history; keep what the platform was told.

    Parameters
    ----------
    seed : int
        Seed of the history.
    members : int
        Number of members.
    """

    def __init__(self, seed, members=4):
        self.random = random.Random(seed)
        self.store = FakeStore()
        self.members = [Member(number) for number in range(members)]
        self.calls = []
        self.now_ms = 1_000_000

    def run(self, steps, has_faults=True):
        """Play steps of a tenth of a second."""
        for _ in range(steps):
            self.now_ms += STEP_MS
            self.store.keep_copy()
            if has_faults:
                self._disturb()
            for member in self.members:
                if self.now_ms >= member.frozen_until_ms:
                    self._tick(member)

    def counts(self, member, window):
        """Return counts that differ from member to member, as some are late."""
        return {'ada': window % 7 + member.number}

    def _disturb(self):
        member = self.random.choice(self.members)
        match self.random.randrange(60):
            case 0:
                pause_ms = self.random.uniform(0, FREEZE_MAX_MS)
                member.frozen_until_ms = self.now_ms + pause_ms
            case 1:
                member.is_cut = not member.is_cut
            case 2:
                member.duty = UsageDuty(RULES)
                member.reported = 0
            case 3 if self.random.randrange(3) == 0:
                self.store.come_back_old()

    def _tick(self, member):
        hears = self.random.random() < HEARD_SHARE and not member.is_cut
        if hears:
            member.stored = self.store.observe(self.now_ms)
            member.reported = max(each.reported for each in self.members)
        window = member.duty.next_window
        live = [each for each in self.members if not each.is_cut]
        tick = DutyTick(
            self.now_ms,
            self.now_ms,
            member.is_cut or member in live[:2],
            member.stored,
            member.reported,
            self.counts(member, window),
        )
        command = member.duty.step(tick)
        if command is not None:
            member.duty.step(self._perform(member, command))
        member.reported = max(member.reported, member.duty.reported)

    def _perform(self, member, command):
        lost = self.random.random()
        is_cut = member.is_cut and not isinstance(command, SendReport)
        if is_cut or lost < LOST_SHARE:
            return CallFailed(self.now_ms)
        event = self._call(member, command)
        return CallFailed(self.now_ms) if lost < 2 * LOST_SHARE else event

    def _call(self, member, command):
        now_ms, store = self.now_ms, self.store
        match command:
            case AcquireDuty():
                lease = store.acquire(command, now_ms)
                if not lease:
                    return WriteRefused(now_ms)
                return DutyWritten(now_ms, now_ms, store.revision, store.era, lease)
            case FreezeWindow():
                if not store.freeze(command):
                    return WriteRefused(now_ms)
                return DutyWritten(now_ms, now_ms, store.revision, store.era)
            case RenewLease(lease):
                if not store.renew(lease, now_ms):
                    return LeaseEnded(now_ms)
                return LeaseKept(now_ms, now_ms)
            case SendReport(window):
                self.calls.append(Call(now_ms, member.number, command))
                return ReportAccepted(now_ms, window)


def different_reports(calls):
    """Return the windows that were reported with different counts."""
    first = {}
    return [
        call.report.window
        for call in calls
        if first.setdefault(call.report.window, call.report.counts)
        != call.report.counts
    ]


def falling_tokens(calls):
    """Return the calls with a lower token than the platform has seen."""
    highest, falling = 0, []
    for call in calls:
        if call.report.token < highest:
            falling.append(call)
        highest = max(highest, call.report.token)
    return falling


def shared_tokens(calls):
    """Return the tokens that two members have sent."""
    first = {}
    return [
        call.report.token
        for call in calls
        if first.setdefault(call.report.token, call.member) != call.member
    ]


def returns_within_lease(calls):
    """Return the calls by which members acted in the order A, B, A too soon."""
    found = []
    for position, last in enumerate(calls):
        since = [
            call
            for call in calls[:position]
            if call.now_ms > last.now_ms - RULES.lease_ms
        ]
        own = [at for at, call in enumerate(since) if call.member == last.member]
        if own and any(call.member != last.member for call in since[own[0] :]):
            found.append(last)
    return found
