"""SWIM-like membership of one data centre, with samples of the others."""

from cowsliploom.coordination._exchanger import Exchanger
from cowsliploom.coordination._local_member import Commands, LocalMember
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
from cowsliploom.members import Member, MemberState, MemberUpdate

FREEZE_MS = 1000  # a tick this late means that this process was paused


class Membership:
    """Track the live members of a data centre and a sample of each other one.

    A member probes its successors on a few pseudo-random rings. If one does not
    answer, it requests indirect probes through helpers, then suspects the member,
    and declares it dead unless it refutes by a higher incarnation. Updates are
    piggybacked on these frames. The class is sans-IO.

    Parameters
    ----------
    self_member : Member
        This daemon.
    settings : MembershipSettings
        Intervals, timeouts and limits.
    seed : int
        Seed of the jitter and of the choice of members.

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
        self._last_reported: MembersChanged | None = None
        self._reported_state: tuple[int, int, tuple[str, ...]] = (0, 0, ())

    @property
    def me(self) -> Member:
        """Return this daemon with its current incarnation."""
        return self._local.me

    @property
    def digest(self) -> int:
        """Return the digest of the live view; equal views have equal digests."""
        return self._local.view.digest

    def step(self, event: MembershipEvent) -> list[MembershipCommand]:
        """Process an event and return the resulting commands.

        Parameters
        ----------
        event : MembershipEvent
            Event, stamped with the monotonic clock of this daemon.

        Returns
        -------
        list of MembershipCommand
            Commands in the order of execution.
        """
        commands: list[MembershipCommand] = []
        if not self._local.has_left:
            self._handle(event, commands)
            self._report_changes(event.now_ms, commands)
        return commands

    def size(self) -> int:
        """Return the number of live members of the local data centre."""
        return len(self._local.view)

    def live_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the live records of the local data centre and of the samples."""
        live = [update for update in self._local.view.records() if update.is_live]
        return (*live, *self._local.others.members())

    def _handle(self, event: MembershipEvent, out: Commands) -> None:
        match event:
            case Ticked(now_ms):
                self._tick(now_ms, out)
            case PeerCalled(now_ms, request_id, frame):
                self._answer(now_ms, request_id, frame, out)
            case PeerAnswered(now_ms, call_id, frame):
                self._handle_answer(now_ms, call_id, frame, out)
            case PeerFailed(now_ms, call_id):
                call = self._local.calls.close(call_id)
                if call is not None:
                    self._prober.handle_failure(now_ms, call, out)
            case SeedsListed(now_ms, seeds):
                self._exchanger.update_seeds(now_ms, seeds)
            case RevisionApplied(_, revision):
                self._local.record_applied_revision(revision)
            case LeaveRequested(now_ms):
                self._exchanger.announce_leave(now_ms, out)
                self._local.has_left = True

    def _tick(self, now_ms: float, out: Commands) -> None:
        self._compensate_freeze(now_ms)
        for call in self._local.calls.close_expired(now_ms):
            self._prober.handle_failure(now_ms, call, out)
        self._prober.tick(now_ms, out)
        self._exchanger.tick(now_ms, out)

    def _compensate_freeze(self, now_ms: float) -> None:
        """Extend the timers by a pause of this process, which received nothing then."""
        last_ms = now_ms if self._last_tick_ms is None else self._last_tick_ms
        self._last_tick_ms = now_ms
        if now_ms - last_ms >= FREEZE_MS:
            self._local.calls.close_all()
            self._local.timers.extend(now_ms - last_ms)
            self._exchanger.reconnect_soon(now_ms)

    def _answer(
        self, now_ms: float, request_id: int, frame: Frame, out: Commands
    ) -> None:
        self._handle_frame(now_ms, frame, out)
        local = self._local
        match frame.kind:
            case FrameKind.PROBE_FOR:
                self._prober.probe_on_behalf(now_ms, request_id, frame, out)
                return
            case FrameKind.SYNC:
                answer = local.full_frame(FrameKind.ANSWER, frame.sender, now_ms)
            case FrameKind.SAMPLE:
                answer = local.sample_frame(frame, now_ms)
            case _:
                answer = local.frame(FrameKind.ANSWER, frame.sender, now_ms)
        out.append(AnswerPeer(request_id, answer))

    def _handle_answer(
        self, now_ms: float, call_id: int, frame: Frame, out: Commands
    ) -> None:
        call = self._local.calls.close(call_id)
        if call is None:
            return
        if frame.sender.data_centre == self.me.data_centre:
            out.append(ContactMade(call.sent_ms))
        self._handle_frame(now_ms, frame, out)
        self._prober.handle_answer(now_ms, call, frame, out)

    def _handle_frame(self, now_ms: float, frame: Frame, out: Commands) -> None:
        if frame.sender.data_centre == self.me.data_centre:
            self._apply_updates(now_ms, frame, out)
        self._exchanger.handle_frame(now_ms, frame, out)

    def _apply_updates(self, now_ms: float, frame: Frame, out: Commands) -> None:
        sender = MemberUpdate(frame.sender, MemberState.ALIVE, frame.applied_revision)
        for update in (sender, *frame.updates):
            if update.member.name == self.me.name:
                self._local.handle_update_on_self(now_ms, update, out)
            else:
                self._local.apply_update(update, now_ms)
        if frame.digest == self.digest:
            self._local.record_agreement(frame)

    def _report_changes(self, now_ms: float, out: Commands) -> None:
        others = self._local.others
        unreachable = others.unreachable(now_ms)
        state = (self._local.view.version, others.version, unreachable)
        if state == self._reported_state:
            return
        self._reported_state = state
        live = sorted((update.member for update in self.live_updates()), key=_name)
        changed = MembersChanged(tuple(live), unreachable, others.has_platform_list)
        if changed != self._last_reported:
            self._last_reported = changed
            out.append(changed)


def _name(member: Member) -> str:
    return member.name
