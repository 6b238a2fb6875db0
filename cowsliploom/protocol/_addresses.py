"""Parsing of addresses from untrusted sources."""

PORT_MAX = 65_535
PORT_DIGITS_MAX = 5
HOST_CHARS_MAX = 253  # longest host name
SHOWN_CHARS_MAX = 80  # longest excerpt of an invalid address in an error message


class AddressError(OSError):
    """Report an invalid address; an ``OSError``, like a failed connection."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f'address: expected host:port with a port up to {PORT_MAX}, '
            f'got {address[:SHOWN_CHARS_MAX]!r}'
        )


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port; strips the brackets of IPv6 addresses.

    Raises
    ------
    AddressError
        If the host is too long or not ASCII, or the port is no number in range.

    Examples
    --------
    >>> from cowsliploom.protocol import split_address
    >>> split_address('127.0.0.1:8100')
    ('127.0.0.1', 8100)
    """
    host, colon, port = address.rpartition(':')
    is_host = host.isascii() and len(host) <= HOST_CHARS_MAX
    is_port = port.isascii() and port.isdigit() and len(port) <= PORT_DIGITS_MAX
    if not (colon and is_host and is_port and int(port) <= PORT_MAX):
        raise AddressError(address)
    return host.removeprefix('[').removesuffix(']'), int(port)
