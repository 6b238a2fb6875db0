"""The task that plays a daemon's part in the fleet over grpclib."""

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
TICK_MS = 100  # well under the shortest timeout of the membership
ANSWER_TIMEOUT_MS = 1000  # a helper answers within its own probe's timeout
LEAVE_WAIT_MS = 300  # the farewell takes one round trip

PeerEvent = (
    coordination.MembersChanged
    | coordination.OwnershipChanged
    | coordination.ConfigurationReceived
    | coordination.FactReceived
    | coordination.Superseded
)


@dataclass(frozen=True, slots=True)
class PeerTaskSettings:
    """Set up a daemon's part in the fleet.

    Parameters
    ----------
    member : coordination.Member
        This daemon; an empty address is filled in from the listening port.
    listen_address : str
        ``host:port`` of the peer server; port 0 lets the system choose.
    membership : coordination.MembershipSettings
        Times and bounds.
    seed : int
        Seed that spreads work in time; 0 takes one from the system. Default 0.
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
        Who this daemon is, and its times.
    on_event : callable
        Called on the asyncio loop with each event, in order, after the call that
        caused it has returned; never from another thread.
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
            settings.listen_address, self._answer_frame, self._answer_ask
        )
        self._channels = PeerChannels()
        self._node = coordination.Node(
            settings.member, settings.membership, settings.seed
        )
        self._answers: dict[int, asyncio.Future[coordination.Frame]] = {}
        self._fetch_answers: dict[int, coordination.FetchReply] = {}
        self._running: set[asyncio.Task[None]] = set()
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
        """Stop all that runs, without a farewell."""
        await self.close()

    @property
    def address(self) -> str:
        """Return ``host:port`` of the peer server; empty before the start."""
        return self._server.address

    async def start(self) -> None:
        """Listen, and let time pass from then on."""
        await self._server.start()
        member = self.settings.member
        if not member.address:
            member = replace(member, address=self._server.address)
        seed = self.settings.seed or random.SystemRandom().getrandbits(32)
        self._node = coordination.Node(member, self.settings.membership, seed)
        self._step(coordination.Ticked(self.clock.now_ms()))
        self._spawn(self._tick())

    async def close(self) -> None:
        """Stop all that runs, without a farewell."""
        for running in self._running:
            running.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        self._channels.__exit__(None, None, None)
        await self._server.close()

    async def leave(self) -> None:
        """Give up all ownership, and tell the fleet that this daemon leaves."""
        self._step(coordination.LeaveRequested(self.clock.now_ms()))
        await asyncio.sleep(LEAVE_WAIT_MS / MS_PER_S)

    def announce_configuration(self, revision: int, blob: bytes) -> None:
        """Tell that a configuration is in force here, and spread it if it is new.

        A configuration that ``ConfigurationReceived`` told of is announced in turn once
        it is in force; only then does ``fleet`` show its revision for this daemon.
        """
        self._step(
            coordination.ConfigurationAnnounced(self.clock.now_ms(), revision, blob)
        )

    def announce_fact(self, fact: coordination.Fact) -> None:
        """Spread a fact; one of no higher generation is passed over."""
        self._step(coordination.FactAnnounced(self.clock.now_ms(), fact))

    def seeds_listed(self, seeds: tuple[coordination.Member, ...]) -> None:
        """Take the live entry VMs of the platform's list."""
        own_name = self.settings.member.name
        others = tuple(seed for seed in seeds if seed.name != own_name)
        self._step(coordination.SeedsListed(self.clock.now_ms(), others))

    def watch_servers(self, servers: tuple[coordination.WatchedServer, ...]) -> None:
        """Take the whole set of backend servers that need an owner."""
        self._step(coordination.ServersWatched(self.clock.now_ms(), servers))

    def owns(self, server: str) -> bool:
        """Tell whether this daemon owns a server now; ask before each act."""
        return self._node.owns(server, self.clock.now_ms())

    def fleet(self) -> tuple[coordination.MemberStatus, ...]:
        """Return the revision in force at each live member that is known."""
        return self._node.fleet()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_S)
            self._step(coordination.Ticked(self.clock.now_ms()))

    def _step(self, event: coordination.NodeEvent) -> None:
        for command in self._node.step(event):
            self._carry_out(command)

    def _carry_out(self, command: coordination.NodeCommand) -> None:
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
                # Called later, so that its failure ends no step halfway.
                asyncio.get_running_loop().call_soon(self.on_event, command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        running = asyncio.get_running_loop().create_task(work)
        self._running.add(running)
        running.add_done_callback(self._running.discard)

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

    async def _answer_ask(
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
    """Carry out a call and return what came of it."""
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
