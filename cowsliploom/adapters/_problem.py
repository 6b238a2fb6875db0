"""Problem details in JSON (RFC 9457), the error format of all HTTP interfaces."""

import math
from dataclasses import dataclass

import msgspec

from cowsliploom.adapters._http_messages import HttpResponse
from cowsliploom.protocol import decode_json

PROBLEM_TYPE = 'application/problem+json'
MS_PER_S = 1000
NO_RETRY_MS = float(0)  # msgspec omits a default only if the type matches too


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """One invalid field in a document of a request."""

    document: str
    field: str
    got: str
    expected: str


@dataclass(frozen=True, slots=True)
class Problem:
    """An error, with the step and peer at which it occurred.

    Parameters
    ----------
    title : str
        Short summary, constant for each kind of problem.
    status : int
        HTTP status code.
    detail : str
        Explanation of this occurrence.
    step, peer : str
        Operation and address at which it occurred; ``peer`` may be empty.
    ran : str
        ``no`` if no part of the request can have been executed, else ``unknown``;
        empty for read-only requests.
    retry_after_ms : float
        Time after which a retry may succeed, in milliseconds; 0 if none is advised.
    revision : int or None
        Current revision, if the request lost a race with another change.
    change_id : str
        Identifier to retry the change with if its outcome is unknown.
    request_id : str
        Identifier of the request.
    problems : tuple of FieldProblem
        Invalid fields.
    """

    title: str
    status: int
    detail: str = ''
    step: str = ''
    peer: str = ''
    ran: str = ''
    retry_after_ms: float = 0
    revision: int | None = None
    change_id: str = ''
    request_id: str = ''
    problems: tuple[FieldProblem, ...] = ()


class _Details(msgspec.Struct, omit_defaults=True, frozen=True):
    """Members in the order and form of RFC 9457; empty ones are omitted."""

    title: str
    status: int
    type: str = 'about:blank'
    detail: str = ''
    step: str = ''
    peer: str = ''
    ran: str = ''
    retry_after_ms: float = NO_RETRY_MS
    revision: int | None = None
    change_id: str = ''
    request_id: str = ''
    problems: tuple[FieldProblem, ...] = ()


def encode_problem(problem: Problem) -> bytes:
    """Encode a problem; members without a value are omitted.

    Parameters
    ----------
    problem : Problem
        Problem to encode.

    Returns
    -------
    bytes
        JSON text of type ``application/problem+json``.
    """
    return msgspec.json.encode(msgspec.convert(problem, _Details, from_attributes=True))


def decode_problem(body: bytes) -> Problem | None:
    """Decode a problem; returns None if the body is not one."""
    try:
        return decode_json(body, Problem)
    except msgspec.MsgspecError:
        return None


def problem_response(
    problem: Problem, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Build the HTTP response for a problem.

    Parameters
    ----------
    problem : Problem
        Problem to report.
    headers : tuple of (str, str), default ()
        Additional headers.

    Returns
    -------
    HttpResponse
        Response, with a ``Retry-After`` header if ``retry_after_ms`` is positive.
    """
    if problem.retry_after_ms > 0:
        retry_after_s = math.ceil(problem.retry_after_ms / MS_PER_S)
        headers = (*headers, ('Retry-After', str(retry_after_s)))
    return HttpResponse(problem.status, encode_problem(problem), PROBLEM_TYPE, headers)
