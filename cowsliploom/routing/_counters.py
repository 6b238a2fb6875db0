"""Counters of routing decisions, for metrics."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterCounters:
    """Hold one reading of a router's counters.

    Parameters
    ----------
    sub_requests : int
        First attempts sent.
    hedges : int
        Second attempts sent because the first was slow.
    retries : int
        Attempts sent after a failure that may have cost the server work.
    reroutes : int
        Attempts sent after a refusal or failure that was truly not run.
    requeues : int
        Attempts sent, paced, after a server had shed the one before.
    restarts : int
        Queries begun again on a newer snapshot.
    partial_answers : int
        Answers that cover less than the snapshot.
    late_replies, crossed_replies, foreign_replies, snapshot_mismatches : int
        Replies discarded: after the call had ended; for another request or
        service; from a server that was not asked; from another snapshot.
    sheds : int
        Calls that backend servers shed.
    refusals : int
        Queries and runs refused to callers.
    cancels : int
        Calls cancelled.
    cold_turns : int
        Servers taken as cold.
    silent_connections : int
        Times a server's connections were retired.
    """

    sub_requests: int = 0
    hedges: int = 0
    retries: int = 0
    reroutes: int = 0
    requeues: int = 0
    restarts: int = 0
    partial_answers: int = 0
    late_replies: int = 0
    crossed_replies: int = 0
    foreign_replies: int = 0
    snapshot_mismatches: int = 0
    sheds: int = 0
    refusals: int = 0
    cancels: int = 0
    cold_turns: int = 0
    silent_connections: int = 0
