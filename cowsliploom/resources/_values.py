"""Validation rules for the values of specifications."""

import ipaddress
import re
from collections.abc import Callable
from datetime import datetime
from typing import Any

from cowsliploom.resources._types import (
    DataCentreSpec,
    SearchSpec,
    ServerSpec,
    ServiceSpec,
    VersionMoveSpec,
)

NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NAME_EXPECTED = '1 to 63 letters, digits, dots, underscores or hyphens'
ADDRESS_EXPECTED = 'host:port with an IP number and a port from 1 to 65535'
TIME_EXPECTED = 'an RFC 3339 time with its offset, such as 2030-01-31T18:00:00Z'
PORT_MAX = 65535
SLOTS_MAX = 10_000
CONNECTIONS_MAX = 100_000
CONNECT_COST_MAX_MS = 60_000.0
TIMEOUT_MAX_MS = 600_000.0
URGENCY_MAX = 9
HITS_MAX = 10_000
GENERATION_MAX = 1_000_000
SERVERS_MAX = 12_000
SERVICES_MAX = 10_000

# A rule returns what it expects, or an empty string for a valid value.
Rule = Callable[[Any], str]


def is_name(text: str) -> bool:
    """Return whether a string is a valid name of a resource, server or version."""
    return NAME_PATTERN.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a string is an IP address and a port."""
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit()) or not 1 <= int(port) <= PORT_MAX:
        return False
    try:
        ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return False
    return True


def is_time(text: str) -> bool:
    """Return whether a string is an RFC 3339 time with an offset."""
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        return False
    return 'T' in text and parsed.tzinfo is not None


class _RangeRule:
    """Accept numbers within a closed range."""

    def __init__(self, low: float, high: float, unit: str) -> None:
        self.low = low
        self.high = high
        self.unit = unit

    def __call__(self, number: float) -> str:
        """Return what is expected; empty for a valid value."""
        if self.low <= number <= self.high:
            return ''
        return f'{self.low} to {self.high} {self.unit}'.strip()


class _PredicateRule:
    """Accept strings for which a predicate holds."""

    def __init__(self, predicate: Callable[[str], bool], expected: str) -> None:
        self.predicate = predicate
        self.expected = expected

    def __call__(self, text: str) -> str:
        """Return what is expected; empty for a valid value."""
        return '' if self.predicate(text) else self.expected


class _NamesRule:
    """Accept non-empty lists of distinct names, up to a maximum length."""

    def __init__(self, length_max: int) -> None:
        self.length_max = length_max

    def __call__(self, names: tuple[str, ...]) -> str:
        """Return what is expected; empty for a valid value."""
        valid_length = 1 <= len(names) <= self.length_max
        if valid_length and len(set(names)) == len(names) and all(map(is_name, names)):
            return ''
        return f'1 to {self.length_max} distinct names, each {NAME_EXPECTED}'


def _check_servers(servers: tuple[ServerSpec, ...]) -> str:
    names = {server.name for server in servers}
    addresses = {server.address for server in servers}
    distinct = len(names) == len(servers) == len(addresses)
    if distinct and 1 <= len(servers) <= SERVERS_MAX:
        return ''
    return f'1 to {SERVERS_MAX} servers with distinct names and addresses'


_NAME = _PredicateRule(is_name, NAME_EXPECTED)

RULES: dict[type, dict[str, Rule]] = {
    ServerSpec: {
        'name': _NAME,
        'address': _PredicateRule(is_address, ADDRESS_EXPECTED),
        'data_centre': _NAME,
        'version': _NAME,
    },
    ServiceSpec: {
        'servers': _check_servers,
        'slots': _RangeRule(1, SLOTS_MAX, 'calls at once'),
        'connections_max': _RangeRule(1, CONNECTIONS_MAX, 'connections'),
        'connect_cost_ms': _RangeRule(0, CONNECT_COST_MAX_MS, 'milliseconds'),
    },
    SearchSpec: {
        'services': _NamesRule(SERVICES_MAX),
        'timeout_ms': _RangeRule(1, TIMEOUT_MAX_MS, 'milliseconds'),
        'urgency': _RangeRule(1, URGENCY_MAX, '(most urgent)'),
        'hits_max': _RangeRule(1, HITS_MAX, 'hits'),
    },
    VersionMoveSpec: {
        'service': _NAME,
        'from_version': _NAME,
        'to_version': _NAME,
        'finish_by': _PredicateRule(is_time, TIME_EXPECTED),
        'generation': _RangeRule(1, GENERATION_MAX, ''),
    },
    DataCentreSpec: {},
}
