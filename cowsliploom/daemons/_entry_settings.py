"""Settings of the entry daemon."""

from dataclasses import dataclass
from enum import StrEnum

from cowsliploom.daemons._settings import SettingsChecker


class Policy(StrEnum):
    """Name the policy that decides on queries."""

    ADAPTIVE = 'adaptive'
    NAIVE = 'naive'


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Set up one entry daemon.

    Parameters
    ----------
    name : str
        Name of the entry VM, unique in the fleet.
    data_centre : str
        Data centre that the VM stands in.
    listen : str
        ``host:port`` for callers.
    peer_listen : str
        ``host:port`` for other entry VMs.
    store : str
        ``host:port`` of the platform's service.
    policy : Policy
        How queries are decided on.
    threads : int
        Callers served at once.
    drain_notice_ms : float
        Time that the balancer takes to notice that this VM is not ready.
    drain_timeout_ms : float
        Time that requests in flight get to end at shutdown.
    seed : int
        Seed of random choices; 0 takes one from the system.
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
    """Hold the flags as given, before any check."""

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
    """Check all flags and end the program naming each that is wrong.

    Raises
    ------
    click.UsageError
        Naming each wrong setting, the value got and what was expected.
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
    checker.finish()
    return settings
