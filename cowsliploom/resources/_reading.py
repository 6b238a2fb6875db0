"""Reading of the configuration from the store."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from cowsliploom.ports import Absent, Store, Unanswered
from cowsliploom.protocol import StoredValue
from cowsliploom.resources._encoding import configuration_from_resources
from cowsliploom.resources._layout import (
    HEAD_KEY,
    Head,
    chunk_key,
    decode_chunk,
    decode_head,
    digest_text,
)
from cowsliploom.resources._types import Configuration, Resource

READ_ATTEMPTS = 4  # each follows a head that has moved on, so more don't help

# Resources of each chunk that a reader has seen, by the chunk's digest.
KnownChunks = Mapping[str, tuple[Resource, ...]]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """Hold a head with the store's version and clock at its reading."""

    version: int = 0
    store_ms: float = 0
    head: Head = field(default=Head())


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """Hold a configuration with what it was read from.

    Parameters
    ----------
    stored : StoredHead
        The head.
    chunks : mapping of str to tuple of Resource
        Resources by digest, for the chunks that the head names.
    configuration : Configuration
        All resources.
    """

    stored: StoredHead = field(default=StoredHead())
    chunks: KnownChunks = field(default_factory=dict)
    configuration: Configuration = field(default=Configuration())


@dataclass(frozen=True, slots=True)
class ChunkGone:
    """Report a chunk that was collected, so the head must be read again."""

    digest: str


def read_head(store: Store, timeout_ms: float) -> StoredHead | Unanswered:
    """Read the head.

    Parameters
    ----------
    store : Store
        The platform's store.
    timeout_ms : float
        Time limit of the call, in milliseconds.

    Returns
    -------
    StoredHead or Unanswered
        The head; one of revision 0 when the store has none.
    """
    answer = store.read(HEAD_KEY, timeout_ms)
    match answer:
        case Absent():
            return StoredHead()
        case StoredValue() as found:
            return decode_stored_head(found)
    return answer


def decode_stored_head(found: StoredValue) -> StoredHead | Unanswered:
    """Decode a head read or watched; a damaged one counts as no answer."""
    try:
        head = decode_head(found.value)
    except msgspec.MsgspecError as error:
        return _unreadable(found.key, error)
    return StoredHead(found.version, found.store_ms, head)


def _unreadable(key: str, error: Exception) -> Unanswered:
    return Unanswered('config.decode', key, maybe_applied=False, reason=str(error))


def fetch_chunks(
    store: Store, head: Head, known: KnownChunks, timeout_ms: float
) -> dict[str, tuple[Resource, ...]] | ChunkGone | Unanswered:
    """Fetch the chunks that a head names, but for those already known.

    Parameters
    ----------
    store : Store
        The platform's store.
    head : Head
        Head whose chunks are wanted.
    known : mapping of str to tuple of Resource
        Chunks from earlier readings.
    timeout_ms : float
        Time limit of each call, in milliseconds.

    Returns
    -------
    dict, ChunkGone or Unanswered
        Resources by digest for the head's chunks, and no others.
    """
    chunks: dict[str, tuple[Resource, ...]] = {}
    for ref in head.segments:
        resources = known.get(ref.digest)
        if resources is None:
            fetched = _fetch_chunk(store, ref.digest, timeout_ms)
            if not isinstance(fetched, tuple):
                return fetched
            resources = fetched
        chunks[ref.digest] = resources
    return chunks


def _fetch_chunk(
    store: Store, digest: str, timeout_ms: float
) -> tuple[Resource, ...] | ChunkGone | Unanswered:
    answer = store.read(chunk_key(digest), timeout_ms)
    match answer:
        case StoredValue(value=text) if digest_text(text) == digest:
            return _decode_chunk(text, digest)
        case StoredValue() | Absent():
            return ChunkGone(digest)
    return answer


def _decode_chunk(text: str, digest: str) -> tuple[Resource, ...] | Unanswered:
    try:
        return decode_chunk(text)
    except msgspec.MsgspecError as error:
        return _unreadable(chunk_key(digest), error)


def assemble(
    stored: StoredHead, chunks: dict[str, tuple[Resource, ...]]
) -> ConfigurationView:
    """Build the view that a head and its chunks make."""
    resources = [resource for chunk in chunks.values() for resource in chunk]
    configuration = configuration_from_resources(stored.head.revision, resources)
    return ConfigurationView(stored, chunks, configuration)


def read_view(
    store: Store, known: KnownChunks, timeout_ms: float
) -> ConfigurationView | Unanswered:
    """Read the configuration whole, reusing chunks already known.

    Parameters
    ----------
    store : Store
        The platform's store.
    known : mapping of str to tuple of Resource
        Chunks from earlier readings.
    timeout_ms : float
        Time limit of each call, in milliseconds.

    Returns
    -------
    ConfigurationView or Unanswered
        One revision, never a mix of two.
    """
    digest = ''
    for _ in range(READ_ATTEMPTS):
        stored = read_head(store, timeout_ms)
        if isinstance(stored, Unanswered):
            return stored
        chunks = fetch_chunks(store, stored.head, known, timeout_ms)
        match chunks:
            case Unanswered():
                return chunks
            case ChunkGone(digest=digest):
                continue
            case dict():
                return assemble(stored, chunks)
    reason = f'chunk {digest} was gone at each of {READ_ATTEMPTS} attempts'
    return Unanswered('config.read', HEAD_KEY, maybe_applied=False, reason=reason)


def read_configuration(store: Store, timeout_ms: float) -> Configuration | Unanswered:
    """Read the configuration in force.

    Parameters
    ----------
    store : Store
        The platform's store.
    timeout_ms : float
        Time limit of each call, in milliseconds.

    Returns
    -------
    Configuration or Unanswered
        One revision whole; revision 0 when nothing is declared yet.
    """
    view = read_view(store, {}, timeout_ms)
    if isinstance(view, Unanswered):
        return view
    return view.configuration
