"""Conversion of peer messages to and from protocol buffers."""

from cowsliploom.adapters import peer_pb2
from cowsliploom.coordination import (
    AppliedMask,
    DataCentreAge,
    DataCentreSample,
    Fact,
    FetchReply,
    FetchRequest,
    Frame,
    FrameKind,
    GossipPayload,
    Member,
    MemberState,
    MemberUpdate,
)


def encode_frame(frame: Frame) -> peer_pb2.Frame:
    """Convert a frame to its protocol buffer message."""
    return peer_pb2.Frame(
        kind=frame.kind,
        sender=_encode_member(frame.sender),
        digest=frame.digest,
        updates=map(_encode_update, frame.updates),
        samples=map(_encode_sample, frame.samples),
        ages=map(_encode_age, frame.ages),
        target=frame.target,
        unreached=not frame.reached,
        applied_revision=frame.applied_revision,
        revision=frame.news.revision,
        fact_digest=frame.news.fact_digest,
        facts=map(_encode_fact, frame.news.facts),
        mask_revision=frame.applied.revision,
        applied_mask=_encode_mask(frame.applied.mask),
    )


def decode_frame(message: peer_pb2.Frame) -> Frame:
    """Convert a protocol buffer message to a frame.

    Raises
    ------
    ValueError
        If the number of the frame kind or of a member state is unknown.
    """
    facts = tuple(map(_decode_fact, message.facts))
    return Frame(
        kind=FrameKind(message.kind),
        sender=_decode_member(message.sender),
        digest=message.digest,
        updates=tuple(map(_decode_update, message.updates)),
        samples=tuple(map(_decode_sample, message.samples)),
        ages=tuple(map(_decode_age, message.ages)),
        target=message.target,
        reached=not message.unreached,
        applied_revision=message.applied_revision,
        applied=AppliedMask(
            message.mask_revision, int.from_bytes(message.applied_mask, 'little')
        ),
        news=GossipPayload(message.revision, message.fact_digest, facts),
    )


def encode_fetch_request(request: FetchRequest) -> peer_pb2.FetchRequest:
    """Convert a fetch request to its protocol buffer message."""
    return peer_pb2.FetchRequest(
        after_revision=request.after_revision,
        wants_facts=request.wants_facts,
        fact_sums=request.fact_sums,
    )


def decode_fetch_request(message: peer_pb2.FetchRequest) -> FetchRequest:
    """Convert a protocol buffer message to a fetch request."""
    return FetchRequest(
        message.after_revision, message.wants_facts, tuple(message.fact_sums)
    )


def encode_fetch_reply(reply: FetchReply) -> peer_pb2.FetchReply:
    """Convert a fetch reply to its protocol buffer message."""
    return peer_pb2.FetchReply(
        revision=reply.revision,
        base_revision=reply.base_revision,
        prefix_bytes=reply.prefix_bytes,
        suffix_bytes=reply.suffix_bytes,
        middle=reply.middle,
        digest=reply.digest,
        facts=map(_encode_fact, reply.facts),
    )


def decode_fetch_reply(message: peer_pb2.FetchReply) -> FetchReply:
    """Convert a protocol buffer message to a fetch reply."""
    return FetchReply(
        message.revision,
        message.base_revision,
        message.prefix_bytes,
        message.suffix_bytes,
        message.middle,
        message.digest,
        tuple(map(_decode_fact, message.facts)),
    )


def _encode_mask(mask: int) -> bytes:
    return mask.to_bytes((mask.bit_length() + 7) // 8, 'little')


def _encode_member(member: Member) -> peer_pb2.Member:
    return peer_pb2.Member(
        name=member.name,
        address=member.address,
        data_centre=member.data_centre,
        incarnation=member.incarnation,
    )


def _decode_member(message: peer_pb2.Member) -> Member:
    return Member(
        message.name, message.address, message.data_centre, message.incarnation
    )


def _encode_update(update: MemberUpdate) -> peer_pb2.MemberUpdate:
    return peer_pb2.MemberUpdate(
        member=_encode_member(update.member),
        state=update.state,
        applied_revision=update.applied_revision,
    )


def _decode_update(message: peer_pb2.MemberUpdate) -> MemberUpdate:
    return MemberUpdate(
        _decode_member(message.member),
        MemberState(message.state),
        message.applied_revision,
    )


def _encode_sample(sample: DataCentreSample) -> peer_pb2.DataCentreSample:
    return peer_pb2.DataCentreSample(
        data_centre=sample.data_centre,
        members=map(_encode_update, sample.members),
        age_ms=int(sample.age_ms),
    )


def _decode_sample(message: peer_pb2.DataCentreSample) -> DataCentreSample:
    members = tuple(map(_decode_update, message.members))
    return DataCentreSample(message.data_centre, members, message.age_ms)


def _encode_age(age: DataCentreAge) -> peer_pb2.DataCentreAge:
    return peer_pb2.DataCentreAge(
        data_centre=age.data_centre,
        age_ms=int(age.age_ms),
        digest=age.digest,
        applied_revision=age.applied.revision,
        applied_mask=age.applied.mask,
    )


def _decode_age(message: peer_pb2.DataCentreAge) -> DataCentreAge:
    applied = AppliedMask(message.applied_revision, message.applied_mask)
    return DataCentreAge(message.data_centre, message.age_ms, message.digest, applied)


def _encode_fact(fact: Fact) -> peer_pb2.Fact:
    return peer_pb2.Fact(key=fact.key, generation=fact.generation, blob=fact.blob)


def _decode_fact(message: peer_pb2.Fact) -> Fact:
    return Fact(message.key, message.generation, message.blob)
