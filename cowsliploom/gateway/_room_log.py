"""Log lines and gauges on the room that a process has for others."""

from cowsliploom.dataplane import Admission, Use
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics


class RoomLog:
    """Report what was ended, paused or refused for lack of room.

    Parameters
    ----------
    admission : Admission
        Account of the process.
    log : LineLog
        Receives a line for each time with changes, at most.
    metrics : Metrics
        Receives the gauges.
    """

    def __init__(self, admission: Admission, log: LineLog, metrics: Metrics) -> None:
        self._admission = admission
        self._log = log
        self._metrics = metrics
        self._shed = 0
        self._waited = (0, 0)

    def report(self) -> None:
        """Log what has happened since the last time, if anything."""
        admission = self._admission
        if admission.shed != self._shed:
            self._log_shed(admission.shed - self._shed)
            self._shed = admission.shed
        waited = (admission.pauses, admission.refused)
        if waited != self._waited:
            self._log_waited(waited[0] - self._waited[0], waited[1] - self._waited[1])
            self._waited = waited

    def set_gauges(self) -> None:
        """Set the gauges to what is held now."""
        admission, room = self._admission, self._admission.room
        gauges = {
            'caller_connections': room.descriptors[Use.CALLERS],
            'caller_held_bytes': room.held_bytes - room.work_bytes,
            'caller_connections_shed': admission.shed,
            'room_work_bytes': room.work_bytes,
            'room_waiting': admission.waiting,
            'room_pauses': admission.pauses,
            'room_refused': admission.refused,
            **{f'descriptors_{use.value}': room.descriptors[use] for use in Use},
        }
        for name, level in gauges.items():
            self._metrics.set_gauge(name, level)

    def _log_shed(self, shed: int) -> None:
        room = self._admission.room
        self._log.write(
            'daemon',
            'connections shed',
            shed=shed,
            connections=room.descriptors.total() - room.descriptors[Use.CALLS],
            held_bytes=round(room.held_bytes),
            ending_bytes=round(room.ending_bytes),
            descriptors=room.descriptors.total(),
        )

    def _log_waited(self, pauses: int, refused: int) -> None:
        room = self._admission.room
        self._log.write(
            'daemon',
            'room short',
            pauses=pauses,
            refused=refused,
            waiting=self._admission.waiting,
            held_bytes=round(room.held_bytes),
            work_bytes=round(room.work_bytes),
            descriptors=room.descriptors.total(),
        )
