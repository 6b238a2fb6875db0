"""Answers to operators who ask where a request would go."""

import msgspec

from cowsliploom import platform
from cowsliploom.dataplane import HttpRequest
from cowsliploom.forwarding import RequestDispatcher, explain_request
from cowsliploom.protocol import UnreadableError, decode_json

PATH = '/v1/where'


class WhereQuestion(msgspec.Struct, frozen=True):
    """A request that is not sent.

    Parameters
    ----------
    method, host, target : str
        Request line and host.
    headers : tuple of (str, str)
        Other headers.
    """

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()


def answer_where(
    dispatcher: RequestDispatcher, http: HttpRequest, now_ms: float
) -> None:
    """Answer a question; nothing changes by it, and the key is not repeated."""
    try:
        question = decode_json(http.body, WhereQuestion)
    except UnreadableError as error:
        http.answer(400, [], f'{error.reason}\n'.encode())
        return
    request = platform.read_request(
        question.method,
        question.target,
        [('Host', question.host), *question.headers],
        b'',
        now_ms,
        has_workspaces=bool(dispatcher.table.workspaces),
    )
    explanation = explain_request(dispatcher, request)
    headers = [('Content-Type', 'application/json')]
    http.answer(200, headers, msgspec.json.encode(explanation))
