"""Loopback addresses: no two test processes use the same ones."""

import subprocess
import sys

from tests.processes.addresses import HOST_PREFIX, PREFIXES, reserve_host_prefix

PRINT_PREFIX = """
from tests.processes.addresses import reserve_host_prefix
print(reserve_host_prefix({first})[0])
"""


def prefix_of_other_process(first):
    """Return the prefix that another process gets when it starts at ``first``."""
    command = [sys.executable, '-c', PRINT_PREFIX.format(first=first)]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


def test_processes_that_look_in_the_same_place_get_different_prefixes():
    first = PREFIXES.index(HOST_PREFIX)
    assert prefix_of_other_process(first) != HOST_PREFIX


def test_prefix_is_free_again_once_its_socket_is_closed():
    prefix, lock = reserve_host_prefix(0)
    lock.close()
    again, lock = reserve_host_prefix(0)
    lock.close()
    assert again == prefix
