"""Dissemination of the configuration and of grow-only facts between members."""

import functools
import itertools
import operator
from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from cowsliploom.coordination._messages import Fact, GossipPayload
from cowsliploom.coordination._piggyback import PiggybackQueue

FACTS_PER_FRAME = 4  # facts carry content, so only a few fit into a small frame
# Fetching a missing fact costs 1/32 of all facts and a request with 32 digests.
FACT_BUCKETS = 32
BLOBS_KEPT = 4  # revisions that a delta can be based on


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Request for the configuration above a revision, and for facts.

    Parameters
    ----------
    after_revision : int
        Revision that the requesting daemon has.
    wants_facts : bool
        Whether facts are requested as well.
    fact_sums : tuple of int
        Digests of the requesting daemon's facts by bucket, so that only the facts
        of differing buckets are sent; empty to request all facts.
    """

    after_revision: int
    wants_facts: bool = False
    fact_sums: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Configuration, as a delta against an older one or in full, and facts.

    Parameters
    ----------
    revision : int
        Revision of the configuration; 0 if there is no higher one.
    base_revision : int
        Revision that the delta applies to; 0 if ``middle`` is the full configuration.
    prefix_bytes, suffix_bytes : int
        Number of unchanged bytes at the start and the end of the older one.
    middle : bytes
        Content between prefix and suffix.
    digest : int
        Hash of the full configuration.
    facts : tuple of Fact
        The requested facts.
    """

    revision: int = 0
    base_revision: int = 0
    prefix_bytes: int = 0
    suffix_bytes: int = 0
    middle: bytes = b''
    digest: int = 0
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationReceived:
    """A configuration of a higher revision than any before was received."""

    revision: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class FactReceived:
    """A fact of a higher generation than any before of its key was received."""

    fact: Fact


def _fact_hash(fact: Fact) -> int:
    return xxhash.xxh3_64_intdigest(f'{fact.key}\n{fact.generation}'.encode())


def _bucket(fact: Fact) -> int:
    return xxhash.xxh3_64_intdigest(fact.key.encode()) % FACT_BUCKETS


