"""What listeners and kept connections share: addresses, headers, socket options."""

import asyncio
import socket
import struct

from cowsliploom.protocol import split_address


HeaderList = list[tuple[str, str]]

SILENT_TIMEOUT_MS = 2500  # unacknowledged bytes for longer end a connection
PROBE_IDLE_S = 2
PROBE_GAP_S = 1
PROBES_MAX = 2
LINGER_NONE = struct.pack('ii', 1, 0)
MS_PER_S = 1000
US_PER_MS = 1000
TCP_INFO_BYTES = 104
ROUND_TRIP_AT = 68  # of the smoothed round trip in Linux's tcp_info, in microseconds


def set_dead_peer_timeout(
    raw: socket.socket, timeout_ms: int = SILENT_TIMEOUT_MS
) -> None:
    """Let the kernel end a connection whose other side has gone silent.

    Parameters
    ----------
    raw : socket.socket
        A TCP socket.
    timeout_ms : int
        Time without an acknowledgement, in milliseconds.
    """
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_GAP_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection, so that bytes which are still under way are lost.

    A connection that is only closed goes on sending them, and a server behind a cut
    would run a request long after its caller has been answered.
    """
    raw = transport.get_extra_info('socket')
    if raw is not None and not transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    transport.abort()


def round_trip_ms(raw: socket.socket) -> float:
    """Return the round trip as the kernel knows it; 0 where it doesn't tell."""
    try:
        known = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(known) < ROUND_TRIP_AT + 4:
        return 0
    round_trip_us: int = struct.unpack_from('I', known, ROUND_TRIP_AT)[0]
    return round_trip_us / US_PER_MS


def listening_socket(address: str) -> socket.socket:
    """Return a socket bound to ``host:port``; port 0 lets the system choose."""
    raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    raw.bind(split_address(address))
    return raw


def bound_address(raw: socket.socket) -> str:
    """Return the ``host:port`` that a socket is bound to."""
    return address_text(raw.getsockname())


def address_text(place: tuple[str, int] | None) -> str:
    """Return ``host:port``; empty where the socket tells nothing."""
    return f'{place[0]}:{place[1]}' if place else ''
