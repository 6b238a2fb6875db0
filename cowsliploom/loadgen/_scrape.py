"""Scraping of entry VM counters and of backend server run logs."""

import re
from collections import Counter
from collections.abc import Iterable

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from cowsliploom.loadgen._results import CounterDelta
from cowsliploom.standins import RunLog

COUNTER_PATTERN = re.compile(
    r'^cowsliploom_(?P<name>\w+)_total(?:\{[^}]*\})? (?P<count>\S+)$', re.MULTILINE
)
TIMEOUT_S = 10


class ScrapeError(Exception):
    """Raised if an address cannot be read, with the failed step."""

    def __init__(self, step: str, peer: str, reason: str) -> None:
        super().__init__(f'{step} {peer}: {reason}')
        self.step = step
        self.peer = peer


def parse_counters(text: str) -> Counter[str]:
    """Sum the counters of each name over all labels."""
    counters: Counter[str] = Counter()
    for match in COUNTER_PATTERN.finditer(text):
        counters[match.group('name')] += int(float(match.group('count')))
    return counters


def read_counters(entries: Iterable[str]) -> Counter[str]:
    """Sum the counters of entry VMs, skipping those that do not answer."""
    counters: Counter[str] = Counter()
    for entry in entries:
        try:
            text = _get('metrics', entry, '/metrics').decode()
        except ScrapeError:
            continue
        counters.update(parse_counters(text))
    return counters


def counter_deltas(
    before: Counter[str], after: Counter[str]
) -> tuple[CounterDelta, ...]:
    """Return the change of each counter that changed."""
    return tuple(
        CounterDelta(name, after[name] - before[name])
        for name in sorted(after)
        if after[name] != before[name]
    )


def read_run_logs(backends: Iterable[str]) -> tuple[RunLog, ...]:
    """Read the run logs of backend server stand-ins.

    Raises
    ------
    ScrapeError
        If a log cannot be read: the check is only valid with all logs.
    """
    return tuple(_read_run_log(backend) for backend in backends)


def _read_run_log(backend: str) -> RunLog:
    body = _get('runlog', backend, '/admin/runlog')
    try:
        return msgspec.json.decode(body, type=RunLog)
    except msgspec.MsgspecError as error:
        raise ScrapeError('runlog', backend, str(error)) from error


def _get(step: str, address: str, path: str) -> bytes:
    try:
        response = urllib3.request(
            'GET', f'http://{address}{path}', timeout=TIMEOUT_S, retries=False
        )
    except HTTPError as error:
        raise ScrapeError(step, address, str(error)) from error
    if response.status != 200:
        raise ScrapeError(step, address, f'status {response.status}')
    return response.data
