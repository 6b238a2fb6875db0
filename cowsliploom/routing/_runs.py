"""What a failure says about a non-idempotent request."""

from cowsliploom.protocol import Ran
from cowsliploom.routing._messages import CallFailed, CallRefused


def read_ran(event: CallRefused | CallFailed) -> Ran:
    """Tell whether the call may have run.

    Notes
    -----
    A refusal that names another request says nothing about this one.
    """
    if isinstance(event, CallFailed):
        return event.ran
    if event.refusal.request_id != event.call_id:
        return Ran.UNKNOWN
    return event.refusal.ran
