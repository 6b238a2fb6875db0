"""Questions to an entry VM: where a request would go."""

from collections.abc import Iterable
from typing import Any
from urllib.parse import urlsplit

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.cli._output import render_table

PATH = '/v1/where'
TIMEOUT_S = 5
OK = 200

Answer = dict[str, Any]


def ask_where(vm: str, method: str, url: str, headers: Iterable[str]) -> Answer:
    """Return what an entry VM would do with a request.

    Parameters
    ----------
    vm : str
        Control address of the entry VM, as ``host:port``.
    method, url : str
        Request; the host of the URL selects the route.
    headers : iterable of str
        Other headers, as ``name: text``.

    Raises
    ------
    CtlError
        The request is not valid, or the VM doesn't answer.
    """
    parts = urlsplit(url)
    if not (parts.netloc and parts.path):
        raise CtlError(ExitCode.INVALID, f'{url}: expected http://HOST/PATH')
    target = f'{parts.path}?{parts.query}' if parts.query else parts.path
    question = {
        'method': method.upper(),
        'host': parts.netloc,
        'target': target,
        'headers': [_split_header(header) for header in headers],
    }
    try:
        response = urllib3.request(
            'POST',
            f'http://{vm}{PATH}',
            body=msgspec.json.encode(question),
            timeout=TIMEOUT_S,
            retries=False,
        )
    except HTTPError as error:
        raise CtlError(ExitCode.FAILED, f'{vm}: {error}') from error
    if response.status != OK:
        reason = response.data.decode(errors='replace').strip()
        raise CtlError(ExitCode.FAILED, f'{vm}: status {response.status} {reason}')
    return msgspec.json.decode(response.data, type=Answer)


def render_where(answer: Answer) -> str:
    """Format an answer as text, with a table of the servers."""
    version = answer['version']
    if answer['outcome']:
        return f'version {version}: {answer["outcome"]}: {answer["reason"]}'
    workspace = answer['workspace'] or 'none'
    rows = [
        (
            destination['service'],
            f'{destination["share"]:.2f}',
            destination['relay'] or 'this VM',
            candidate['server'],
            candidate['data_centre'],
            candidate['standing'],
            f'{candidate["expected_ms"]:.1f}',
            candidate['open_calls'],
            f'{candidate["load_age_ms"]:.0f}',
        )
        for destination in answer['destinations']
        for candidate in destination['candidates']
    ]
    columns = ('SERVICE', 'SHARE', 'CALLED BY', 'SERVER', 'DATA CENTRE', 'STANDING')
    head = (*columns, 'EXPECTED MS', 'OPEN', 'LOAD AGE MS')
    title = f'version {version}, route {answer["route"]}, workspace {workspace}'
    return f'{title}\n{render_table(head, rows)}'


def _split_header(header: str) -> tuple[str, str]:
    name, colon, text = header.partition(':')
    if not (colon and name.strip()):
        raise CtlError(ExitCode.INVALID, f'{header}: expected NAME: TEXT')
    return name.strip(), text.strip()
