"""Counts of usage on the messages that members exchange anyway."""

import time

import msgspec

from cowsliploom.gateway._peer_wire import PeerMessage, WireUsage
from cowsliploom.usage import (
    LocalUsage,
    TrueTime,
    UsageEntry,
    UsageLedger,
    UsageRules,
)

MS_PER_S = 1000


class UsageExchange:
    """Hand the counts of this VM to the holder of the duty to report them.

    The holder is the partner of every second exchange while it lacks counts, so the
    counts cost no messages of their own and are lost with a VM for half a second only.

    Parameters
    ----------
    source : str
        Name of this start of the VM.
    rules : UsageRules or None
        How usage is metered; None if it is not.

    Attributes
    ----------
    local : LocalUsage
        Requests that this VM has sent to backend servers.
    ledger : UsageLedger
        What this VM has received as the holder.
    true_time : TrueTime
        Estimate of true time.
    holder_address : str
        Peer address of the holder; empty if there is none.
    reported : int
        Latest window that is known to be reported.
    """

    def __init__(self, source: str = '', rules: UsageRules | None = None) -> None:
        self.rules = rules
        self.local = LocalUsage(source)
        self.ledger = UsageLedger()
        self.true_time = TrueTime()
        self.holder_address = ''
        self.reported = 0
        self._late = 0
        self._asked_holder = False

    @classmethod
    def of_process(cls, name: str, rules: UsageRules | None) -> 'UsageExchange':
        """Return the exchange of a VM whose process has just started."""
        return cls(f'{name}#{time.time_ns()}', rules)

    @property
    def late(self) -> int:
        """Number of entries that came after their window was reported."""
        return self._late

    def true_ms(self, now_ms: float) -> float:
        """Return true time."""
        return self.true_time.read(time.time() * MS_PER_S, now_ms)

    def begin(self, workspace: str, now_ms: float) -> int:
        """Count a request that is sent to a backend server; return its window."""
        if self.rules is None or not workspace:
            return 0
        window = self.rules.window_at(self.true_ms(now_ms))
        self.local.add(workspace, window)
        return window

    def take_back(self, workspace: str, window: int) -> None:
        """Take back a request that no server began to run."""
        if window > self.reported:
            self.local.add(workspace, window, change=-1)

    def partner(self) -> str | None:
        """Return the holder's address if it is due to receive counts."""
        is_due = not self._asked_holder and bool(self._pending())
        self._asked_holder = is_due
        return self.holder_address if is_due else None

    def annotate(self, message: PeerMessage, address: str = '') -> PeerMessage:
        """Return a message with what its receiver at an address needs."""
        if self.rules is None:
            return message
        entries = self._pending() if address == self.holder_address else ()
        return msgspec.structs.replace(
            message,
            usage=tuple(WireUsage.of(entry) for entry in entries),
            usage_reported=self.reported,
            wall_ms=time.time() * MS_PER_S,
        )

    def acknowledge(self, address: str, sent: PeerMessage) -> None:
        """Record that the receiver of a message has answered it."""
        if sent.usage:
            self.local.acknowledge(address, [each.entry for each in sent.usage])

    def receive(self, message: PeerMessage, now_ms: float) -> None:
        """Apply what a member's message says about usage."""
        if self.rules is None:
            return
        if message.wall_ms:
            self.true_time.add(message.name, message.wall_ms, now_ms)
        self._late += self.ledger.apply(each.entry for each in message.usage)
        self.record_reported(message.usage_reported)

    def record_reported(self, window: int) -> None:
        """Record that a window and those before it are reported."""
        if window > self.reported:
            self.reported = window
            self.local.forget_until(window)

    def _pending(self) -> tuple[UsageEntry, ...]:
        return self.local.pending(self.holder_address) if self.holder_address else ()
