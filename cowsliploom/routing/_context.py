"""State shared by the router's components."""

import random
from collections import Counter
from dataclasses import dataclass, field

from cowsliploom.protocol import Ran
from cowsliploom.rollout import RecordSample
from cowsliploom.routing._budget import TokenBudget
from cowsliploom.routing._messages import (
    Command,
    RefusalCause,
    RefuseCaller,
    RetireConnections,
)
from cowsliploom.routing._settings import RouterSettings
from cowsliploom.routing._tracks import Call, ServerTrack, WorkItem

RETRY_AFTER_MIN_MS = 100.0  # an earlier retry would find the same queue


@dataclass(slots=True)
class Context:
    """Identity, settings, random generator and the results of the current step.

    Parameters
    ----------
    name, data_centre : str
        Names of the entry VM and its data centre.
    settings : RouterSettings
        Settings.
    generator : random.Random
        Seeded generator of all random choices.
    budget : TokenBudget
        Budget of extra sub-requests over all services.
    """

    name: str
    data_centre: str
    settings: RouterSettings
    generator: random.Random
    budget: TokenBudget
    commands: list[Command] = field(default_factory=list)
    unserved_items: list[WorkItem] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] += 1

    def refuse(
        self,
        query_id: str,
        cause: RefusalCause,
        step: str,
        ran: Ran = Ran.NO,
        peer: str = '',
        retry_after_ms: float = RETRY_AFTER_MIN_MS,
    ) -> None:
        """Refuse a caller."""
        self.count('refusals')
        wait_ms = max(RETRY_AFTER_MIN_MS, retry_after_ms)
        self.commands.append(RefuseCaller(query_id, cause, step, peer, ran, wait_ms))

    def record_sample(self, call: Call, now_ms: float, succeeded: bool) -> None:
        """Record a finished call as evidence on the server's version."""
        self.commands.append(
            RecordSample(
                now_ms,
                call.work.service.name,
                call.work.parent.route,
                call.server.version,
                call.server.name,
                now_ms - call.sent_ms,
                succeeded,
                call.is_cold,
            )
        )

    def retire_connections(self, server: ServerTrack, now_ms: float) -> None:
        """Close a server's idle connections, at most once per interval."""
        if now_ms - server.retired_ms < self.settings.retire_interval_ms:
            return
        server.retired_ms = now_ms
        self.count('silent_connections')
        self.commands.append(RetireConnections(server.name))