class Dissemination:
    """Hold the newest configuration and facts, and exchange them with peers.

    Parameters
    ----------
    blobs_kept : int
        Configurations kept so that a peer that has one of them gets a delta.
        Default 4.

    Examples
    --------
    >>> dissemination = Dissemination()
    >>> dissemination.announce_configuration(7, b'seven')
    True
    >>> dissemination.announce_configuration(6, b'six')
    False
    >>> dissemination.answer(FetchRequest(after_revision=0)).middle
    b'seven'
    """

    def __init__(self, blobs_kept: int = BLOBS_KEPT) -> None:
        self.blobs_kept = blobs_kept
        self.revision = 0
        self._blobs: OrderedDict[int, bytes] = OrderedDict()
        self._facts: dict[str, Fact] = {}
        self._fact_sums = list(itertools.repeat(0, FACT_BUCKETS))
        self._queue = PiggybackQueue[Fact](FACTS_PER_FRAME)

    @property
    def fact_digest(self) -> int:
        """Return the digest of all facts; equal sets of facts have equal digests."""
        return functools.reduce(operator.xor, self._fact_sums)

    def announce_configuration(self, revision: int, blob: bytes) -> bool:
        """Store a configuration of a higher revision; return whether it was higher."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self._blobs[revision] = blob
        while len(self._blobs) > self.blobs_kept:
            self._blobs.popitem(last=False)
        return True

    def announce_fact(self, fact: Fact) -> bool:
        """Store a fact of a higher generation; return whether it was higher."""
        known = self._facts.get(fact.key)
        if known is not None:
            if fact.generation <= known.generation:
                return False
            self._fact_sums[_bucket(fact)] ^= _fact_hash(known)
        self._facts[fact.key] = fact
        self._fact_sums[_bucket(fact)] ^= _fact_hash(fact)
        self._queue.put(fact.key, fact)
        return True

    def find_fact(self, key: str) -> Fact | None:
        """Return the fact of the highest generation under a key."""
        return self._facts.get(key)

    def next_payload(self, fleet_size: int) -> GossipPayload:
        """Return the payload of the next frame."""
        return GossipPayload(
            self.revision, self.fact_digest, self._queue.next_batch(fleet_size)
        )

    def receive(self, payload: GossipPayload) -> tuple[FactReceived, ...]:
        """Store the facts of a frame and return the new ones."""
        return self._apply_facts(payload.facts)

    def needed_fetch(self, payload: GossipPayload) -> FetchRequest | None:
        """Return the fetch request to the sender of a frame, if one is needed."""
        has_converged = not (payload.facts or self._queue)
        wants_facts = has_converged and payload.fact_digest != self.fact_digest
        if payload.revision > self.revision or wants_facts:
            sums = self.bucket_sums() if wants_facts else ()
            return FetchRequest(self.revision, wants_facts, sums)
        return None

    def bucket_sums(self) -> tuple[int, ...]:
        """Return the digests of the local facts by bucket."""
        return tuple(self._fact_sums)

    def answer(self, request: FetchRequest) -> FetchReply:
        """Return the newest configuration, as a delta where possible, and facts."""
        facts = self._facts_in_differing_buckets(request) if request.wants_facts else ()
        if request.after_revision >= self.revision:
            return FetchReply(facts=facts)
        blob = self._blobs[self.revision]
        digest = xxhash.xxh3_64_intdigest(blob)
        base = self._blobs.get(request.after_revision)
        if base is None:
            return FetchReply(self.revision, middle=blob, digest=digest, facts=facts)
        prefix = _common_prefix(base, blob)
        shorter = min(len(base), len(blob)) - prefix
        suffix = _common_suffix(base, blob, shorter)
        middle = blob[prefix : len(blob) - suffix]
        return FetchReply(
            self.revision, request.after_revision, prefix, suffix, middle, digest, facts
        )

    def apply_reply(
        self, answer: FetchReply
    ) -> tuple[ConfigurationReceived | FactReceived, ...]:
        """Apply a fetched reply; a corrupt configuration is ignored.

        Parameters
        ----------
        answer : FetchReply
            Reply of a peer.

        Returns
        -------
        tuple
            Configuration and facts that are new to this daemon.
        """
        received = self._apply_facts(answer.facts)
        if answer.revision <= self.revision:
            return received
        blob = self._rebuild(answer)
        if blob is None or xxhash.xxh3_64_intdigest(blob) != answer.digest:
            return received
        self.announce_configuration(answer.revision, blob)
        return (*received, ConfigurationReceived(answer.revision, blob))

    def _facts_in_differing_buckets(self, request: FetchRequest) -> tuple[Fact, ...]:
        """Return the facts of the buckets that differ at the requesting daemon."""
        if len(request.fact_sums) != FACT_BUCKETS:
            return tuple(self._facts.values())
        pairs = zip(self._fact_sums, request.fact_sums, strict=True)
        differing = {
            bucket for bucket, (own, other) in enumerate(pairs) if own != other
        }
        return tuple(
            fact for fact in self._facts.values() if _bucket(fact) in differing
        )

    def _rebuild(self, answer: FetchReply) -> bytes | None:
        if not answer.base_revision:
            return answer.middle
        base = self._blobs.get(answer.base_revision)
        if base is None:
            return None
        end = len(base) - answer.suffix_bytes
        return base[: answer.prefix_bytes] + answer.middle + base[end:]

    def _apply_facts(self, facts: tuple[Fact, ...]) -> tuple[FactReceived, ...]:
        return tuple(FactReceived(fact) for fact in facts if self.announce_fact(fact))


def _common_prefix(old: bytes, new: bytes) -> int:
    """Return the length of the common prefix, by binary search."""
    low = 0
    high = min(len(old), len(new))
    while low < high:
        middle = (low + high + 1) // 2
        if old[low:middle] == new[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def _common_suffix(old: bytes, new: bytes, length_max: int) -> int:
    """Return the length of the common suffix, at most ``length_max``."""
    old_end = bytes(reversed(old))
    new_end = bytes(reversed(new))
    return min(_common_prefix(old_end, new_end), length_max)
