"""Content of one claim segment: text form, expiry and changes."""

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

CLAIMS_MAX_BYTES = 500_000  # new claims stop here, so that outcomes still fit
SEGMENT_MAX_BYTES = 650_000  # a megabyte a value, also if quotes count twice
OUTCOME_MAX_BYTES = 4096  # a longer outcome is recorded as run, without its text
COMMA_BYTES = 1
RETRY_AFTER_MIN_MS = 1000  # a claim in flight rarely finishes sooner

Records = dict[str, ClaimRecord]


def encode_records(records: Mapping[str, ClaimRecord]) -> str:
    """Return a segment's text."""
    return msgspec.json.encode(tuple(records.values())).decode()


def decode_records(text: str) -> Records:
    """Read a segment's text.

    Raises
    ------
    msgspec.MsgspecError
        When the text isn't a segment; such a segment must not be written over.
    """
    rows = decode_json(text, tuple[ClaimRecord, ...])
    return {row.key: row for row in rows}


def size_bytes(record: ClaimRecord) -> int:
    """Return what a record adds to its segment's text, in bytes."""
    return len(msgspec.json.encode(record)) + COMMA_BYTES


def stamp_and_expire(records: Mapping[str, ClaimRecord], store_ms: float) -> Records:
    """Stamp claims first read at ``store_ms`` and drop the expired ones.

    Notes
    -----
    A claim's life counts from a reading of the store's clock that was taken after
    the claim was written, so no daemon's clock can shorten it.
    """
    aged = {}
    for key, record in records.items():
        if not record.seen_store_ms:
            aged[key] = replace(record, seen_store_ms=store_ms)
        elif store_ms < record.seen_store_ms + CLAIM_TTL_MS:
            aged[key] = record
    return aged


def may_claim(record: ClaimRecord | None, request: str) -> bool:
    """Tell whether a key is free for a request."""
    if record is None:
        return True
    return record.state is ClaimState.NOT_RUN and record.request == request


def resolve_duplicate(record: ClaimRecord, request: str) -> Decision:
    """Decide on a request whose key is taken by ``record``."""
    if record.request != request:
        return Mismatch()
    if record.state is ClaimState.FINISHED:
        return Replay(record.outcome, record.outcome_kept)
    return InFlight(retry_after_ms=max(RETRY_AFTER_MIN_MS, record.timeout_ms))


def finish_record(record: ClaimRecord, outcome: str, room_bytes: int) -> ClaimRecord:
    """Return the record with its outcome, without the text if it doesn't fit."""
    kept = replace(record, state=ClaimState.FINISHED, outcome=outcome)
    growth = size_bytes(kept) - size_bytes(record)
    if growth > min(OUTCOME_MAX_BYTES, room_bytes):
        return replace(kept, outcome='', outcome_kept=False)
    return kept
