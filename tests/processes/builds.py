"""Which checkout of the project each process of a test runs.

``OTHER_CHECKOUT=FOLDER`` lets every second process run another checkout, with the
environment in its ``.venv``, beside processes of this one. ``OTHER_PARITY=0`` swaps
the two. Without it all processes run this checkout.
"""

import os
import sys
from dataclasses import dataclass
from pathlib import Path

HERE = Path(__file__).resolve().parents[2]


@dataclass(frozen=True)
class Build:
    """Hold an interpreter and the checkout whose code it runs."""

    python: str
    folder: Path


def select_build(number: int) -> Build:
    """Return the build that a test's process of this number runs."""
    other = os.environ.get('OTHER_CHECKOUT')
    parity = int(os.environ.get('OTHER_PARITY', '1'))
    if other is None or number % 2 != parity:
        return Build(sys.executable, HERE)
    folder = Path(other).resolve()
    return Build(str(folder / '.venv' / 'bin' / 'python'), folder)
