"""Replies of the backend server stand-in."""

from collections import deque
from dataclasses import replace
from http import HTTPStatus

from cowsliploom.protocol import (
    CallRefusal,
    Ran,
    RefusalReason,
    RunCall,
    RunReply,
    SearchReply,
)
from cowsliploom.standins._hits import expected_hits
from cowsliploom.standins._http import Reply, json_reply
from cowsliploom.standins._server_model import ServerModel, Ticket
from cowsliploom.standins._server_settings import MismatchKind

PREVIOUS_MAX = 8  # a mismatched reply is the oldest of this many earlier ones

STATUS_OF = {
    RefusalReason.SNAPSHOT_GONE: HTTPStatus.CONFLICT,
    RefusalReason.WRONG_SERVICE: HTTPStatus.CONFLICT,
    RefusalReason.SHED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalReason.COLD: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.EXPIRED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.FAILED: HTTPStatus.INTERNAL_SERVER_ERROR,
}


def refusal_reply(refusal: CallRefusal) -> Reply:
    """Build the reply to a refused call."""
    return json_reply(refusal, STATUS_OF[refusal.reason])


class Replies:
    """Builder of replies to executed calls, mismatched if a fault requires it.

    Parameters
    ----------
    model : ServerModel
        Server that executed the calls.
    """

    def __init__(self, model: ServerModel) -> None:
        self.model = model
        self._previous: deque[Reply] = deque(maxlen=PREVIOUS_MAX)

    def end(self, ticket: Ticket) -> Reply:
        """Build the reply to a call whose execution has ended."""
        if ticket.dropped:
            return self._refuse(ticket, RefusalReason.EXPIRED)
        if ticket.work and ticket.work.fails:
            return self._refuse(ticket, RefusalReason.FAILED)
        outcome = self._outcome(ticket)
        if ticket.work and ticket.work.mismatched:
            return self._mismatch(outcome)
        reply = json_reply(outcome)
        self._previous.append(reply)
        return reply

    def _refuse(self, ticket: Ticket, reason: RefusalReason) -> Reply:
        return refusal_reply(self.model.refuse(ticket.call, reason, Ran.UNKNOWN))

    def _outcome(self, ticket: Ticket) -> SearchReply | RunReply:
        call = ticket.call
        settings = self.model.settings
        if isinstance(call, RunCall) or ticket.snapshot is None:
            return RunReply(
                request_id=call.request_id,
                service=settings.service,
                outcome=f'done by {settings.server}',
                version=settings.version,
                incarnation=self.model.incarnation,
                state=self.model.state,
            )
        ranges = ticket.snapshot.ranges
        return SearchReply(
            request_id=call.request_id,
            service=settings.service,
            snapshot=call.snapshot,
            ranges=ranges,
            hits=expected_hits(settings.service, ranges, call.text, call.hits_max),
            version=settings.version,
            incarnation=self.model.incarnation,
            state=self.model.state,
        )

    def _mismatch(self, outcome: SearchReply | RunReply) -> Reply:
        match self.model.faults.crossing:
            case MismatchKind.PREVIOUS if self._previous:
                return self._previous[0]
            case MismatchKind.SNAPSHOT if isinstance(outcome, SearchReply):
                return json_reply(replace(outcome, snapshot=outcome.snapshot + 1))
        return json_reply(replace(outcome, request_id='crossed'))
