"""Read access to the configuration in the store."""

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

READ_ATTEMPTS = 4  # each retry follows a new head, so more retries don't help

# Resources of the chunks that a reader has cached, by chunk digest.
KnownChunks = Mapping[str, tuple[Resource, ...]]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """A head with its version in the store and the store's clock when it was read."""

    version: int = 0
    store_ms: float = 0
    head: Head = field(default=Head())


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """A configuration with the head and chunks it was read from.

    Parameters
    ----------
    stored : StoredHead
        The head.
    chunks : mapping of str to tuple of Resource
        Resources by digest, for the chunks that the head refers to.
    configuration : Configuration
        All resources.
    """

    stored: StoredHead = field(default=StoredHead())
    chunks: KnownChunks = field(default_factory=dict)
    configuration: Configuration = field(default=Configuration())


@dataclass(frozen=True, slots=True)
class ChunkCollected:
    """A chunk was collected since its head was read; the head must be read again."""

    digest: str


def read_head(store: Store, timeout_ms: float) -> StoredHead | Unanswered:
    """Read the head.

    Parameters
    ----------
    store : Store
        The platform's store.
    timeout_ms : float
        Timeout of the call, in milliseconds.

    Returns
    -------
    StoredHead or Unanswered
        The head; an empty one of revision 0 if the store has none.
    """
    answer = store.read(HEAD_KEY, timeout_ms)
    match answer:
        case Absent():
            return StoredHead()
        case StoredValue() as found:
            return decode_stored_head(found)
    return answer


def decode_stored_head(found: StoredValue) -> StoredHead | Unanswered:
    """Decode a stored head; a corrupt one is reported as ``Unanswered``."""
    try:
        head = decode_head(found.value)
    except msgspec.MsgspecError as error:
        return _decode_failure(found.key, error)
    return StoredHead(found.version, found.store_ms, head)


def _decode_failure(key: str, error: Exception) -> Unanswered:
    return Unanswered('config.decode', key, maybe_applied=False, reason=str(error))


def fetch_chunks(
    store: Store, head: Head, known: KnownChunks, timeout_ms: float
) -> dict[str, tuple[Resource, ...]] | ChunkCollected | Unanswered:
    """Fetch the chunks of a head that are not cached yet.

    Parameters
    ----------
    store : Store
        The platform's store.
    head : Head
        Head whose chunks are fetched.
    known : mapping of str to tuple of Resource
        Cached chunks.
    timeout_ms : float
        Timeout of each call, in milliseconds.

    Returns
    -------
    dict, ChunkCollected or Unanswered
        Resources by digest, for exactly the chunks of the head.
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
) -> tuple[Resource, ...] | ChunkCollected | Unanswered:
    answer = store.read(chunk_key(digest), timeout_ms)
    match answer:
        case StoredValue(value=text) if digest_text(text) == digest:
            return _decode_chunk(text, digest)
        case StoredValue() | Absent():
            return ChunkCollected(digest)
    return answer


def _decode_chunk(text: str, digest: str) -> tuple[Resource, ...] | Unanswered:
    try:
        return decode_chunk(text)
    except msgspec.MsgspecError as error:
        return _decode_failure(chunk_key(digest), error)


def build_view(
    stored: StoredHead, chunks: dict[str, tuple[Resource, ...]]
) -> ConfigurationView:
    """Build a view from a head and its chunks."""
    resources = [resource for chunk in chunks.values() for resource in chunk]
    configuration = configuration_from_resources(stored.head.revision, resources)
    return ConfigurationView(stored, chunks, configuration)


def read_view(
    store: Store, known: KnownChunks, timeout_ms: float
) -> ConfigurationView | Unanswered:
    """Read a consistent configuration, reusing cached chunks.

    Parameters
    ----------
    store : Store
        The platform's store.
    known : mapping of str to tuple of Resource
        Cached chunks.
    timeout_ms : float
        Timeout of each call, in milliseconds.

    Returns
    -------
    ConfigurationView or Unanswered
        Configuration of one revision, never a mix of several.
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
            case ChunkCollected(digest=digest):
                continue
            case dict():
                return build_view(stored, chunks)
    reason = f'chunk {digest} was missing in each of {READ_ATTEMPTS} attempts'
    return Unanswered('config.read', HEAD_KEY, maybe_applied=False, reason=reason)


def read_configuration(store: Store, timeout_ms: float) -> Configuration | Unanswered:
    """Read the current configuration.

    Parameters
    ----------
    store : Store
        The platform's store.
    timeout_ms : float
        Timeout of each call, in milliseconds.

    Returns
    -------
    Configuration or Unanswered
        Configuration of one revision; revision 0 if nothing is declared yet.
    """
    view = read_view(store, {}, timeout_ms)
    if isinstance(view, Unanswered):
        return view
    return view.configuration
