"""Admin endpoints of the backend server stand-in: faults, logs and counters."""

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
from cowsliploom.standins._server_settings import ColdReset, ServerFaults, Silence


class BackendAdmin:
    """Handler of ``/admin/`` requests; the caller must hold the server's lock.

    Parameters
    ----------
    model : ServerModel
        Model that is read and modified.
    server : CountedServer
        HTTP server of the model, which tracks the connections.
    clock : Clock
        Monotonic clock for the start of leaving.
    """

    def __init__(self, model: ServerModel, server: CountedServer, clock: Clock) -> None:
        self.model = model
        self.server = server
        self.clock = clock
        self._silent_up_to = 0

    def answer(self, request: Request) -> Reply:
        """Answer one admin request."""
        match (request.method, request.path):
            case ('GET', '/admin/runlog'):
                return json_reply(self.model.server_log.run_log)
            case ('GET', '/admin/counters'):
                return json_reply(self.model.server_log.counters)
            case ('PUT', '/admin/faults'):
                return self._switch(decode_admin_body(request, ServerFaults))
            case ('PUT', '/admin/snapshots'):
                shape = tuple[SnapshotInfo, ...]
                self.model.snapshots = decode_admin_body(request, shape)
                return json_reply(self.model.snapshots)
            case ('PUT', '/admin/cold'):
                return self._begin_cold_start(decode_admin_body(request, ColdReset))
            case ('PUT', '/admin/leave'):
                self.model.leave(self.clock.now_ms())
                return json_reply(self.model.state)
        return problem_reply(HTTPStatus.NOT_FOUND, request.path)

    def is_unresponsive(self, peer_port: int) -> bool:
        """Return whether requests from a peer's port are never answered."""
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

    def _begin_cold_start(self, turn: ColdReset) -> Reply:
        current = self.model.incarnation
        self.model.begin_cold_start(
            uuid.uuid4().hex if turn.new_incarnation else current
        )
        return json_reply(turn)
