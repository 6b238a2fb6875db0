"""The settings file that the platform writes for each process."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from cowsliploom.forwarding import AccessRules, BudgetRules
from cowsliploom.usage import UsageRules

SETTINGS_VARIABLE = 'COWSLIPLOOM_SETTINGS'
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
COMMENT_MARK = '#'
USAGE_DUTY = 'usage_report'


class SettingsError(ValueError):
    """Error about a missing or invalid setting.

    Parameters
    ----------
    name : str
        Name of the setting, in the platform's spelling.
    got, expected : str
        Value found, and description of a valid one.
    """

    def __init__(self, name: str, got: str, expected: str) -> None:
        super().__init__(f'{name}: expected {expected}, got {got!r}')
        self.name = name


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Settings of one process, in typed fields.

    Parameters
    ----------
    name, data_centre : str
        Name of the entry VM and its data centre.
    callers_address, readiness_address, peers_address, relays_address : str
        Addresses to listen on, as ``host:port``.
    seeds : tuple of str
        Peer addresses of other entry VMs; they may be stale.
    store_address : str
        Address of the platform's store.
    budget : BudgetRules
        Limits on extra calls, for all entry VMs together.
    grace_ms : float
        Time between the stop signal and the kill.
    apply_ms : float
        Time within which a new configuration is to be in force.
    heartbeat_ms : float
        Interval at which servers renew their registrations.
    access : AccessRules
        How withdrawn keys are treated.
    memory_bytes, files_max : float
        Memory and descriptors that the process may use; infinite if not stated.
    usage : UsageRules or None
        How usage is metered; None if it is not.
    reports_address : str
        Where usage is reported; empty if it is not metered.
    """

    name: str
    data_centre: str
    callers_address: str
    readiness_address: str
    peers_address: str
    relays_address: str
    seeds: tuple[str, ...]
    store_address: str
    budget: BudgetRules
    grace_ms: float
    apply_ms: float
    heartbeat_ms: float = 1200
    access: AccessRules = AccessRules()
    memory_bytes: float = float('inf')
    files_max: float = float('inf')
    usage: UsageRules | None = None
    reports_address: str = ''


def read_settings(path: Path) -> MachineSettings:
    """Read and check the settings file.

    Parameters
    ----------
    path : Path
        File of lines ``a.b=value``; unknown names are ignored.

    Returns
    -------
    MachineSettings
        Checked settings.

    Raises
    ------
    SettingsError
        If a setting is missing or invalid.
    OSError
        If the file can't be read.
    """
    return parse_settings(path.read_text(encoding='utf-8', errors='replace'))


def parse_settings(text: str) -> MachineSettings:
    """Parse the text of a settings file; see ``read_settings``.

    Examples
    --------
    >>> parse_settings('node=a')
    Traceback (most recent call last):
    cowsliploom.platform._settings.SettingsError: zone: expected a value, got ''
    """
    fields = dict(_parse_lines(text))
    seeds = fields.get('seeds', '').split(',')
    return MachineSettings(
        name=_read_text(fields, 'node'),
        data_centre=_read_text(fields, 'zone'),
        callers_address=_read_address(fields, 'listen.front'),
        readiness_address=_read_address(fields, 'listen.ready'),
        peers_address=_read_address(fields, 'listen.control'),
        relays_address=_read_relays_address(fields),
        seeds=tuple(seed for seed in seeds if seed),
        store_address=_read_address(fields, 'platform.address'),
        budget=BudgetRules(
            ratio=_read_number(fields, 'bounds.retryBudgetRatio', '0.2'),
            extra=_read_number(fields, 'bounds.retryBudgetExtra', '10'),
            window_ms=_read_number(fields, 'bounds.retryWindowS', '10') * MS_PER_S,
        ),
        grace_ms=_read_number(fields, 'bounds.graceS', '6') * MS_PER_S,
        apply_ms=_read_number(fields, 'bounds.configApplyMs', '3000'),
        heartbeat_ms=_read_number(fields, 'heartbeatMs', '1200'),
        memory_bytes=_read_limit(fields, 'limits.memoryMb') * BYTES_PER_MB,
        files_max=_read_limit(fields, 'limits.maxFds'),
        usage=_read_usage_rules(fields),
        reports_address=fields.get('cloud.address', ''),
        access=AccessRules(
            is_strict=fields.get('bounds.strictRevoke', '').lower() == 'true',
            revoke_ms=_read_number(fields, 'bounds.revokeMs', '5000'),
        ),
    )


def _parse_lines(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, setting = line.partition('=')
        if equals and not line.lstrip().startswith(COMMENT_MARK):
            pairs.append((name.strip(), setting.strip()))
    return pairs


def _read_text(fields: Mapping[str, str], name: str) -> str:
    found = fields.get(name, '')
    if not found:
        raise SettingsError(name, found, 'a value')
    return found


def _read_address(fields: Mapping[str, str], name: str) -> str:
    found = fields.get(name, '')
    host, _, port = found.rpartition(':')
    if not (host and port.isdigit()):
        raise SettingsError(name, found, 'host:port')
    return found


def _read_relays_address(fields: Mapping[str, str]) -> str:
    """Return the address on the first of the ports that daemons may use."""
    host = _read_address(fields, 'listen.control').rpartition(':')[0]
    port = _read_text(fields, 'internalPorts').partition(',')[0]
    if not port.isdigit():
        raise SettingsError('internalPorts', port, 'comma-separated port numbers')
    return f'{host}:{port}'


def _read_usage_rules(fields: Mapping[str, str]) -> UsageRules | None:
    """Return how usage is metered, if its reports are among the duties."""
    if USAGE_DUTY not in fields.get('cloud.duties', '').split(','):
        return None
    _read_address(fields, 'cloud.address')
    return UsageRules(
        window_ms=_read_number(fields, 'bounds.usageWindowS', '5') * MS_PER_S,
        late_ms=_read_number(fields, 'bounds.usageLateS', '10') * MS_PER_S,
        lease_ms=_read_number(fields, 'bounds.leaseMs', '3000'),
    )


def _read_limit(fields: Mapping[str, str], name: str) -> float:
    """Return a limit of the process; infinite if it is not stated, or is 0."""
    return _read_number(fields, name, '0') or float('inf')


def _read_number(fields: Mapping[str, str], name: str, default: str) -> float:
    found = fields.get(name) or default
    try:
        number = float(found)
    except ValueError as error:
        raise SettingsError(name, found, 'a number') from error
    if not 0 <= number < float('inf'):
        raise SettingsError(name, found, 'a finite number of 0 or more')
    return number
