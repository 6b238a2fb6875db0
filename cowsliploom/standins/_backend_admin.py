"""Fault switches, logs and counters of the backend server stand-in."""

import uuid
from http import HTTPStatus

from cowsliploom.ports import Clock
from cowsliploom.protocol import SnapshotInfo
from cowsliploom.standins._connections import CountedServer
from cowsliploom.standins._http import (
    Reply,
    Request,
    decode_admin_body,
    json_reply,
    problem_reply,
)
from cowsliploom.standins._server_model import ServerModel
from cowsliploom.standins._server_settings import ColdTurn, ServerFaults, Silence


class BackendAdmin:
    """Answer ``/admin/`` calls on one server; its caller holds the server's lock.

    Parameters
    ----------
    model : ServerModel
        Server that is switched and read.
    server : CountedServer
        Its connections.
    clock : Clock
        Its ``now_ms`` times the word to leave.
    """

    def __init__(self, model: ServerModel, server: CountedServer, clock: Clock) -> None:
        self.model = model
        self.server = server
        self.clock = clock
        self._silent_up_to = 0

    def answer(self, request: Request) -> Reply:
        """Answer one call."""
        match (request.method, request.path):
            case ('GET', '/admin/runlog'):
                return json_reply(self.model.journal.run_log)
            case ('GET', '/admin/counters'):
                return json_reply(self.model.journal.counters)
            case ('PUT', '/admin/faults'):
                return self._switch(decode_admin_body(request, ServerFaults))
            case ('PUT', '/admin/snapshots'):
                shape = tuple[SnapshotInfo, ...]
                self.model.snapshots = decode_admin_body(request, shape)
                return json_reply(self.model.snapshots)
            case ('PUT', '/admin/cold'):
                return self._turn_cold(decode_admin_body(request, ColdTurn))
            case ('PUT', '/admin/leave'):
                self.model.leave(self.clock.now_ms())
                return json_reply(self.model.state)
        return problem_reply(HTTPStatus.NOT_FOUND, request.path)

    def is_silent(self, peer_port: int) -> bool:
        """Tell whether calls from a peer's port are never answered."""
        silent = self.model.faults.silent
        if silent is not Silence.EXISTING:
            return silent is Silence.ALL
        connection = self.server.connection_from(peer_port)
        return connection is not None and connection.number <= self._silent_up_to

    def _switch(self, faults: ServerFaults) -> Reply:
        if self.model.faults.silent is not Silence.EXISTING:
            self._silent_up_to = self.server.last_number
        self.model.faults = faults
        return json_reply(faults)

    def _turn_cold(self, turn: ColdTurn) -> Reply:
        kept = self.model.incarnation
        self.model.turn_cold(uuid.uuid4().hex if turn.new_incarnation else kept)
        return json_reply(turn)
