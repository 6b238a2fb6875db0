"""Addresses, header lists and socket options for listeners and connections."""

import asyncio
import socket
import struct

from cowsliploom.protocol import split_address

HeaderList = list[tuple[str, str]]

DEAD_PEER_TIMEOUT_MS = 2500  # bytes unacknowledged for longer end a connection
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBES_MAX = 2
LINGER_ZERO = struct.pack('ii', 1, 0)
MS_PER_S = 1000
US_PER_MS = 1000
TCP_INFO_BYTES = 104
SRTT_OFFSET = 68  # of tcpi_rtt, the smoothed RTT in µs, in Linux's tcp_info


def set_dead_peer_timeout(
    sock: socket.socket, timeout_ms: int = DEAD_PEER_TIMEOUT_MS
) -> None:
    """Make the kernel close a connection whose peer no longer acknowledges.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    timeout_ms : int
        Time without an acknowledgement.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection and discard bytes that have not been sent.

    After a plain close the kernel goes on sending them, and a server behind a network
    partition would run a request long after its caller has been answered.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    transport.abort()


def smoothed_rtt_ms(sock: socket.socket) -> float:
    """Return the smoothed round-trip time of the kernel; 0 if unavailable."""
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0
    if len(tcp_info) < SRTT_OFFSET + 4:
        return 0
    rtt_us: int = struct.unpack_from('I', tcp_info, SRTT_OFFSET)[0]
    return rtt_us / US_PER_MS


def listening_socket(address: str) -> socket.socket:
    """Return a socket bound to ``host:port``; port 0 lets the system choose."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(split_address(address))
    return sock


def bound_address(sock: socket.socket) -> str:
    """Return the ``host:port`` that a socket is bound to."""
    return format_address(sock.getsockname())


def format_address(sockname: tuple[str, int] | None) -> str:
    """Return ``host:port``; empty without a socket name."""
    return f'{sockname[0]}:{sockname[1]}' if sockname else ''
