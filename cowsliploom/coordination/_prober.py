"""Direct and indirect probes of the ring successors."""

from dataclasses import replace

from cowsliploom.coordination._calls import CallPurpose, OpenCall
from cowsliploom.coordination._local_member import Commands, LocalMember
from cowsliploom.coordination._messages import AnswerPeer, Frame, FrameKind
from cowsliploom.members import Member, MemberState

HELPERS = 3  # tolerates two paused helpers


class Prober:
    """Probe members and suspect those that do not answer.

    Parameters
    ----------
    local : LocalMember
        State shared by the parts of the membership.
    """

    def __init__(self, local: LocalMember) -> None:
        self.local = local
        self._next_probe_ms: float = 0
        self._turn = 0

    def tick(self, now_ms: float, out: Commands) -> None:
        """Apply expired timers, and send the next probe if it is due."""
        local = self.local
        for unconfirmed in local.timers.expired_unconfirmed(now_ms):
            local.raise_state(unconfirmed, MemberState.SUSPECT, now_ms)
        for suspect in local.timers.expired_suspects(now_ms):
            local.raise_state(suspect, MemberState.DEAD, now_ms)
        for dead in local.timers.expired_tombstones(now_ms):
            local.view.forget(dead)
        if now_ms >= self._next_probe_ms:
            interval_ms = local.settings.probe_interval_ms
            self._next_probe_ms = now_ms + local.jitter(interval_ms)
            self._probe_next(now_ms, out)

    def handle_failure(self, now_ms: float, call: OpenCall, out: Commands) -> None:
        """Request indirect probes after a failed probe, or report as a helper."""
        match call.purpose:
            case CallPurpose.PROBE:
                self._request_indirect_probes(now_ms, call.target, out)
            case CallPurpose.INDIRECT_PROBE:
                out.append(self._report(now_ms, call.request_id, reached=False))
            case _:
                return

    def handle_answer(
        self, now_ms: float, call: OpenCall, frame: Frame, out: Commands
    ) -> None:
        """Clear the unconfirmed failure of a reached member, or report as a helper."""
        match call.purpose:
            case CallPurpose.PROBE:
                self.local.timers.clear_unconfirmed(call.target.name)
            case CallPurpose.PROBE_REQUEST:
                if frame.reached:
                    self.local.timers.clear_unconfirmed(call.subject)
            case CallPurpose.INDIRECT_PROBE:
                out.append(self._report(now_ms, call.request_id, reached=True))
            case _:
                return

    def probe_on_behalf(
        self, now_ms: float, request_id: int, request: Frame, out: Commands
    ) -> None:
        """Probe a member on behalf of the requesting member."""
        known = self.local.view.find(request.target)
        if known is None:
            out.append(self._report(now_ms, request_id, reached=False))
            return
        frame = self.local.frame(FrameKind.PROBE, known.member, now_ms)
        out.append(
            self.local.send(
                CallPurpose.INDIRECT_PROBE, frame, known.member, now_ms, request_id
            )
        )

    def _probe_next(self, now_ms: float, out: Commands) -> None:
        local = self.local
        partners = local.view.ring_successors(local.me.name, local.settings.rings)
        if partners:
            self._turn += 1
            target = partners[self._turn % len(partners)]
            frame = local.frame(FrameKind.PROBE, target, now_ms)
            out.append(local.send(CallPurpose.PROBE, frame, target, now_ms))

    def _request_indirect_probes(
        self, now_ms: float, target: Member, out: Commands
    ) -> None:
        local = self.local
        excluded = {local.me.name, target.name}
        others = [member for member in local.view.live() if member.name not in excluded]
        helpers = local.random.sample(others, min(HELPERS, len(others)))
        wait_ms = local.settings.indirect_timeout_ms if helpers else 0
        local.timers.add_unconfirmed(target.name, now_ms + wait_ms)
        for helper in helpers:
            frame = local.frame(FrameKind.PROBE_FOR, helper, now_ms)
            request = replace(frame, target=target.name)
            out.append(local.send(CallPurpose.PROBE_REQUEST, request, helper, now_ms))

    def _report(self, now_ms: float, request_id: int, *, reached: bool) -> AnswerPeer:
        frame = self.local.frame(FrameKind.ANSWER, self.local.me, now_ms)
        return AnswerPeer(request_id, replace(frame, reached=reached))
