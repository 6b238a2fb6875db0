"""Gateway process that connects to its peers through ``weak_links``."""

import os
import sys
from pathlib import Path
from unittest import mock

from cowsliploom.dataplane import _connection_pool
from cowsliploom.gateway.__main__ import main
from cowsliploom.platform import SETTINGS_VARIABLE
from cowsliploom.protocol import split_address
from tests.processes.weak_links import LINK_PORTS, PEERS_PORT


def own_number() -> int:
    """Return the number of this gateway, from the name of its settings file."""
    return int(Path(os.environ[SETTINGS_VARIABLE]).stem.removeprefix('vm-'))


def split_linked_address(address: str) -> tuple[str, int]:
    """Return host and port; for a peer's address, those of the link to it."""
    host, port = split_address(address)
    return host, LINK_PORTS + own_number() if port == PEERS_PORT else port


if __name__ == '__main__':
    with mock.patch.object(_connection_pool, 'split_address', split_linked_address):
        sys.exit(main())
