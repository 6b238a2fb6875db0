"""Content of a claim segment: encoding, expiry and state changes."""

from collections.abc import Mapping
from dataclasses import replace

import msgspec

from cowsliploom.coordination._claims import (
    CLAIM_TTL_MS,
    ClaimRecord,
    ClaimState,
    Decision,
    InFlight,
    Mismatch,
    Replay,
)
from cowsliploom.protocol import decode_json

CLAIMS_MAX_BYTES = 500_000  # limit for new claims, leaves room for outcomes
SEGMENT_MAX_BYTES = 650_000  # keeps the value below 1 MB even if quotes are escaped
OUTCOME_MAX_BYTES = 4096  # longer outcomes are stored without their text
COMMA_BYTES = 1
RETRY_AFTER_MIN_MS = 1000  # a request in flight rarely finishes sooner

Records = dict[str, ClaimRecord]


def encode_records(records: Mapping[str, ClaimRecord]) -> str:
    """Encode the records of a segment."""
    return msgspec.json.encode(tuple(records.values())).decode()


def decode_records(text: str) -> Records:
    """Decode the records of a segment.

    Raises
    ------
    msgspec.MsgspecError
        If the text isn't a valid segment; it must not be overwritten then.
    """
    rows = decode_json(text, tuple[ClaimRecord, ...])
    return {row.key: row for row in rows}


def size_bytes(record: ClaimRecord) -> int:
    """Return the encoded size of a record within its segment, in bytes."""
    return len(msgspec.json.encode(record)) + COMMA_BYTES


def stamp_and_expire(records: Mapping[str, ClaimRecord], store_ms: float) -> Records:
    """Stamp claims read for the first time and drop the expired ones.

    Notes
    -----
    The time to live counts from a reading of the store clock taken after the claim
    was written, so the clock of a daemon can't shorten it.
    """
    kept_records = {}
    for key, record in records.items():
        if not record.seen_store_ms:
            kept_records[key] = replace(record, seen_store_ms=store_ms)
        elif store_ms < record.seen_store_ms + CLAIM_TTL_MS:
            kept_records[key] = record
    return kept_records


def may_claim(record: ClaimRecord | None, request: str) -> bool:
    """Return whether a request may claim the key of ``record``."""
    if record is None:
        return True
    return record.state is ClaimState.NOT_RUN and record.request == request


def resolve_duplicate(record: ClaimRecord, request: str) -> Decision:
    """Return the decision on a request whose key ``record`` already claims."""
    if record.request != request:
        return Mismatch()
    if record.state is ClaimState.FINISHED:
        return Replay(record.outcome, record.outcome_kept)
    return InFlight(retry_after_ms=max(RETRY_AFTER_MIN_MS, record.timeout_ms))


def finish_record(record: ClaimRecord, outcome: str, room_bytes: int) -> ClaimRecord:
    """Return the record with its outcome; the text is dropped if it doesn't fit."""
    kept = replace(record, state=ClaimState.FINISHED, outcome=outcome)
    growth = size_bytes(kept) - size_bytes(record)
    if growth > min(OUTCOME_MAX_BYTES, room_bytes):
        return replace(kept, outcome='', outcome_kept=False)
    return kept
