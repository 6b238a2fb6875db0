"""Storage layout of the configuration, as pure functions.

The head under ``config/head`` refers to one chunk per segment; a chunk holds the
resources whose kind and name hash to its segment. A change writes new chunks
under unique keys, then commits them with one compare-and-swap of the head.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec
import xxhash

from cowsliploom.protocol import decode_json
from cowsliploom.resources._encoding import StoredResource, resource_key
from cowsliploom.resources._types import Kind, Resource

HEAD_KEY = 'config/head'
CHUNK_PREFIX = 'config/chunk/'
SEGMENTS = 64  # about 30 kB per chunk at 12,000 servers of 150 bytes each
CHANGES_KEPT = 64  # change ids kept to recognise repeated changes
RETIRED_MAX = 256  # bounds the head; readers of a collected chunk retry
COLLECT_AFTER_MS = 60_000.0  # longer than any reader takes between head and chunk
VALUE_BYTES_MAX = 1_000_000  # maximum size of a value in the store


@dataclass(frozen=True, slots=True)
class SegmentRef:
    """Reference to the chunk that holds a segment's resources."""

    segment: int
    digest: str


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Record of an accepted change, which makes repeated requests idempotent.

    Parameters
    ----------
    change_id : str
        Id of the change, chosen by its writer.
    revision : int
        Configuration revision that the change produced.
    digest : str
        Digest of the content; distinguishes a repeat from another change with
        the same id.
    """

    change_id: str
    revision: int
    digest: str


@dataclass(frozen=True, slots=True)
class RetiredChunk:
    """A chunk that the head no longer refers to, with its time on the store's clock."""

    digest: str
    retired_store_ms: float


@dataclass(frozen=True, slots=True)
class Head:
    """Content of ``config/head``.

    Parameters
    ----------
    revision : int
        Configuration revision; 0 before the first change.
    segments : tuple of SegmentRef
        Current chunks; a segment without resources has none.
    changes : tuple of ChangeRecord
        Last accepted changes, oldest first.
    retired : tuple of RetiredChunk
        Unreferenced chunks that await collection, oldest first.
    """

    revision: int = 0
    segments: tuple[SegmentRef, ...] = ()
    changes: tuple[ChangeRecord, ...] = ()
    retired: tuple[RetiredChunk, ...] = ()

    def find_change(self, change_id: str) -> ChangeRecord | None:
        """Return the record of a change, or None if it is not kept."""
        for record in self.changes:
            if record.change_id == change_id:
                return record
        return None


@dataclass(frozen=True, slots=True)
class _Chunk:
    """Resources of a segment, with the change that wrote them.

    The revision and change id make the digest unique. A retired chunk is thus never
    referred to again and can be collected without a race.
    """

    segment: int
    revision: int
    change_id: str
    resources: tuple[Resource, ...]


@dataclass(frozen=True, slots=True)
class _StoredChunk:
    resources: tuple[StoredResource, ...]


@dataclass(frozen=True, slots=True)
class EncodedChunk:
    """A chunk encoded for the store."""

    segment: int
    digest: str
    text: str


def chunk_key(digest: str) -> str:
    """Return the store key of a chunk."""
    return f'{CHUNK_PREFIX}{digest}'


def digest_text(text: str) -> str:
    """Return the content digest of a text."""
    return xxhash.xxh3_128_hexdigest(text.encode())


def segment_of(kind: Kind, name: str) -> int:
    """Return the segment of a resource, from 0 to ``SEGMENTS - 1``."""
    return xxhash.xxh64_intdigest(f'{kind}/{name}'.encode()) % SEGMENTS


def encode_head(head: Head) -> str:
    """Encode a head; equal heads give equal texts."""
    return msgspec.json.encode(head).decode()


def decode_head(text: str) -> Head:
    """Decode a head."""
    return decode_json(text, Head)


def encode_chunk(
    segment: int, revision: int, change_id: str, resources: Iterable[Resource]
) -> EncodedChunk:
    """Encode the resources of a segment.

    Parameters
    ----------
    segment : int
        Segment number.
    revision : int
        Configuration revision that the chunk belongs to.
    change_id : str
        Id of the change that writes the chunk.
    resources : iterable of Resource
        Resources of the segment.

    Returns
    -------
    EncodedChunk
        Encoded chunk with its digest.
    """
    ordered = tuple(sorted(resources, key=resource_key))
    chunk = _Chunk(segment, revision, change_id, ordered)
    text = msgspec.json.encode(chunk).decode()
    return EncodedChunk(segment, digest_text(text), text)


def decode_chunk(text: str) -> tuple[Resource, ...]:
    """Decode the resources of a chunk."""
    chunk = decode_json(text, _StoredChunk)
    return tuple(resource.decode() for resource in chunk.resources)


def split_segments(resources: Iterable[Resource]) -> dict[int, tuple[Resource, ...]]:
    """Group resources by their segment."""
    segments: dict[int, list[Resource]] = {}
    for resource in resources:
        segments.setdefault(segment_of(resource.kind, resource.name), []).append(
            resource
        )
    return {segment: tuple(members) for segment, members in segments.items()}


def next_head(
    head: Head,
    emptied: frozenset[int],
    chunks: tuple[EncodedChunk, ...],
    record: ChangeRecord,
    store_ms: float,
) -> Head:
    """Return the head that commits new chunks.

    Parameters
    ----------
    head : Head
        Head on which the change is based.
    emptied : frozenset of int
        Segments that the change leaves without resources.
    chunks : tuple of EncodedChunk
        New chunks, one for each other segment that the change modifies.
    record : ChangeRecord
        Record of the change, with the new revision.
    store_ms : float
        The store's clock when ``head`` was read, in milliseconds.

    Returns
    -------
    Head
        Next head, without the retired chunks that are due for collection.
    """
    replaced = emptied | {chunk.segment for chunk in chunks}
    kept = [ref for ref in head.segments if ref.segment not in replaced]
    added = [SegmentRef(chunk.segment, chunk.digest) for chunk in chunks]
    dropped = [
        RetiredChunk(ref.digest, store_ms)
        for ref in head.segments
        if ref.segment in replaced
    ]
    due = due_chunks(head, store_ms)
    retired = [chunk for chunk in head.retired if chunk not in due]
    return replace(
        head,
        revision=record.revision,
        segments=tuple(sorted(kept + added, key=_segment_number)),
        changes=(*head.changes, record)[-CHANGES_KEPT:],
        retired=tuple(retired + dropped),
    )


def due_chunks(head: Head, store_ms: float) -> tuple[RetiredChunk, ...]:
    """Return the retired chunks that a writer may collect now.

    Parameters
    ----------
    head : Head
        Head that lists the retired chunks.
    store_ms : float
        The store's clock, in milliseconds.

    Returns
    -------
    tuple of RetiredChunk
        Chunks retired longer than ``COLLECT_AFTER_MS`` ago, and the oldest in excess
        of ``RETIRED_MAX``.
    """
    excess = len(head.retired) - RETIRED_MAX
    return tuple(
        chunk
        for place, chunk in enumerate(head.retired)
        if place < excess or store_ms - chunk.retired_store_ms > COLLECT_AFTER_MS
    )


def _segment_number(ref: SegmentRef) -> int:
    return ref.segment
