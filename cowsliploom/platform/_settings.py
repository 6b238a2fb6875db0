"""The settings file that the platform gives each process."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from cowsliploom.forwarding import BudgetRules

SETTINGS_VARIABLE = 'COWSLIPLOOM_SETTINGS'
MS_PER_S = 1000
COMMENT_MARK = '#'


class SettingsError(ValueError):
    """Report a setting that is missing or can't be read.

    Parameters
    ----------
    name : str
        Setting concerned, in the platform's spelling.
    got, expected : str
        What stands there, and what should.
    """

    def __init__(self, name: str, got: str, expected: str) -> None:
        super().__init__(f'{name}: expected {expected}, got {got!r}')
        self.name = name


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """Hold what the platform tells a process about its place.

    Parameters
    ----------
    name, data_centre : str
        Name of the entry VM and where it stands.
    callers_address, readiness_address, peers_address, relays_address : str
        Where to listen, as ``host:port``.
    seeds : tuple of str
        Peer addresses of other entry VMs; they may be stale.
    store_address : str
        Where the platform's store listens.
    budget : BudgetRules
        Bounds of extra calls, over all entry VMs.
    grace_ms : float
        Time between the order to stop and the kill.
    apply_ms : float
        Time within which a new configuration is to be in force.
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


def read_settings(path: Path) -> MachineSettings:
    """Read and check the settings file.

    Parameters
    ----------
    path : Path
        File of lines ``a.b=value``; unknown names are passed over.

    Returns
    -------
    MachineSettings
        Checked settings.

    Raises
    ------
    SettingsError
        If a setting is missing or can't be read.
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
    cowsliploom.platform._settings.SettingsError: zone: expected a text, got ''
    """
    fields = dict(_pairs(text))
    seeds = fields.get('seeds', '').split(',')
    return MachineSettings(
        name=_text(fields, 'node'),
        data_centre=_text(fields, 'zone'),
        callers_address=_address(fields, 'listen.front'),
        readiness_address=_address(fields, 'listen.ready'),
        peers_address=_address(fields, 'listen.control'),
        relays_address=_relays_address(fields),
        seeds=tuple(seed for seed in seeds if seed),
        store_address=_address(fields, 'platform.address'),
        budget=BudgetRules(
            ratio=_number(fields, 'bounds.retryBudgetRatio', '0.2'),
            extra=_number(fields, 'bounds.retryBudgetExtra', '10'),
            window_ms=_number(fields, 'bounds.retryWindowS', '10') * MS_PER_S,
        ),
        grace_ms=_number(fields, 'bounds.graceS', '6') * MS_PER_S,
        apply_ms=_number(fields, 'bounds.configApplyMs', '3000'),
    )


def _pairs(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, setting = line.partition('=')
        if equals and not line.lstrip().startswith(COMMENT_MARK):
            pairs.append((name.strip(), setting.strip()))
    return pairs


def _text(fields: Mapping[str, str], name: str) -> str:
    found = fields.get(name, '')
    if not found:
        raise SettingsError(name, found, 'a text')
    return found


def _address(fields: Mapping[str, str], name: str) -> str:
    found = fields.get(name, '')
    host, _, port = found.rpartition(':')
    if not (host and port.isdigit()):
        raise SettingsError(name, found, 'host:port')
    return found


def _relays_address(fields: Mapping[str, str]) -> str:
    """Return the address on the first of the ports that are free for daemons."""
    host = _address(fields, 'listen.control').rpartition(':')[0]
    port = _text(fields, 'internalPorts').partition(',')[0]
    if not port.isdigit():
        raise SettingsError('internalPorts', port, 'two port numbers')
    return f'{host}:{port}'


def _number(fields: Mapping[str, str], name: str, default: str) -> float:
    found = fields.get(name) or default
    try:
        number = float(found)
    except ValueError as error:
        raise SettingsError(name, found, 'a number') from error
    if not 0 <= number < float('inf'):
        raise SettingsError(name, found, 'a number of 0 or more')
    return number
