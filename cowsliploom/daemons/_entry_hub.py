"""What the entry daemon's tasks tell one another, on the loop's thread."""

from dataclasses import dataclass

import msgspec

from cowsliploom.adapters import ComponentLog
from cowsliploom.coordination import (
    ConfigurationReceived,
    Fact,
    FactReceived,
    Member,
    MembersChanged,
    Superseded,
    WatchedServer,
    chosen_watchers,
)
from cowsliploom.coordination import (
    OwnershipChanged as NodeOwnershipChanged,
)
from cowsliploom.daemons._entry_config import ConfigurationWatch
from cowsliploom.daemons._entry_health import HealthNews
from cowsliploom.daemons._entry_loop import RouterTask
from cowsliploom.daemons._entry_messages import ConfigurationOffered
from cowsliploom.daemons._entry_vms import VmListReader
from cowsliploom.daemons._peer_task import PeerEvent, PeerTask
from cowsliploom.daemons._rollout_task import RolloutTask
from cowsliploom.ports import Clock
from cowsliploom.protocol import VmInfo, VmList, VmState, decode_json
from cowsliploom.resources import (
    Configuration,
    Kind,
    ServiceSpec,
    decode_configuration,
    encode_configuration,
)
from cowsliploom.rollout import RecordSample
from cowsliploom.routing import (
    EntryCountChanged,
    HealthReported,
    OwnershipChanged,
    ProbeFailed,
    ServersLeaving,
    ServersWarm,
)

UNREADABLE_SHOWN = 3  # of the entries that are left out, in a line
LEAVING_KEY = 'vms/leaving'
WARM_PREFIX = 'warm/'
HEALTH_PREFIX = 'health/'
ENTRY_ROLE = 'entry'
BACKEND_ROLE = 'backend'


@dataclass(frozen=True, slots=True)
class Wiring:
    """Name the tasks that the hub connects."""

    router: RouterTask
    peers: PeerTask
    watch: ConfigurationWatch
    vms: VmListReader
    rollout: RolloutTask


def watched_servers(configuration: Configuration) -> tuple[WatchedServer, ...]:
    """Return the backend servers that need an owner."""
    return tuple(
        WatchedServer(server.name, server.data_centre)
        for resource in configuration.resources
        if isinstance(resource.spec, ServiceSpec)
        for server in resource.spec.servers
    )


def entry_members(listed: VmList) -> tuple[Member, ...]:
    """Return the live entry VMs of the platform's list."""
    return tuple(
        Member(vm.name, vm.address, vm.data_centre)
        for vm in listed.vms
        if vm.role == ENTRY_ROLE and vm.state is VmState.LIVE
    )


def leaving_backends(vms: tuple[VmInfo, ...]) -> frozenset[str]:
    """Return the backend servers that the platform's list calls leaving."""
    return frozenset(
        vm.name for vm in vms if vm.role == BACKEND_ROLE and vm.state is VmState.LEAVING
    )


def _decode_names(blob: bytes) -> frozenset[str]:
    return decode_json(blob, frozenset[str])


