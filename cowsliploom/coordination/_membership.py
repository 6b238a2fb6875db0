"""Membership of one data centre, with contacts to the others."""

from cowsliploom.coordination._exchanger import Exchanger
from cowsliploom.coordination._local_member import Commands, LocalMember
from cowsliploom.members import Member, MemberState, MemberUpdate
from cowsliploom.coordination._messages import (
    AnswerPeer,
    ContactMade,
    Frame,
    FrameKind,
    LeaveRequested,
    MembersChanged,
    MembershipCommand,
    MembershipEvent,
    PeerAnswered,
    PeerCalled,
    PeerFailed,
    RevisionApplied,
    SeedsListed,
    Ticked,
)
from cowsliploom.coordination._prober import Prober
from cowsliploom.coordination._settings import MembershipSettings

FREEZE_MS = 1000  # a tick this late means that this process itself stood still


class Membership:
    """Keep the live members of a data centre and a sample of the others'.

    A member probes its successors on a few pseudo-random rings, asks helpers when
    one doesn't answer, suspects it, and gives it up unless it refutes by a higher
    incarnation. Updates ride on these frames. No clock, socket or thread inside.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Times and bounds.
    seed : int
        Seed of the generator that spreads work in time and over members.

    Examples
    --------
    >>> own = Member('vm-1', '127.0.0.1:7001', 'de', incarnation=1)
    >>> membership = Membership(own, MembershipSettings(), seed=1)
    >>> [changed] = membership.step(Ticked(now_ms=0))
    >>> [member.name for member in changed.live]
    ['vm-1']

    References
    ----------
    A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
    Infection-style Process Group Membership Protocol", DSN 2002.
    """

    def __init__(
        self, self_member: Member, settings: MembershipSettings, seed: int
    ) -> None:
        self.settings = settings
        self.seed = seed
        self._local = LocalMember(self_member, settings, seed)
        self._prober = Prober(self._local)
        self._exchanger = Exchanger(self._local)
        self._last_tick_ms: float | None = None
        self._last_told: MembersChanged | None = None
        self._told_state: tuple[int, int, tuple[str, ...]] = (0, 0, ())

    @property
    def me(self) -> Member:
        """Return this daemon, with its present incarnation."""
        return self._local.me

    @property
    def digest(self) -> int:
        """Return the sum of the live view; equal views have equal sums."""
        return self._local.view.digest

    def step(self, event: MembershipEvent) -> list[MembershipCommand]:
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : MembershipEvent
            What happened, with the time by the own monotonic clock.

        Returns
        -------
        list of MembershipCommand
            Commands in the order in which they are to be carried out.
        """
        commands: list[MembershipCommand] = []
        if not self._local.has_left:
            self._take(event, commands)
            self._tell_change(event.now_ms, commands)
        return commands

    def size(self) -> int:
        """Return the number of live members of the own data centre."""
        return len(self._local.view)

    def live_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the live records: the own data centre, and the samples."""
        live = [update for update in self._local.view.records() if update.is_live]
        return (*live, *self._local.others.members())

    def _take(self, event: MembershipEvent, out: Commands) -> None:
        match event:
            case Ticked(now_ms):
                self._tick(now_ms, out)
            case PeerCalled(now_ms, request_id, frame):
                self._answer(now_ms, request_id, frame, out)
            case PeerAnswered(now_ms, call_id, frame):
                self._take_answer(now_ms, call_id, frame, out)
            case PeerFailed(now_ms, call_id):
                call = self._local.calls.close(call_id)
                if call is not None:
                    self._prober.fail(now_ms, call, out)
            case SeedsListed(now_ms, seeds):
                self._exchanger.take_seeds(now_ms, seeds)
            case RevisionApplied(_, revision):
                self._local.apply(revision)
            case LeaveRequested(now_ms):
                self._exchanger.farewell(now_ms, out)
                self._local.has_left = True

    def _tick(self, now_ms: float, out: Commands) -> None:
        self._note_freeze(now_ms)
        for call in self._local.calls.close_expired(now_ms):
            self._prober.fail(now_ms, call, out)
        self._prober.tick(now_ms, out)
        self._exchanger.tick(now_ms, out)

    def _note_freeze(self, now_ms: float) -> None:
        """Blame nobody for the silence of a time in which we stood still."""
        last_ms = now_ms if self._last_tick_ms is None else self._last_tick_ms
        self._last_tick_ms = now_ms
        if now_ms - last_ms >= FREEZE_MS:
            self._local.calls.close_all()
            self._local.timers.extend(now_ms - last_ms)
            self._exchanger.hurry(now_ms)

    def _answer(
        self, now_ms: float, request_id: int, frame: Frame, out: Commands
    ) -> None:
        self._take_frame(now_ms, frame, out)
        local = self._local
        match frame.kind:
            case FrameKind.PROBE_FOR:
                self._prober.help(now_ms, request_id, frame, out)
                return
            case FrameKind.SYNC:
                answer = local.whole_frame(FrameKind.ANSWER, frame.sender, now_ms)
            case FrameKind.SAMPLE:
                answer = local.sample_frame(frame, now_ms)
            case _:
                answer = local.frame(FrameKind.ANSWER, frame.sender, now_ms)
        out.append(AnswerPeer(request_id, answer))

    def _take_answer(
        self, now_ms: float, call_id: int, frame: Frame, out: Commands
    ) -> None:
        call = self._local.calls.close(call_id)
        if call is None:
            return
        if frame.sender.data_centre == self.me.data_centre:
            out.append(ContactMade(call.sent_ms))
        self._take_frame(now_ms, frame, out)
        self._prober.take_answer(now_ms, call, frame, out)

    def _take_frame(self, now_ms: float, frame: Frame, out: Commands) -> None:
        if frame.sender.data_centre == self.me.data_centre:
            self._take_updates(now_ms, frame, out)
        self._exchanger.take_frame(now_ms, frame, out)

    def _take_updates(self, now_ms: float, frame: Frame, out: Commands) -> None:
        sender = MemberUpdate(frame.sender, MemberState.ALIVE, frame.applied_revision)
        for update in (sender, *frame.updates):
            if update.member.name == self.me.name:
                self._local.take_word_on_self(now_ms, update, out)
            else:
                self._local.take_update(update, now_ms)
        if frame.digest == self.digest:
            self._local.note_agreement(frame)

    def _tell_change(self, now_ms: float, out: Commands) -> None:
        others = self._local.others
        unreachable = others.unreachable(now_ms)
        state = (self._local.view.version, others.version, unreachable)
        if state == self._told_state:
            return
        self._told_state = state
        live = sorted((update.member for update in self.live_updates()), key=_name)
        told = MembersChanged(tuple(live), unreachable, others.was_listed)
        if told != self._last_told:
            self._last_told = told
            out.append(told)


def _name(member: Member) -> str:
    return member.name
