"""State shared by the parts of a daemon's membership."""

import random
from dataclasses import replace

from cowsliploom.coordination._applied_mask import newest_mask
from cowsliploom.coordination._calls import CallPurpose, OpenCall, OpenCalls
from cowsliploom.coordination._messages import (
    CallPeer,
    DataCentreSample,
    DeclaredDead,
    Frame,
    FrameKind,
    MembershipCommand,
    Superseded,
)
from cowsliploom.coordination._other_data_centres import OtherDataCentres
from cowsliploom.coordination._piggyback import PiggybackQueue
from cowsliploom.coordination._settings import MembershipSettings
from cowsliploom.coordination._timers import MemberTimers
from cowsliploom.coordination._view import DataCentreView, sample_digest
from cowsliploom.members import Member, MemberState, MemberUpdate

Commands = list[MembershipCommand]


class LocalMember:  # noqa: WPS230 - the shared state of the parts
    """Hold this daemon, its view, its open calls and its pending updates.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Intervals, timeouts and limits.
    seed : int
        Seed of the random number generator.
    """

    def __init__(
        self, self_member: Member, settings: MembershipSettings, seed: int
    ) -> None:
        self.me = self_member
        self.settings = settings
        self.has_left = False
        self.applied_revision = 0
        self.view = DataCentreView(settings.sample_max)
        self.others = OtherDataCentres(settings.unreachable_ms)
        self.queue = PiggybackQueue[MemberUpdate](settings.piggyback_max)
        self.calls = OpenCalls()
        self.timers = MemberTimers(settings)
        self.random = random.Random(seed)
        self.view.merge(MemberUpdate(self_member))

    def jitter(self, interval_ms: float) -> float:
        """Return an interval with 10% jitter, so that members don't act in step."""
        return interval_ms * self.random.uniform(0.9, 1.1)

    # Incoming updates

    def apply_update(self, update: MemberUpdate, now_ms: float) -> None:
        """Merge an update on another member, and gossip it if it is new."""
        merged = self.view.merge(update)
        if merged is not None:
            self.queue.put(merged.member.name, merged)
            self.timers.update(merged, now_ms)

    def raise_state(self, name: str, state: MemberState, now_ms: float) -> None:
        """Raise the state of a known member within its incarnation."""
        known = self.view.find(name)
        if known is not None and known.state < state:
            self.apply_update(replace(known, state=state), now_ms)

    def handle_update_on_self(
        self, now_ms: float, update: MemberUpdate, out: Commands
    ) -> None:
        """Refute an update on this daemon, or stop if the daemon was replaced."""
        claimed = update.member
        if claimed.incarnation < self.me.incarnation:
            return
        if claimed == self.me and update.state is MemberState.ALIVE:
            return
        if (
            claimed.incarnation > self.me.incarnation
            and claimed.address != self.me.address
        ):
            self.has_left = True
            out.append(Superseded(claimed))
            return
        self.me = replace(self.me, incarnation=claimed.incarnation + 1)
        self.announce_self()
        if not update.is_live:
            out.append(DeclaredDead(now_ms))

    def record_applied_revision(self, revision: int) -> None:
        """Record the revision that this daemon has in force."""
        self.applied_revision = max(self.applied_revision, revision)
        self.view.merge(MemberUpdate(self.me, MemberState.ALIVE, self.applied_revision))

    def record_agreement(self, frame: Frame) -> None:
        """Update the state for a sender that has the same view.

        Equal digests imply that it knows all changes except suspicions.
        """
        self.view.raise_applied(frame.applied)
        self.queue.count_as_sent(len(self.view), _is_in_digest)

    def announce_self(self, state: MemberState = MemberState.ALIVE) -> None:
        """Gossip the state of this daemon."""
        own = MemberUpdate(self.me, state, self.applied_revision)
        self.view.merge(own)
        self.queue.put(self.me.name, own)

    # Outgoing frames

    def frame(self, kind: FrameKind, receiver: Member, now_ms: float) -> Frame:
        """Return a frame with the updates due to the receiver."""
        if receiver.data_centre != self.me.data_centre:
            sample = self.view.sample()
            return Frame(
                kind,
                self.me,
                sample_digest(sample),
                applied_revision=self.applied_revision,
                applied=newest_mask(sample),
            )
        updates = self.queue.next_batch(len(self.view))
        known = self.view.find(receiver.name)
        if known is not None and known.state is not MemberState.ALIVE:
            updates = (known, *updates)
        return Frame(
            kind,
            self.me,
            self.view.digest,
            updates,
            ages=self.others.ages(now_ms),
            applied_revision=self.applied_revision,
            applied=self.view.applied(),
        )

    def full_frame(self, kind: FrameKind, receiver: Member, now_ms: float) -> Frame:
        """Return a frame with the full view; within the local data centre only."""
        frame = self.frame(kind, receiver, now_ms)
        if receiver.data_centre != self.me.data_centre:
            return frame
        return replace(frame, updates=self.view.records())

    def sample_frame(self, request: Frame, now_ms: float) -> Frame:
        """Return a frame with the sample that was requested."""
        frame = self.frame(FrameKind.ANSWER, request.sender, now_ms)
        if request.target == self.me.data_centre:
            own = DataCentreSample(request.target, self.view.sample())
            return replace(frame, samples=(own,))
        return replace(frame, samples=self.others.find_sample(request.target, now_ms))

    def send(
        self,
        purpose: CallPurpose,
        frame: Frame,
        target: Member,
        now_ms: float,
        request_id: int = 0,
    ) -> CallPeer:
        """Open a call that sends a frame to a member."""
        timeout_ms = self._timeout_ms(purpose)
        deadline_ms = now_ms + timeout_ms
        call = OpenCall(purpose, target, now_ms, deadline_ms, frame.target, request_id)
        call_id = self.calls.open(call)
        return CallPeer(call_id, target.address, frame, timeout_ms)

    def _timeout_ms(self, purpose: CallPurpose) -> float:
        match purpose:
            case CallPurpose.PROBE | CallPurpose.INDIRECT_PROBE:
                return self.settings.probe_timeout_ms
            case CallPurpose.PROBE_REQUEST:
                return self.settings.indirect_timeout_ms
            case CallPurpose.SYNC | CallPurpose.SAMPLE | CallPurpose.CONTACT:
                return self.settings.exchange_timeout_ms


def _is_in_digest(update: MemberUpdate) -> bool:
    return update.state is not MemberState.SUSPECT
