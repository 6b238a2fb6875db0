"""Messages between callers and an entry VM.

``POST /v1/searches/{search}`` takes ``SearchRequest`` and returns
``SearchAnswer``; ``POST /v1/services/{service}/requests`` takes ``RunRequest``
and returns ``RunAnswer``. Errors are RFC 9457 problem documents.
"""

from dataclasses import dataclass

from cowsliploom.protocol._backend import Hit


@dataclass(frozen=True, slots=True)
class SearchRequest:
    """Ask for documents that hold ``text``."""

    text: str


@dataclass(frozen=True, slots=True)
class AnswerCoverage:
    """Tell how much of the snapshot an answer covers, in documents."""

    covered_docs: int
    total_docs: int
    missing_services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Return the hits of one snapshot, best first."""

    request_id: str
    snapshot: int
    coverage: AnswerCoverage
    hits: tuple[Hit, ...]


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Ask a service for a non-idempotent piece of work."""

    payload: str


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """Return the outcome; ``replayed`` marks a recorded one, not run again.

    ``outcome_kept`` is false when the request ran and its outcome was too long to
    be recorded; ``outcome`` is then empty.
    """

    request_id: str
    outcome: str
    replayed: bool
    outcome_kept: bool = True
