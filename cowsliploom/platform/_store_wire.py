"""Answers of the platform's store, as they are sent."""

import base64
import binascii

import msgspec

from cowsliploom.members import Batch, MirrorItem, Removal, store_revision


class WireItem(msgspec.Struct):
    """An item, or the event of its removal."""

    key: str
    revision: int
    value: str = ''  # base64
    tombstone: bool = False


class WireRange(msgspec.Struct, rename='camel'):
    """A page of a listing."""

    items: list[WireItem]
    current_rev: int
    has_more: bool = False


class WireEvents(msgspec.Struct, rename='camel'):
    """Answer to a watch."""

    events: list[WireItem]
    current_rev: int


class WireRevision(msgspec.Struct):
    """Answer to a transaction that took effect."""

    revision: int


class WireKept(msgspec.Struct, rename='camel'):
    """Answer to the renewal of a lease."""

    ttl_ms: float


class WireLease(msgspec.Struct, rename='camel'):
    """Answer to the grant of a lease."""

    lease: int
    ttl_ms: float


def decode_events(events: WireEvents, era: int, since: int) -> Batch:
    """Return the changes that a watch has received."""
    removals = tuple(
        Removal(event.key, store_revision(era, event.revision))
        for event in events.events
        if event.tombstone
    )
    written = [event for event in events.events if not event.tombstone]
    revision = store_revision(era, events.current_rev)
    return Batch(revision, decode_items(written, era), removals, since=since)


def decode_items(wire_items: list[WireItem], era: int) -> tuple[MirrorItem, ...]:
    """Return items that the store sent in an era."""
    return tuple(
        MirrorItem(
            item.key, _decode_base64(item.value), store_revision(era, item.revision)
        )
        for item in wire_items
    )


def _decode_base64(text: str) -> bytes:
    """Decode base64; an invalid text gives empty content, which no reader accepts."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b''
