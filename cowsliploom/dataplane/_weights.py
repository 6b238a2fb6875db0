"""What objects weigh in memory, besides the bytes that they hold."""

from collections.abc import Collection

CONNECTION_BYTES = 8192  # transport, protocol, parser and their buffers
HEADER_BYTES = 192  # a tuple of two strings
REQUEST_BYTES = 1024
EXCHANGE_BYTES = 4096
SUB_REQUEST_BYTES = 3072  # one service of an exchange, with a call and its hedge


def headers_weight(headers: Collection[tuple[str, str]]) -> int:
    """Return what headers weigh."""
    texts = sum(len(name) + len(header) for name, header in headers)
    return texts + HEADER_BYTES * len(headers)


def exchange_weight(services: int) -> int:
    """Return what an exchange with so many services weighs, without its answers."""
    return EXCHANGE_BYTES + SUB_REQUEST_BYTES * services