class EntryHub:
    """Pass news between the router, the peers and the store's readers.

    Parameters
    ----------
    member : Member
        This entry VM.
    clock : Clock
        Clock of the router's events.

    Notes
    -----
    Every method runs on the loop's thread.
    """

    def __init__(self, member: Member, clock: Clock) -> None:
        self._member = member
        self._clock = clock
        self._warm: frozenset[str] = frozenset()
        self._entries = 1
        self._configuration = Configuration()
        self._moving = False
        self._log = ComponentLog('hub')
        self.health = HealthNews()
        self._unreadable_vms: tuple[str, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._generations: dict[str, int] = {}
        self._wiring: Wiring | None = None

    def connect(self, wiring: Wiring) -> None:
        """Take the tasks to pass news between; comes before any event."""
        self._wiring = wiring

    @property
    def _tasks(self) -> Wiring:
        if self._wiring is None:
            raise RuntimeError('hub: got an event, expected connect before it')
        return self._wiring

    def take_peer_event(self, event: PeerEvent) -> None:
        """Take what the peers tell."""
        match event:
            case MembersChanged():
                self._take_members(event)
            case NodeOwnershipChanged():
                self._take_ownership(event.owned)
            case ConfigurationReceived():
                self._take_configuration(event.blob)
            case FactReceived():
                self._hear(event.fact)
            case Superseded():
                self._log.write('Another process has this name.', peer=event.by.address)

    def take_applied(self, configuration: Configuration) -> None:
        """Spread a configuration that came into force here."""
        servers = watched_servers(configuration)
        names = tuple(server.server for server in servers)
        self.health.declare(self._clock.now_ms(), names)
        self._configuration = configuration
        self._moving = any(
            resource.kind is Kind.VERSION_MOVE for resource in configuration.resources
        )
        self._configure_rollout()
        self._tasks.peers.watch_servers(servers)
        self._tasks.peers.announce_configuration(
            configuration.revision, encode_configuration(configuration)
        )
        self._log.write(
            'Configuration in force.',
            revision=configuration.revision,
            resources=len(configuration.resources),
        )

    def take_sample(self, sample: RecordSample) -> None:
        """Pass evidence on while there is a version move."""
        if self._moving:
            self._tasks.rollout.sample(sample)

    def take_probe(self, probed: HealthReported | ProbeFailed) -> None:
        """Take a server's health, or that it does not answer."""
        news = self.health.take_probe(probed)
        if news is not None:
            self._announce(HEALTH_PREFIX + probed.server, news)

    def spread_warm(self) -> None:
        """Tell the peers which owned servers have shown to be warm."""
        warm = self._tasks.router.warm_owned
        if warm != self._warm:
            self._warm = warm
            self._announce(
                WARM_PREFIX + self._member.name, msgspec.json.encode(sorted(warm))
            )

    def take_vm_list(self, listed: VmList) -> None:
        """Take the platform's list of VMs."""
        if listed.unreadable != self._unreadable_vms:
            self._unreadable_vms = listed.unreadable
            self._log.write(
                'VMs that can not be read are left out.',
                left_out=len(listed.unreadable),
                reasons='; '.join(listed.unreadable[:UNREADABLE_SHOWN]),
            )
        self._tasks.peers.seeds_listed(entry_members(listed))
        leaving = leaving_backends(listed.vms)
        if leaving != self._leaving:
            self._take_leaving(leaving)
            self._announce(LEAVING_KEY, msgspec.json.encode(sorted(leaving)))

    def _take_members(self, event: MembersChanged) -> None:
        live = event.live
        entries = max(1, len(live))
        self._tasks.router.take(EntryCountChanged(self._clock.now_ms(), entries))
        watchers = chosen_watchers(live, self._member.data_centre)
        chosen = self._member.name in watchers
        self._tasks.watch.members_changed(live)
        self._tasks.vms.choose(chosen=chosen)
        self._tasks.rollout.candidate(is_candidate=chosen)
        self._entries = entries
        self._configure_rollout()
        self._log.write('Members changed.', live=len(live), watcher=chosen)

    def _configure_rollout(self) -> None:
        self._tasks.rollout.configuration(self._configuration, self._entries)

    def _tell_rollout_of(self, fact: Fact) -> None:
        self._tasks.rollout.fact_heard(fact.key, fact.generation, fact.blob)

    def _take_ownership(self, owned: frozenset[str]) -> None:
        now_ms = self._clock.now_ms()
        self.health.own(now_ms, owned)
        self._tasks.router.take(OwnershipChanged(now_ms, owned))

    def _take_configuration(self, blob: bytes) -> None:
        try:
            configuration = decode_configuration(blob)
        except (ValueError, msgspec.MsgspecError) as error:
            self._log.write('Peer sent a bad configuration.', reason=str(error))
            return
        self._tasks.router.take(ConfigurationOffered(configuration, 'peer'))

    def _hear(self, fact: Fact) -> None:
        """Take a fact; one that can't be read costs nothing but itself."""
        try:
            self._take_fact(fact)
        except msgspec.MsgspecError as error:
            self._log.write('Peer sent a bad fact.', key=fact.key, reason=str(error))

    def _take_fact(self, fact: Fact) -> None:
        self._generations[fact.key] = fact.generation
        match fact.key:
            case key if key.startswith(HEALTH_PREFIX):
                self._take_told_health(key.removeprefix(HEALTH_PREFIX), fact.blob)
            case key if key.startswith(WARM_PREFIX):
                self._take_warm(_decode_names(fact.blob))
            case key if key == LEAVING_KEY:
                self._take_leaving(_decode_names(fact.blob))
            case _:
                self._tell_rollout_of(fact)

    def _take_told_health(self, server: str, blob: bytes) -> None:
        report = self.health.take_told(server, blob)
        if report is not None:
            now_ms = self._clock.now_ms()
            self._tasks.router.take(HealthReported(now_ms, server, report))

    def _take_warm(self, warm: frozenset[str]) -> None:
        self._tasks.router.take(ServersWarm(self._clock.now_ms(), warm))

    def _take_leaving(self, leaving: frozenset[str]) -> None:
        self._leaving = leaving
        self._tasks.router.take(ServersLeaving(self._clock.now_ms(), leaving))

    def _announce(self, key: str, blob: bytes) -> None:
        generation = max(self._generations.get(key, 0) + 1, int(self._clock.wall_ms()))
        self._generations[key] = generation
        self._tasks.peers.announce_fact(Fact(key, generation, blob))
