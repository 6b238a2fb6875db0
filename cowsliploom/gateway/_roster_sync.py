"""Reconciliation of the member lists of two entry VMs; sans-IO.

In a large fleet some member joins or leaves all the time, so that two VMs seldom know
the same ones. They then exchange fingerprints with ages, and the names and addresses of
those members alone that the other one lacks.
"""

import msgspec

from cowsliploom.gateway._peer_wire import (
    MESSAGE_VERSION,
    PeerMessage,
    WireLivenessRecord,
)
from cowsliploom.members import Census, LivenessRecord, MemberAges, MembershipTable


class RosterSync:
    """Apply the members in messages, and add to messages what the peer lacks.

    Parameters
    ----------
    known : MembershipTable
        Members that this entry VM knows.
    """

    def __init__(self, known: MembershipTable) -> None:
        self._known = known

    def apply(self, message: PeerMessage, now_ms: float) -> bool:
        """Apply a message; return whether its sender knows the same members."""
        known = self._known
        known.heard_ms = now_ms
        known.record((LivenessRecord(message.sender, 0),), now_ms)
        known.record((seen.liveness_record for seen in message.sightings), now_ms)
        if message.member_ages:
            known.record_member_ages(MemberAges.decode(message.member_ages), now_ms)
        return known.record_ages(message.census, now_ms)

    def answer(
        self, answer: PeerMessage, request: PeerMessage, now_ms: float
    ) -> PeerMessage:
        """Return an answer to a peer that knows other members, with what it needs.

        An earlier release understands only complete records.
        """
        if request.version < MESSAGE_VERSION:
            return self._with_records(answer, MemberAges({}), now_ms)
        if request.member_ages:
            theirs = MemberAges.decode(request.member_ages)
            return self._with_records(answer, theirs, now_ms)
        return self._with_ages(answer, now_ms)

    def follow_up(
        self,
        message: PeerMessage,
        sent: PeerMessage,
        answer: PeerMessage,
        now_ms: float,
    ) -> PeerMessage | None:
        """Return the message to send after an answer with other members, or None.

        Parameters
        ----------
        message : PeerMessage
            A new message, to which the members are added.
        sent, answer : PeerMessage
            The message sent before, and the answer to it.
        now_ms : float
            Monotonic clock.
        """
        if sent.sightings or sent.member_ages or sent.is_leaving:
            return None
        theirs = MemberAges.decode(answer.member_ages)
        completed = self._with_records(message, theirs, now_ms)
        if answer.version < MESSAGE_VERSION:
            return completed
        if not answer.member_ages:
            return None
        if completed.sightings or self._known.lacks_any_of(theirs, now_ms):
            return self._with_ages(completed, now_ms)
        return None

    def _with_ages(self, message: PeerMessage, now_ms: float) -> PeerMessage:
        """Return a message with ages by fingerprint in place of those by order."""
        return msgspec.structs.replace(
            message,
            census=Census(message.census.digest, ()),
            member_ages=self._known.member_ages(now_ms).encode(),
        )

    def _with_records(
        self, message: PeerMessage, theirs: MemberAges, now_ms: float
    ) -> PeerMessage:
        records = self._known.records_missing_in(theirs, now_ms)
        sightings = tuple(WireLivenessRecord.of(record) for record in records)
        return msgspec.structs.replace(message, sightings=sightings)
