"""The state that the parts of one daemon's membership share."""

import random
from dataclasses import replace

from cowsliploom.coordination._applied import newest_mask
from cowsliploom.coordination._calls import CallPurpose, OpenCall, OpenCalls
from cowsliploom.members import Member, MemberState, MemberUpdate
from cowsliploom.coordination._messages import (
    CallPeer,
    DeclaredDead,
    DataCentreSample,
    Frame,
    FrameKind,
    MembershipCommand,
    Superseded,
)
from cowsliploom.coordination._others import OtherDataCentres
from cowsliploom.coordination._piggyback import PiggybackQueue
from cowsliploom.coordination._settings import MembershipSettings
from cowsliploom.coordination._timers import MemberTimers
from cowsliploom.coordination._view import DataCentreView, sample_digest

Commands = list[MembershipCommand]


class LocalMember:  # noqa: WPS230 - its parts share just this state
    """Hold this daemon, its view, its open calls and what it has to tell.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Times and bounds.
    seed : int
        Seed of the generator.
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
        """Return an interval changed by up to a tenth, so that members spread."""
        return interval_ms * self.random.uniform(0.9, 1.1)

    # Updates in

    def take_update(self, update: MemberUpdate, now_ms: float) -> None:
        """Take an update on another member in, and spread it if it is new."""
        merged = self.view.merge(update)
        if merged is not None:
            self.queue.put(merged.member.name, merged)
            self.timers.note(merged, now_ms)

    def raise_state(self, name: str, state: MemberState, now_ms: float) -> None:
        """Move a known member to a higher state of its incarnation."""
        known = self.view.find(name)
        if known is not None and known.state < state:
            self.take_update(replace(known, state=state), now_ms)

    def take_word_on_self(
        self, now_ms: float, update: MemberUpdate, out: Commands
    ) -> None:
        """Refute what others tell of this daemon, unless it was replaced."""
        heard = update.member
        if heard.incarnation < self.me.incarnation:
            return
        if heard == self.me and update.state is MemberState.ALIVE:
            return
        if heard.incarnation > self.me.incarnation and heard.address != self.me.address:
            self.has_left = True
            out.append(Superseded(heard))
            return
        self.me = replace(self.me, incarnation=heard.incarnation + 1)
        self.tell_self()
        if not update.is_live:
            out.append(DeclaredDead(now_ms))

    def apply(self, revision: int) -> None:
        """Note the revision that this daemon has in force."""
        self.applied_revision = max(self.applied_revision, revision)
        self.view.merge(MemberUpdate(self.me, MemberState.ALIVE, self.applied_revision))

    def note_agreement(self, frame: Frame) -> None:
        """Use that the sender of a frame has the same view.

        Equal digests say that it knows every change but suspicions.
        """
        self.view.raise_applied(frame.applied)
        self.queue.count_as_sent(len(self.view), _is_in_digest)

    def tell_self(self, state: MemberState = MemberState.ALIVE) -> None:
        """Spread the state of this daemon."""
        own = MemberUpdate(self.me, state, self.applied_revision)
        self.view.merge(own)
        self.queue.put(self.me.name, own)

    # Frames out

    def frame(self, kind: FrameKind, receiver: Member, now_ms: float) -> Frame:
        """Return a frame with what the receiver should hear."""
        if receiver.data_centre != self.me.data_centre:
            sample = self.view.sample()
            return Frame(
                kind,
                self.me,
                sample_digest(sample),
                applied_revision=self.applied_revision,
                applied=newest_mask(sample),
            )
        updates = self.queue.take(len(self.view))
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

    def whole_frame(self, kind: FrameKind, receiver: Member, now_ms: float) -> Frame:
        """Return a frame with the whole view, for the own data centre only."""
        frame = self.frame(kind, receiver, now_ms)
        if receiver.data_centre != self.me.data_centre:
            return frame
        return replace(frame, updates=self.view.records())

    def sample_frame(self, asked: Frame, now_ms: float) -> Frame:
        """Return the sample of the data centre that a frame asks for."""
        frame = self.frame(FrameKind.ANSWER, asked.sender, now_ms)
        if asked.target == self.me.data_centre:
            own = DataCentreSample(asked.target, self.view.sample())
            return replace(frame, samples=(own,))
        return replace(frame, samples=self.others.find_sample(asked.target, now_ms))

    def send(
        self,
        purpose: CallPurpose,
        frame: Frame,
        target: Member,
        now_ms: float,
        request_id: int = 0,
    ) -> CallPeer:
        """Open a call that carries a frame to a member."""
        timeout_ms = self._timeout_ms(purpose)
        deadline_ms = now_ms + timeout_ms
        call = OpenCall(purpose, target, now_ms, deadline_ms, frame.target, request_id)
        call_id = self.calls.open(call)
        return CallPeer(call_id, target.address, frame, timeout_ms)

    def _timeout_ms(self, purpose: CallPurpose) -> float:
        match purpose:
            case CallPurpose.PROBE | CallPurpose.HELP:
                return self.settings.probe_timeout_ms
            case CallPurpose.ASK_HELPER:
                return self.settings.indirect_timeout_ms
            case CallPurpose.SYNC | CallPurpose.SAMPLE | CallPurpose.CONTACT:
                return self.settings.exchange_timeout_ms


def _is_in_digest(update: MemberUpdate) -> bool:
    return update.state is not MemberState.SUSPECT
