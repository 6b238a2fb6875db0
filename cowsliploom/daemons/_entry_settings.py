"""Settings of the entry daemon."""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.daemons._settings import SettingsChecker


class Policy(StrEnum):
    """Routing policy."""

    ADAPTIVE = 'adaptive'
    NAIVE = 'naive'


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry daemon.

    Parameters
    ----------
    name : str
        Name of the entry VM, unique in the fleet.
    data_centre : str
        Data centre of the VM.
    listen : str
        ``host:port`` for callers.
    peer_listen : str
        ``host:port`` for other entry VMs.
    store : str
        ``host:port`` of the platform's service.
    policy : Policy
        Routing policy.
    threads : int
        Number of callers served concurrently.
    drain_notice_ms : float
        Time that the load balancer takes to notice that this VM is not ready.
    drain_timeout_ms : float
        Time for requests in flight to finish at shutdown.
    seed : int
        Seed of random choices; 0 generates one.
    """

    name: str
    data_centre: str
    listen: str
    peer_listen: str
    store: str
    policy: Policy
    threads: int
    drain_notice_ms: float
    drain_timeout_ms: float
    seed: int


@dataclass(frozen=True, slots=True)
class EntryFlags:
    """Command-line flags before validation."""

    name: str
    data_centre: str
    listen: str
    peer_listen: str
    store: str
    policy: str
    threads: str
    drain_notice_ms: str
    drain_timeout_ms: str
    seed: str


def check_settings(flags: EntryFlags) -> EntrySettings:
    """Validate all flags.

    Raises
    ------
    click.UsageError
        Lists each invalid setting with the value got and what was expected.
    """
    checker = SettingsChecker()
    settings = EntrySettings(
        checker.check_name('--name', flags.name),
        checker.check_name('--data-centre', flags.data_centre),
        checker.check_listen_address('--listen', flags.listen),
        checker.check_listen_address('--peer-listen', flags.peer_listen),
        checker.check_address('--store', flags.store),
        Policy(flags.policy),
        checker.check_count('--threads', flags.threads, 1, 4096),
        checker.check_not_negative_ms('--drain-notice-ms', flags.drain_notice_ms),
        checker.check_positive_ms('--drain-timeout-ms', flags.drain_timeout_ms),
        checker.check_count('--seed', flags.seed, 0, 2**32 - 1),
    )
    checker.raise_problems()
    return settings
