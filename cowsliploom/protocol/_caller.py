"""Messages between callers and an entry VM.

``POST /v1/searches/{search}`` takes ``SearchRequest`` and returns
``SearchAnswer``; ``POST /v1/services/{service}/requests`` takes ``RunRequest``
and returns ``RunAnswer``. Errors are RFC 9457 problem documents.
"""

from dataclasses import dataclass

from cowsliploom.protocol._backend import Hit


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Search for documents that contain ``text``."""

    text: str


@dataclass(frozen=True, slots=True)
class AnswerCoverage:
    """Part of the snapshot that an answer covers, in documents."""

    covered_docs: int
    total_docs: int
    missing_services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Return the hits from one snapshot, best first."""

    request_id: str
    snapshot: int
    coverage: AnswerCoverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Ask a service to run a non-idempotent request."""

    payload: str


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """Return the outcome of a non-idempotent request.

    ``replayed`` is true if the outcome comes from the record of an earlier run and
    the request is not run again. ``outcome_kept`` is false if the request ran but its
    outcome was too long to record; ``outcome`` is then empty.
    """

    request_id: str
    outcome: str
    replayed: bool
    outcome_kept: bool = True
