"""The controller's access to the stored states of version moves."""

import msgspec

from cowsliploom import platform
from cowsliploom.gateway._active_order import ActiveOrder, decode_state
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._stored_moves import STATE_PREFIX
from cowsliploom.members import MirrorItem, StoreMirror
from cowsliploom.platform.moves import render_move_status
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue, decode_json
from cowsliploom.rollout import MoveState, SwapState

STORE_TIMEOUT_MS = 1000
NOT_SENT = Unanswered(
    'move.write', 'store', maybe_applied=False, reason='move request ended'
)


class MoveStates:
    """Read and write the states of version moves in the store.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    mirror : StoreMirror
        Local copy of the store.
    log : LineLog
        Log of store calls that were not answered.
    """

    def __init__(
        self, store: platform.PlatformStore, mirror: StoreMirror, log: LineLog
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log

    async def read(
        self, service: str, active: ActiveOrder | None
    ) -> StoredValue | Absent | Unanswered:
        """Read the state of a move."""
        reply = await self._store.read(f'{STATE_PREFIX}{service}', STORE_TIMEOUT_MS)
        match reply:
            case None:
                return Absent(service)
            case platform.StoreUnanswered():
                return self._log_unanswered(reply)
        return _as_stored_value(service, active, reply)

    async def write(
        self,
        command: SwapState,
        active: ActiveOrder | None,
        vetoes: platform.KeyRevision,
    ) -> Swapped | Conflict | Unanswered:
        """Write a state and the status for the operator in one transaction.

        Nothing is written if the state or the stored veto has changed meanwhile.
        """
        state = decode_json(command.text, MoveState)
        if active is None or not active.matches(state):
            return NOT_SENT
        content = msgspec.json.encode(active.with_stored_times(state))
        writes = (
            platform.KeyWrite(f'{STATE_PREFIX}{command.move}', content),
            render_move_status(active.order, state.status),
        )
        expected = (
            platform.KeyRevision(writes[0].key, command.expected_version),
            vetoes,
        )
        reply = await self._store.write(expected, writes, STORE_TIMEOUT_MS)
        match reply:
            case platform.Written(revision):
                return Swapped(revision)
            case platform.ChangedMeanwhile():
                self._log.write('move', 'step refused', service=command.move)
                return Conflict(0)
            case _:
                return self._log_unanswered(reply)

    def _log_unanswered(self, reply: platform.StoreUnanswered) -> Unanswered:
        self._log.write(
            'move', 'store unanswered', step=reply.step, reason=reply.reason
        )
        return Unanswered(
            reply.step, reply.peer, maybe_applied=True, reason=reply.reason
        )

    async def confirm(self, active: ActiveOrder) -> None:
        """Write the state of an ended move again, to answer a repeated request."""
        service = active.order.service
        key = f'{STATE_PREFIX}{service}'
        item = self._mirror.get(key)
        state = decode_state(item.content) if item else None
        if item is not None and state is not None:
            status = render_move_status(active.order, state.status)
            writes = (platform.KeyWrite(key, item.content), status)
            expected = (platform.KeyRevision(key, item.revision),)
            reply = await self._store.write(expected, writes, STORE_TIMEOUT_MS)
            self._log.write('move', 'confirmed', service=service, outcome=str(reply))


def _as_stored_value(
    service: str, active: ActiveOrder | None, item: MirrorItem
) -> StoredValue:
    content = item.content
    state = decode_state(content)
    if state is not None and active is not None and active.matches(state):
        content = msgspec.json.encode(active.with_local_times(state))
    text = content.decode(errors='replace')
    return StoredValue(service, item.revision, text, 0)
