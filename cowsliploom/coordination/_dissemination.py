"""Spreading the configuration and grow-only facts from member to member."""

import functools
import itertools
import operator
from collections import OrderedDict
from dataclasses import dataclass

import xxhash

from cowsliploom.coordination._messages import Fact, GossipPayload
from cowsliploom.coordination._piggyback import PiggybackQueue

FACTS_PER_FRAME = 4  # facts carry content, so few fit a small frame
FACT_BUCKETS = 32  # a lost fact costs a 32nd of all facts, and 32 sums to ask
BLOBS_KEPT = 4  # older revisions that a change can be told against


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Ask a peer for the configuration above a revision, and for its facts.

    Parameters
    ----------
    after_revision : int
        Revision that the asking daemon has.
    wants_facts : bool
        Whether facts are wanted, too.
    fact_sums : tuple of int
        Sums of the asking daemon's facts by bucket, so that only those of the
        buckets that differ are sent; empty for all facts.
    """

    after_revision: int
    wants_facts: bool = False
    fact_sums: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class FetchReply:
    """Return a configuration as a change to an older one, or whole.

    Parameters
    ----------
    revision : int
        Revision of the configuration; 0 when there is no higher one.
    base_revision : int
        Revision that ``middle`` changes; 0 when ``middle`` is the whole.
    prefix_bytes, suffix_bytes : int
        Bytes at both ends that stay as they are in the older one.
    middle : bytes
        What stands between them.
    digest : int
        Sum of the whole configuration.
    facts : tuple of Fact
        All facts, when they were asked for.
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
    """Tell of a configuration of a higher revision than any before."""

    revision: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class FactReceived:
    """Tell of a fact of a higher generation than any before under its key."""

    fact: Fact


def _fact_hash(fact: Fact) -> int:
    return xxhash.xxh3_64_intdigest(f'{fact.key}\n{fact.generation}'.encode())


def _bucket(fact: Fact) -> int:
    return xxhash.xxh3_64_intdigest(fact.key.encode()) % FACT_BUCKETS


class Dissemination:
    """Hold the newest configuration and facts, and spread them.

    Parameters
    ----------
    blobs_kept : int
        Configurations kept so that a peer with one of them gets only the change.
        Default 4.

    Examples
    --------
    >>> news = Dissemination()
    >>> news.announce_configuration(7, b'seven')
    True
    >>> news.announce_configuration(6, b'six')
    False
    >>> news.answer(FetchRequest(after_revision=0)).middle
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
        """Return the sum of all facts; equal sets of facts have equal sums."""
        return functools.reduce(operator.xor, self._fact_sums)

    def announce_configuration(self, revision: int, blob: bytes) -> bool:
        """Take a configuration if its revision is higher; tell whether it was."""
        if revision <= self.revision:
            return False
        self.revision = revision
        self._blobs[revision] = blob
        while len(self._blobs) > self.blobs_kept:
            self._blobs.popitem(last=False)
        return True

    def announce_fact(self, fact: Fact) -> bool:
        """Take a fact if its generation is higher; tell whether it was."""
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

    def news(self, fleet_size: int) -> GossipPayload:
        """Return what the next frame carries."""
        return GossipPayload(
            self.revision, self.fact_digest, self._queue.take(fleet_size)
        )

    def hear(self, news: GossipPayload) -> tuple[FactReceived, ...]:
        """Take the facts on a frame and return the new ones."""
        return self._take_facts(news.facts)

    def ask_for(self, news: GossipPayload) -> FetchRequest | None:
        """Return what to fetch from the sender of a frame, if anything."""
        is_quiet = not (news.facts or self._queue)
        wants_facts = is_quiet and news.fact_digest != self.fact_digest
        if news.revision > self.revision or wants_facts:
            sums = self.ask_sums() if wants_facts else ()
            return FetchRequest(self.revision, wants_facts, sums)
        return None

    def ask_sums(self) -> tuple[int, ...]:
        """Return the sums of the own facts by bucket."""
        return tuple(self._fact_sums)

    def answer(self, ask: FetchRequest) -> FetchReply:
        """Return the newest configuration, as a change where possible."""
        facts = self._facts_beyond(ask) if ask.wants_facts else ()
        if ask.after_revision >= self.revision:
            return FetchReply(facts=facts)
        blob = self._blobs[self.revision]
        digest = xxhash.xxh3_64_intdigest(blob)
        base = self._blobs.get(ask.after_revision)
        if base is None:
            return FetchReply(self.revision, middle=blob, digest=digest, facts=facts)
        prefix = _common_prefix(base, blob)
        shorter = min(len(base), len(blob)) - prefix
        suffix = _common_suffix(base, blob, shorter)
        middle = blob[prefix : len(blob) - suffix]
        return FetchReply(
            self.revision, ask.after_revision, prefix, suffix, middle, digest, facts
        )

    def take(
        self, answer: FetchReply
    ) -> tuple[ConfigurationReceived | FactReceived, ...]:
        """Take a fetched answer whole, or not at all.

        Parameters
        ----------
        answer : FetchReply
            What a peer returned.

        Returns
        -------
        tuple
            What is new to this daemon.
        """
        heard = self._take_facts(answer.facts)
        if answer.revision <= self.revision:
            return heard
        blob = self._rebuild(answer)
        if blob is None or xxhash.xxh3_64_intdigest(blob) != answer.digest:
            return heard
        self.announce_configuration(answer.revision, blob)
        return (*heard, ConfigurationReceived(answer.revision, blob))

    def _facts_beyond(self, ask: FetchRequest) -> tuple[Fact, ...]:
        """Return the facts of the buckets that differ from the asking daemon's."""
        if len(ask.fact_sums) != FACT_BUCKETS:
            return tuple(self._facts.values())
        pairs = zip(self._fact_sums, ask.fact_sums, strict=True)
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

    def _take_facts(self, facts: tuple[Fact, ...]) -> tuple[FactReceived, ...]:
        return tuple(FactReceived(fact) for fact in facts if self.announce_fact(fact))


def _common_prefix(old: bytes, new: bytes) -> int:
    """Return how many bytes both begin with, by halving."""
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
    """Return how many bytes both end with, at most ``length_max``."""
    old_end = bytes(reversed(old))
    new_end = bytes(reversed(new))
    return min(_common_prefix(old_end, new_end), length_max)
