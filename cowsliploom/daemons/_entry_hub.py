"""Exchange of events between the entry daemon's tasks, on the loop's thread."""

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
from cowsliploom.daemons._entry_health import HealthTracker
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

UNREADABLE_LOGGED_MAX = 3  # reasons listed in one log line
LEAVING_KEY = 'vms/leaving'
WARM_PREFIX = 'warm/'
HEALTH_PREFIX = 'health/'
ENTRY_ROLE = 'entry'
BACKEND_ROLE = 'backend'


@dataclass(frozen=True, slots=True)
class Wiring:
    """The tasks that the hub connects."""

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
    """Return the backend servers that the platform lists as leaving."""
    return frozenset(
        vm.name for vm in vms if vm.role == BACKEND_ROLE and vm.state is VmState.LEAVING
    )


def _decode_names(blob: bytes) -> frozenset[str]:
    return decode_json(blob, frozenset[str])


class EntryHub:
    """Forward events between the router, the peers and the store readers.

    Parameters
    ----------
    member : Member
        This entry VM.
    clock : Clock
        Clock for the times of router events.

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
        self._has_moves = False
        self._log = ComponentLog('hub')
        self.health = HealthTracker()
        self._unreadable_vms: tuple[str, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._generations: dict[str, int] = {}
        self._wiring: Wiring | None = None

    def connect(self, wiring: Wiring) -> None:
        """Set the tasks to connect; call this before any event."""
        self._wiring = wiring

    @property
    def _tasks(self) -> Wiring:
        if self._wiring is None:
            raise RuntimeError('hub: got an event, expected connect first')
        return self._wiring

    def handle_peer_event(self, event: PeerEvent) -> None:
        """Handle an event of the peer task."""
        match event:
            case MembersChanged():
                self._apply_members(event)
            case NodeOwnershipChanged():
                self._apply_ownership(event.owned)
            case ConfigurationReceived():
                self._offer_configuration(event.blob)
            case FactReceived():
                self._handle_fact(event.fact)
            case Superseded():
                self._log.write(
                    'Another process uses the name of this entry VM.',
                    peer=event.by.address,
                )

    def handle_applied(self, configuration: Configuration) -> None:
        """Announce a configuration that came into force here."""
        servers = watched_servers(configuration)
        names = tuple(server.server for server in servers)
        self.health.declare(self._clock.now_ms(), names)
        self._configuration = configuration
        self._has_moves = any(
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

    def record_sample(self, sample: RecordSample) -> None:
        """Forward a sample to the rollout task while a version move is declared."""
        if self._has_moves:
            self._tasks.rollout.add_sample(sample)

    def handle_probe(self, probed: HealthReported | ProbeFailed) -> None:
        """Handle a health report or failed probe; announce a changed health."""
        report = self.health.handle_probe(probed)
        if report is not None:
            self._announce(HEALTH_PREFIX + probed.server, report)

    def announce_warm(self) -> None:
        """Announce the owned servers that were found warm, if they changed."""
        warm = self._tasks.router.warm_owned
        if warm != self._warm:
            self._warm = warm
            self._announce(
                WARM_PREFIX + self._member.name, msgspec.json.encode(sorted(warm))
            )

    def handle_vm_list(self, listed: VmList) -> None:
        """Handle the platform's list of VMs."""
        if listed.unreadable != self._unreadable_vms:
            self._unreadable_vms = listed.unreadable
            self._log.write(
                'Unreadable entries of the VM list were ignored.',
                left_out=len(listed.unreadable),
                reasons='; '.join(listed.unreadable[:UNREADABLE_LOGGED_MAX]),
            )
        self._tasks.peers.set_seeds(entry_members(listed))
        leaving = leaving_backends(listed.vms)
        if leaving != self._leaving:
            self._apply_leaving(leaving)
            self._announce(LEAVING_KEY, msgspec.json.encode(sorted(leaving)))

    def _apply_members(self, event: MembersChanged) -> None:
        live = event.live
        entries = max(1, len(live))
        self._tasks.router.handle(EntryCountChanged(self._clock.now_ms(), entries))
        watchers = chosen_watchers(live, self._member.data_centre)
        is_watcher = self._member.name in watchers
        self._tasks.watch.update_members(live)
        self._tasks.vms.set_watcher(is_watcher=is_watcher)
        self._tasks.rollout.set_candidate(is_candidate=is_watcher)
        self._entries = entries
        self._configure_rollout()
        self._log.write('Members changed.', live=len(live), watcher=is_watcher)

    def _configure_rollout(self) -> None:
        self._tasks.rollout.apply_configuration(self._configuration, self._entries)

    def _forward_to_rollout(self, fact: Fact) -> None:
        self._tasks.rollout.handle_fact(fact.key, fact.generation, fact.blob)

    def _apply_ownership(self, owned: frozenset[str]) -> None:
        now_ms = self._clock.now_ms()
        self.health.update_owned(now_ms, owned)
        self._tasks.router.handle(OwnershipChanged(now_ms, owned))

    def _offer_configuration(self, blob: bytes) -> None:
        try:
            configuration = decode_configuration(blob)
        except (ValueError, msgspec.MsgspecError) as error:
            self._log.write('Peer sent a bad configuration.', reason=str(error))
            return
        self._tasks.router.handle(ConfigurationOffered(configuration, 'peer'))

    def _handle_fact(self, fact: Fact) -> None:
        """Handle a fact from a peer; log and ignore one that can't be decoded."""
        try:
            self._dispatch_fact(fact)
        except msgspec.MsgspecError as error:
            self._log.write('Peer sent a bad fact.', key=fact.key, reason=str(error))

    def _dispatch_fact(self, fact: Fact) -> None:
        self._generations[fact.key] = fact.generation
        match fact.key:
            case key if key.startswith(HEALTH_PREFIX):
                self._apply_peer_health(key.removeprefix(HEALTH_PREFIX), fact.blob)
            case key if key.startswith(WARM_PREFIX):
                self._apply_warm(_decode_names(fact.blob))
            case key if key == LEAVING_KEY:
                self._apply_leaving(_decode_names(fact.blob))
            case _:
                self._forward_to_rollout(fact)

    def _apply_peer_health(self, server: str, blob: bytes) -> None:
        report = self.health.apply_peer_report(server, blob)
        if report is not None:
            now_ms = self._clock.now_ms()
            self._tasks.router.handle(HealthReported(now_ms, server, report))

    def _apply_warm(self, warm: frozenset[str]) -> None:
        self._tasks.router.handle(ServersWarm(self._clock.now_ms(), warm))

    def _apply_leaving(self, leaving: frozenset[str]) -> None:
        self._leaving = leaving
        self._tasks.router.handle(ServersLeaving(self._clock.now_ms(), leaving))

    def _announce(self, key: str, blob: bytes) -> None:
        generation = max(self._generations.get(key, 0) + 1, int(self._clock.wall_ms()))
        self._generations[key] = generation
        self._tasks.peers.announce_fact(Fact(key, generation, blob))
