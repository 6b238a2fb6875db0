"""Headers by which backend servers ask for no new requests."""

import re

from cowsliploom.dataplane import HeaderList
from cowsliploom.forwarding import ServerNotice

LEAVING = 'server-leaving'
PAUSE = 'retry-after'  # in seconds, for this machine
NOTICE_HEADERS = frozenset((LEAVING, PAUSE))
IS_LEAVING = '1'
PAUSING_STATUS = 503
MS_PER_S = 1000
SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+', re.ASCII)
DIGITS_MAX = 12  # more seconds than any pause that is believed
SHOWN_MAX = 40  # characters of an unreadable header in the log


def read_notice(status: int, headers: HeaderList) -> ServerNotice | None:
    """Decode what a server asks for in the head of an answer; None for nothing.

    A pause is given as seconds, also as a fraction, and only with a rejection. Of
    several the longest counts. Anything else, such as a date, asks for nothing.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : list of (str, str)
        All its headers.

    Examples
    --------
    >>> read_notice(503, [('Retry-After', '2.5')])
    ServerNotice(is_leaving=False, pause_ms=2500.0, problem='')
    >>> read_notice(200, [('Retry-After', '2.5')]) is None
    True
    """
    named = [(name.lower(), header.strip()) for name, header in headers]
    leaving = [text for name, text in named if name == LEAVING]
    pauses = [text for name, text in named if name == PAUSE]
    if status != PAUSING_STATUS:
        pauses = []
    readable = [text for text in pauses if SECONDS.fullmatch(text)]
    problems = [text for text in leaving if text != IS_LEAVING]
    problems.extend(text for text in pauses if text not in readable)
    if not (leaving or pauses):
        return None
    return ServerNotice(
        IS_LEAVING in leaving,
        max((_seconds(text) * MS_PER_S for text in readable), default=None),
        problems[0][:SHOWN_MAX] if problems else '',
    )


def _seconds(text: str) -> float:
    """Return a number of seconds; one with too many digits is infinite."""
    whole = text.partition('.')[0]
    return float('inf') if len(whole) > DIGITS_MAX else float(text)
