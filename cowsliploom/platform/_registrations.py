"""Registrations that backend servers write to the platform's store."""

from ipaddress import ip_address

import msgspec

from cowsliploom.forwarding import ServerRecord, ServerState
from cowsliploom.platform._document_checks import (
    LOGGED_CHARS_MAX,
    DocumentError,
    name_problem,
)
from cowsliploom.protocol import (
    AddressError,
    UnreadableError,
    decode_json,
    split_address,
)

SERVER_PREFIX = 'servers/'
SLOTS_MAX = 1_000_000
EXACT_INTEGER_MAX = 2**53  # integers up to this are exact in all JSON libraries
COLD_MAX_MS = 86_400_000.0  # no server stays cold for a day


class _WireServer(msgspec.Struct, rename='camel'):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    sequence: int
    born: int = 0


def decode_server(key: str, text: bytes) -> ServerRecord:
    """Decode the registration of a backend server.

    Raises
    ------
    DocumentError
        If a field is missing, of another type or out of range, or a header can't name
        the server.
    """
    try:
        wire = decode_json(text, _WireServer)
    except UnreadableError as error:
        raise DocumentError(key, error.reason) from error
    name = key.removeprefix(SERVER_PREFIX)
    problem = name_problem(name) or _server_problem(wire)
    if problem:
        raise DocumentError(key, problem)
    return ServerRecord(
        name=name,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        version=wire.version,
        slots=wire.slots,
        state=ServerState(wire.state),
        cold_ms=max(0, wire.cold_remaining_ms),
        sequence=wire.sequence,
        born_ms=wire.born,
    )


def _server_problem(wire: _WireServer) -> str:
    if not (wire.service and _is_address(wire.address)):
        return (
            f'service missing or address invalid: {wire.address[:LOGGED_CHARS_MAX]!r}'
        )
    if wire.state not in set(ServerState):
        return f'unknown state {wire.state[:LOGGED_CHARS_MAX]!r}'
    numbers = (
        ('slots', wire.slots, 1, SLOTS_MAX),
        ('sequence', wire.sequence, 0, EXACT_INTEGER_MAX),
        ('born', wire.born, 0, EXACT_INTEGER_MAX),
        ('coldRemainingMs', wire.cold_remaining_ms, -EXACT_INTEGER_MAX, COLD_MAX_MS),
    )
    for name, number, lower, upper in numbers:
        if not lower <= number <= upper:
            return f'{name} must be from {lower} to {upper}'
    return ''


def _is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port; no names are looked up."""
    try:
        host, port = split_address(text)
        ip_address(host)
    except (AddressError, ValueError):
        return False
    return port > 0
