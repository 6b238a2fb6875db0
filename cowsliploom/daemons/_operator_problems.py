"""Problem responses of the operator daemon."""

from http import HTTPStatus

from cowsliploom.adapters import (
    FieldProblem,
    HttpResponse,
    Problem,
    problem_response,
)
from cowsliploom.ports import Unanswered
from cowsliploom.resources import (
    Change,
    Invalid,
    Missing,
    NotAccepted,
    Raced,
    ResourceProblem,
)

RETRY_AFTER_MS = 1000.0  # a store that has recovered answers immediately


def refuse(status: HTTPStatus, detail: str, step: str) -> HttpResponse:
    """Refuse a request that had no effect."""
    problem = Problem(status.phrase, status.value, detail, step, ran='no')
    return problem_response(problem)


def refuse_method(allowed: str) -> HttpResponse:
    """Refuse a method that a path doesn't support."""
    status = HTTPStatus.METHOD_NOT_ALLOWED
    detail = f'expected one of {allowed}'
    problem = Problem(status.phrase, status.value, detail, 'operator.route', ran='no')
    return problem_response(problem, (('Allow', allowed),))


def refuse_temporarily(detail: str, step: str) -> HttpResponse:
    """Refuse a request that may be retried soon."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    problem = Problem(
        status.phrase,
        status.value,
        detail,
        step,
        ran='no',
        retry_after_ms=RETRY_AFTER_MS,
    )
    return problem_response(problem)


def refuse_documents(problems: tuple[ResourceProblem, ...]) -> HttpResponse:
    """Refuse documents, listing each invalid field."""
    status = HTTPStatus.UNPROCESSABLE_ENTITY
    fields = tuple(
        FieldProblem(wrong.document, wrong.field, wrong.got, wrong.expected)
        for wrong in problems
    )
    problem = Problem(
        'The resources are not valid; nothing was changed.',
        status.value,
        '; '.join(map(str, problems)),
        'operator.validate',
        ran='no',
        problems=fields,
    )
    return problem_response(problem)


def unanswered_read(failure: Unanswered) -> HttpResponse:
    """Report that the configuration can't be read and none is cached."""
    status = HTTPStatus.SERVICE_UNAVAILABLE
    problem = Problem(
        'The store does not answer.',
        status.value,
        failure.reason,
        failure.step,
        failure.peer,
        retry_after_ms=RETRY_AFTER_MS,
    )
    return problem_response(problem)


def outcome_response(
    change: Change, outcome: Raced | Missing | Invalid | NotAccepted
) -> HttpResponse:
    """Report why a change is not known to be stored.

    Parameters
    ----------
    change : Change
        Requested change.
    outcome : Raced, Missing, Invalid or NotAccepted
        Outcome of the change.

    Returns
    -------
    HttpResponse
        409, 404, 422, 503 (not applied) or 504 (maybe applied).
    """
    match outcome:
        case Raced(kind, name, revision):
            return _revision_conflict(f'{kind}/{name}', revision)
        case Missing(kind, name):
            detail = f'{kind}/{name} does not exist'
            return refuse(HTTPStatus.NOT_FOUND, detail, 'operator.apply')
        case Invalid(problems):
            return refuse_documents(problems)
        case NotAccepted():
            return _not_accepted(change, outcome)


def _revision_conflict(document: str, revision: int) -> HttpResponse:
    problem = Problem(
        'The resource is not at the expected revision; nothing was changed.',
        HTTPStatus.CONFLICT.value,
        f'{document} is at revision {revision} (0: it does not exist)',
        'operator.apply',
        ran='no',
        revision=revision,
    )
    return problem_response(problem)


def _not_accepted(change: Change, outcome: NotAccepted) -> HttpResponse:
    title = 'The store does not answer; nothing was changed.'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if outcome.maybe:
        title = 'The change may have been applied: retry with the same Change-Id.'
        status = HTTPStatus.GATEWAY_TIMEOUT
    problem = Problem(
        title,
        status.value,
        outcome.reason,
        outcome.step,
        outcome.peer,
        ran='unknown' if outcome.maybe else 'no',
        retry_after_ms=RETRY_AFTER_MS,
        change_id=change.change_id,
    )
    return problem_response(problem)
