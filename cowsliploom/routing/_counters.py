"""Counters of routing decisions, for metrics."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterCounters:
    """Snapshot of a router's counters.

    Parameters
    ----------
    sub_requests : int
        First attempts sent.
    hedges : int
        Attempts sent because an earlier one was slow.
    retries : int
        Attempts sent after a failure that may have cost the server work.
    reroutes : int
        Attempts sent after a refusal or failure that certainly did not run.
    requeues : int
        Paced attempts sent after a server shed the previous one.
    restarts : int
        Queries restarted on a newer snapshot.
    partial_answers : int
        Answers that cover less than the snapshot.
    late_replies, crossed_replies, foreign_replies, snapshot_mismatches : int
        Discarded replies: after the call ended; for another request or service;
        from another server than the one called; from another snapshot.
    sheds : int
        Calls that backend servers shed.
    refusals : int
        Queries and runs refused to callers.
    cancels : int
        Calls cancelled.
    cold_turns : int
        Transitions of a server to cold.
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
