"""Calls on the platform's store from worker threads."""

from collections.abc import Callable
from typing import TypeVar

from cowsliploom.ports import Unanswered

Answer = TypeVar('Answer')


def call_store(step: str, call: Callable[[], Answer]) -> Answer | Unanswered:
    """Call the store; an exception in the adapter counts as an outage.

    Parameters
    ----------
    step : str
        Step named in the error, such as ``'claim.swap'``.
    call : callable
        Calls the store.
    """
    try:
        return call()
    except Exception as error:
        return Unanswered(step, 'store', maybe_applied=True, reason=repr(error))
