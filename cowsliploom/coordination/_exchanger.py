"""Exchange of full views and samples: joining, syncing, other data centres."""

from collections import defaultdict
from dataclasses import replace

from cowsliploom.coordination._calls import CallPurpose
from cowsliploom.coordination._local_member import Commands, LocalMember
from cowsliploom.coordination._messages import DataCentreAge, Frame, FrameKind
from cowsliploom.members import Member, MemberState

SYNC_INTERVAL_MS = 1000  # a sync is large, and views differ briefly after each change


class Exchanger:
    """Exchange full views within the data centre and samples between data centres.

    Parameters
    ----------
    local : LocalMember
        State shared by the parts of the membership.
    """

    def __init__(self, local: LocalMember) -> None:
        self.local = local
        self._seeds: tuple[Member, ...] = ()
        self._tried: set[str] = set()
        self._next_sync_ms: float = 0
        self._next_contact_ms: float = 0
        self._next_reconnect_ms: float = 0
        self._turn = 0

    def tick(self, now_ms: float, out: Commands) -> None:
        """Send the exchanges that are due."""
        if now_ms >= self._next_contact_ms:
            self._contact_next(now_ms, out)
        if now_ms >= self._next_reconnect_ms:
            self._reconnect(now_ms, out)

    def update_seeds(self, now_ms: float, seeds: tuple[Member, ...]) -> None:
        """Replace the seeds by the platform's list, split by data centre."""
        listed: defaultdict[str, tuple[Member, ...]] = defaultdict(tuple)
        for seed in seeds:
            listed[seed.data_centre] += (seed,)
        seeds = listed.pop(self.local.me.data_centre, ())
        if seeds != self._seeds:
            self._tried.clear()
        self._seeds = seeds
        self.local.others.update_list(now_ms, dict(listed))
        self._next_reconnect_ms = now_ms

    def handle_frame(self, now_ms: float, frame: Frame, out: Commands) -> None:
        """Store the samples of a frame, and fetch or sync where digests differ."""
        others = self.local.others
        for sample in frame.samples:
            confirmed_ms = now_ms - sample.age_ms
            others.store_sample(sample.data_centre, confirmed_ms, sample.members)
        sender = frame.sender
        if sender.data_centre != self.local.me.data_centre:
            report = DataCentreAge(sender.data_centre, 0, frame.digest, frame.applied)
            if others.confirm(report, now_ms):
                self._fetch_sample(now_ms, sender.data_centre, sender, out)
            return
        for age in frame.ages:
            if others.confirm(age, now_ms):
                self._fetch_sample(now_ms, age.data_centre, sender, out)
        has_converged = not (frame.updates or self.local.queue)
        if has_converged and frame.digest != self.local.view.digest:
            self._sync(now_ms, sender, out)

    def announce_leave(self, now_ms: float, out: Commands) -> None:
        """Send the leave to some members immediately; gossip spreads it from there."""
        local = self.local
        local.announce_self(MemberState.LEFT)
        live = local.view.live()
        count = min(local.settings.rings, len(live))
        targets = list(local.random.sample(live, count))
        for data_centre in local.others.names():
            targets.extend(local.others.candidates(data_centre)[:1])
        for target in targets:
            frame = local.frame(FrameKind.PROBE, target, now_ms)
            out.append(local.send(CallPurpose.CONTACT, frame, target, now_ms))

    def reconnect_soon(self, now_ms: float) -> None:
        """Try to reach members that are not in the view at the next tick."""
        self._next_reconnect_ms = now_ms

    def _fetch_sample(
        self, now_ms: float, data_centre: str, target: Member, out: Commands
    ) -> None:
        if self.local.calls.is_open(CallPurpose.SAMPLE, data_centre):
            return
        frame = self.local.frame(FrameKind.SAMPLE, target, now_ms)
        request = replace(frame, target=data_centre)
        out.append(self.local.send(CallPurpose.SAMPLE, request, target, now_ms))

    def _sync(self, now_ms: float, target: Member, out: Commands) -> None:
        """Exchange full views, at a bounded rate."""
        local = self.local
        if now_ms < self._next_sync_ms or local.calls.is_open(CallPurpose.SYNC):
            return
        self._next_sync_ms = now_ms + local.jitter(SYNC_INTERVAL_MS)
        frame = local.full_frame(FrameKind.SYNC, target, now_ms)
        out.append(local.send(CallPurpose.SYNC, frame, target, now_ms))

    def _reconnect(self, now_ms: float, out: Commands) -> None:
        """Sync with one member that is listed or dead, but not in the view."""
        local = self.local
        absent = self._absent()
        untried = [seed for seed in absent if seed.name not in self._tried]
        is_joining = untried or len(local.view) == 1
        interval_ms = local.settings.reconnect_interval_ms
        if is_joining:
            interval_ms = local.settings.join_interval_ms
        self._next_reconnect_ms = now_ms + local.jitter(interval_ms)
        if absent:
            target = local.random.choice(untried or absent)
            self._tried.add(target.name)
            self._next_sync_ms = min(self._next_sync_ms, now_ms)
            self._sync(now_ms, target, out)

    def _absent(self) -> list[Member]:
        """Return the members that are listed or dead, but not in the view."""
        view = self.local.view
        dead = [
            update.member
            for update in view.records()
            if update.state is MemberState.DEAD
        ]
        live = {member.name for member in view.live()}
        return [*(seed for seed in self._seeds if seed.name not in live), *dead]

    def _contact_next(self, now_ms: float, out: Commands) -> None:
        """Exchange with one other data centre, if this member is a contact."""
        local = self.local
        names = local.others.names()
        interval_ms = local.settings.contact_interval_ms / max(len(names), 1)
        self._next_contact_ms = now_ms + local.jitter(interval_ms)
        if not (names and self._is_contact()):
            return
        self._turn += 1
        candidates = local.others.candidates(names[self._turn % len(names)])
        if candidates:
            target = local.random.choice(candidates)
            frame = local.frame(FrameKind.PROBE, target, now_ms)
            out.append(local.send(CallPurpose.CONTACT, frame, target, now_ms))

    def _is_contact(self) -> bool:
        contacts = self.local.view.sample()[: self.local.settings.contacts]
        return any(update.member.name == self.local.me.name for update in contacts)
