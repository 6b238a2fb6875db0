"""Loopback addresses that one test process has for itself."""

import itertools
import os
import socket

LOCK_PORT = 18_099  # used by nothing else
LOCK_HOST = 254
PREFIXES = tuple(f'127.{high}.{low}' for high in range(8) for low in range(1, 255))


def reserve_host_prefix(first: int) -> tuple[str, socket.socket]:
    """Return three bytes of loopback addresses that no other test process uses.

    Parameters
    ----------
    first : int
        Where to start looking; processes that start elsewhere seldom meet.

    Returns
    -------
    tuple of str and socket
        The prefix, and the socket that reserves it until it is closed.
    """
    start = first % len(PREFIXES)
    for prefix in itertools.chain(PREFIXES[start:], PREFIXES[:start]):
        lock = socket.socket()
        try:
            lock.bind((f'{prefix}.{LOCK_HOST}', LOCK_PORT))
        except OSError:
            lock.close()
            continue
        lock.listen()
        return prefix, lock
    raise RuntimeError(f'all {len(PREFIXES)} prefixes of loopback addresses are in use')


HOST_PREFIX, _LOCK = reserve_host_prefix(os.getpid())
