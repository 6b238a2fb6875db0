"""Command-line options, combined in one decorator."""

from collections.abc import Callable
from typing import Any, TypeVar

import click

Command = TypeVar('Command', bound=Callable[..., Any])

CLICK_PARAMS = '__click_params__'  # where click's decorators collect options


class OptionSet:
    """Add options to a command, in the order in which its help lists them."""

    def __init__(self) -> None:
        self._options: list[click.Option] = []

    def text(self, flag: str, default: str, metavar: str, help_text: str) -> None:
        """Add an option with a default."""
        self._options.append(
            click.Option(
                [flag],
                default=default,
                show_default=True,
                metavar=metavar,
                help=help_text,
            )
        )

    def required(self, flag: str, metavar: str, help_text: str) -> None:
        """Add a required option; the settings checks report a missing one."""
        option = click.Option(
            [flag],
            default='',
            show_default=False,
            metavar=metavar,
            help=f'{help_text}  [required]',
        )
        self._options.append(option)

    def repeated(self, flag: str, metavar: str, help_text: str) -> None:
        """Add an option that may be repeated."""
        self._options.append(
            click.Option([flag], multiple=True, metavar=metavar, help=help_text)
        )

    def __call__(self, command: Command) -> Command:
        """Decorate a command."""
        # click reads the list from its end, as decorators apply in reverse order.
        known = getattr(command, CLICK_PARAMS, [])
        setattr(command, CLICK_PARAMS, [*known, *reversed(self._options)])
        return command
