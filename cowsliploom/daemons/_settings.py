"""Validation of the daemons' settings, reporting all invalid values at once."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import click

from cowsliploom.resources import is_address, is_name

ADDRESS_EXPECTED = 'host:port with an IP number'
NAME_EXPECTED = '1 to 63 letters, digits, dots, underscores or hyphens'
PORT_CHOSEN_BY_SYSTEM = ':0'
ANY_PORT = ':1'


@dataclass(frozen=True, slots=True)
class SettingProblem:
    """An invalid setting, the value got and what was expected."""

    name: str
    got: str
    expected: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.name}: got {self.got!r}, expected {self.expected}'


class SettingsChecker:
    """Check settings one by one and report all invalid ones together.

    Each check takes the name of the setting and its text, and returns the value,
    or a placeholder of the same type if the text is invalid.

    Examples
    --------
    >>> checker = SettingsChecker()
    >>> checker.check_address('--store', '127.0.0.1:80')
    '127.0.0.1:80'
    >>> checker.check_positive_ms('--wait-ms', 'soon')
    1.0
    >>> [str(problem) for problem in checker.problems]
    ["--wait-ms: got 'soon', expected a number of milliseconds above 0"]
    """

    def __init__(self) -> None:
        self.problems: list[SettingProblem] = []

    def check_address(self, name: str, text: str) -> str:
        """Check an address to connect to."""
        if not is_address(text):
            self._add_problem(
                name, text, f'{ADDRESS_EXPECTED} and a port from 1 to 65535'
            )
        return text

    def check_listen_address(self, name: str, text: str) -> str:
        """Check an address to listen on; port 0 lets the system choose one."""
        connectable = text
        if text.endswith(PORT_CHOSEN_BY_SYSTEM):
            connectable = text.removesuffix(PORT_CHOSEN_BY_SYSTEM) + ANY_PORT
        if not is_address(connectable):
            self._add_problem(
                name, text, f'{ADDRESS_EXPECTED} and a port from 0 to 65535'
            )
        return text

    def check_addresses(self, name: str, texts: Iterable[str]) -> tuple[str, ...]:
        """Check each of several addresses to connect to."""
        return tuple(self.check_address(name, text) for text in texts)

    def check_name(self, name: str, text: str) -> str:
        """Check the name of a VM or data centre."""
        if not is_name(text):
            self._add_problem(name, text, NAME_EXPECTED)
        return text

    def check_positive_ms(self, name: str, text: str) -> float:
        """Check a time limit or period, in milliseconds."""
        number = _parse_number(text)
        if number > 0:
            return number
        self._add_problem(name, text, 'a number of milliseconds above 0')
        return 1.0

    def check_not_negative_ms(self, name: str, text: str) -> float:
        """Check a waiting time that may be 0, in milliseconds."""
        number = _parse_number(text)
        if number >= 0:
            return number
        self._add_problem(name, text, 'a number of milliseconds, 0 or more')
        return 1.0

    def check_count(self, name: str, text: str, low: int, high: int) -> int:
        """Check an integer within inclusive limits."""
        if text.isascii() and text.isdigit() and low <= int(text) <= high:
            return int(text)
        self._add_problem(name, text, f'an integer from {low} to {high}')
        return low

    def raise_problems(self) -> None:
        """Exit with status 2 and a list of all problems, if there are any.

        Raises
        ------
        click.UsageError
            Lists each invalid setting.
        """
        if self.problems:
            raise click.UsageError('\n'.join(map(str, self.problems)))

    def _add_problem(self, name: str, got: str, expected: str) -> None:
        self.problems.append(SettingProblem(name, got, expected))


def _parse_number(text: str) -> float:
    """Parse a finite number; return NaN, which fails every limit, otherwise."""
    try:
        number = float(text)
    except ValueError:
        return math.nan
    return number if math.isfinite(number) else math.nan
