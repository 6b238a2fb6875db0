"""Task that connects a daemon to the fleet over grpclib."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from types import TracebackType
from typing import Any

from cowsliploom import coordination
from cowsliploom.adapters import (
    PeerChannels,
    PeerServer,
    PeerUnanswered,
    SystemClock,
)
from cowsliploom.ports import Clock

MS_PER_S = 1000
TICK_MS = 100  # well under the shortest membership timeout
ANSWER_TIMEOUT_MS = 1000  # an indirect probe ends within the helper's probe timeout
LEAVE_WAIT_MS = 300  # the leave announcement takes one round trip

PeerEvent = (
    coordination.MembersChanged
    | coordination.OwnershipChanged
    | coordination.ConfigurationReceived
    | coordination.FactReceived
    | coordination.Superseded
)


@dataclass(frozen=True, slots=True)
class PeerTaskSettings:
    """Settings of a peer task.

    Parameters
    ----------
    member : coordination.Member
        This daemon; an empty address is replaced by the listening one.
    listen_address : str
        ``host:port`` of the peer server; port 0 lets the system choose.
    membership : coordination.MembershipSettings
        Intervals, timeouts and limits.
    seed : int
        Seed of the jitter; 0 generates one. Default 0.
    """

    member: coordination.Member
    listen_address: str
    membership: coordination.MembershipSettings = coordination.MembershipSettings()
    seed: int = 0


class PeerTask:
    """Own the peer server and the channels, and run a ``Node`` on them.

    Parameters
    ----------
    settings : PeerTaskSettings
        Identity and settings of this daemon.
    on_event : callable
        Called with each event in order, on the event loop only, after the call that
        caused the event has returned.
    clock : Clock
        Boot-time monotonic clock. Default: the system's.

    Examples
    --------
    >>> async def run(on_event):
    ...     member = coordination.Member('vm-1', '', 'de', incarnation=1)
    ...     settings = PeerTaskSettings(member, '127.0.0.1:0')
    ...     async with PeerTask(settings, on_event) as task:
    ...         task.announce_configuration(7, b'seven')
    ...         return task.fleet()
    >>> asyncio.run(run(on_event=lambda event: None))
    (MemberStatus(name='vm-1', data_centre='de', applied_revision=7),)
    """

    def __init__(
        self,
        settings: PeerTaskSettings,
        on_event: Callable[[PeerEvent], None],
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.on_event = on_event
        self.clock = SystemClock() if clock is None else clock
        self._server = PeerServer(
            settings.listen_address, self._answer_frame, self._answer_fetch
        )
        self._channels = PeerChannels()
        self._node = coordination.Node(
            settings.member, settings.membership, settings.seed
        )
        self._answers: dict[int, asyncio.Future[coordination.Frame]] = {}
        self._fetch_answers: dict[int, coordination.FetchReply] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_ids = itertools.count(1)

    async def __aenter__(self) -> 'PeerTask':
        """Start and return the task."""
        await self.start()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop the server and all tasks, without announcing a leave."""
        await self.close()

    @property
    def address(self) -> str:
        """``host:port`` of the peer server; empty before it is started."""
        return self._server.address

    async def start(self) -> None:
        """Start the peer server and the periodic ticks."""
        await self._server.start()
        member = self.settings.member
        if not member.address:
            member = replace(member, address=self._server.address)
        seed = self.settings.seed or random.SystemRandom().getrandbits(32)
        self._node = coordination.Node(member, self.settings.membership, seed)
        self._step(coordination.Ticked(self.clock.now_ms()))
        self._spawn(self._tick())

    async def close(self) -> None:
        """Stop the server and all tasks, without announcing a leave."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._channels.__exit__(None, None, None)
        await self._server.close()

    async def leave(self) -> None:
        """Give up all ownership, and announce that this daemon leaves."""
        self._step(coordination.LeaveRequested(self.clock.now_ms()))
        await asyncio.sleep(LEAVE_WAIT_MS / MS_PER_S)

    def announce_configuration(self, revision: int, blob: bytes) -> None:
        """Announce a configuration in force here, and gossip it if it is new.

        Call it also for a configuration received by ``ConfigurationReceived``, once in
        force; only then does ``fleet`` show its revision for this daemon.
        """
        self._step(
            coordination.ConfigurationAnnounced(self.clock.now_ms(), revision, blob)
        )

    def announce_fact(self, fact: coordination.Fact) -> None:
        """Gossip a fact; one without a higher generation is ignored."""
        self._step(coordination.FactAnnounced(self.clock.now_ms(), fact))

    def set_seeds(self, seeds: tuple[coordination.Member, ...]) -> None:
        """Set the live entry VMs of the platform's list as seeds."""
        own_name = self.settings.member.name
        others = tuple(seed for seed in seeds if seed.name != own_name)
        self._step(coordination.SeedsListed(self.clock.now_ms(), others))

    def watch_servers(self, servers: tuple[coordination.WatchedServer, ...]) -> None:
        """Set all backend servers that need an owner."""
        self._step(coordination.ServersWatched(self.clock.now_ms(), servers))

    def owns(self, server: str) -> bool:
        """Return whether this daemon owns a server now; check before each action."""
        return self._node.owns(server, self.clock.now_ms())

    def fleet(self) -> tuple[coordination.MemberStatus, ...]:
        """Return the revision in force at each known live member."""
        return self._node.fleet()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self._step(coordination.Ticked(self.clock.now_ms()))

    def _step(self, event: coordination.NodeEvent) -> None:
        for command in self._node.step(event):
            self._perform(command)

    def _perform(self, command: coordination.NodeCommand) -> None:
        match command:
            case coordination.CallPeer() | coordination.FetchUpdates():
                self._spawn(self._call(command))
            case coordination.AnswerPeer(request_id, frame):
                answer = self._answers.pop(request_id, None)
                if answer is not None and not answer.done():
                    answer.set_result(frame)
            case coordination.AnswerFetch(request_id, fetched):
                self._fetch_answers[request_id] = fetched
            case _:
                # Called later, so that an exception in it interrupts no step.
                asyncio.get_running_loop().call_soon(self.on_event, command)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, command: coordination.CallPeer | coordination.FetchUpdates
    ) -> None:
        event = await _call_peer(self._channels, self.clock, command)
        self._step(event)

    async def _answer_frame(
        self, frame: coordination.Frame
    ) -> coordination.Frame | None:
        request_id = next(self._request_ids)
        answer = asyncio.get_running_loop().create_future()
        self._answers[request_id] = answer
        self._step(coordination.PeerCalled(self.clock.now_ms(), request_id, frame))
        await asyncio.wait((answer,), timeout=ANSWER_TIMEOUT_MS / MS_PER_S)
        self._answers.pop(request_id, None)
        return answer.result() if answer.done() else None

    async def _answer_fetch(
        self, ask: coordination.FetchRequest
    ) -> coordination.FetchReply:
        request_id = next(self._request_ids)
        self._step(coordination.FetchRequested(self.clock.now_ms(), request_id, ask))
        return self._fetch_answers.pop(request_id)


async def _call_peer(
    channels: PeerChannels,
    clock: Clock,
    command: coordination.CallPeer | coordination.FetchUpdates,
) -> coordination.NodeEvent:
    """Call a peer and return the outcome as an event."""
    if isinstance(command, coordination.FetchUpdates):
        fetched = await channels.fetch(
            command.address, command.request, command.timeout_ms
        )
        if isinstance(fetched, PeerUnanswered):
            return coordination.FetchFailed(clock.now_ms())
        return coordination.FetchAnswered(clock.now_ms(), fetched)
    answer = await channels.exchange(command.address, command.frame, command.timeout_ms)
    if isinstance(answer, PeerUnanswered):
        return coordination.PeerFailed(clock.now_ms(), command.call_id)
    return coordination.PeerAnswered(clock.now_ms(), command.call_id, answer)
