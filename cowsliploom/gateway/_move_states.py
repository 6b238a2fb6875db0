"""The controller's access to the stored states of version moves."""

import msgspec

from cowsliploom import platform
from cowsliploom.gateway._active_order import ActiveOrder, decode_state
from cowsliploom.gateway._known_states import KnownStates
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

    Attributes
    ----------
    known : KnownStates
        Latest states, also of those that a restored store lacks.
    """

    def __init__(
        self, store: platform.PlatformStore, mirror: StoreMirror, log: LineLog
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log
        self.known = KnownStates()

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
        return self._as_stored_value(service, active, reply)

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
        stored = active.with_stored_times(state)
        content = msgspec.json.encode(stored)
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
                self.known.merge(command.move, stored, revision)
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

    def is_lost(self, active: ActiveOrder) -> bool:
        """Return whether the store has lost the known state of a move.

        It lacks the state, or holds an earlier one at a later revision.
        """
        service = active.order.service
        item = self._mirror.get(f'{STATE_PREFIX}{service}')
        if item is not None:
            self._merge(active, item)
        known = self.known.get(service, active.order.to_version)
        if known is None:
            return False
        if item is None:
            return known.revision <= self._mirror.revision
        return known.revision < item.revision

    async def write_again(self, active: ActiveOrder, event: str) -> None:
        """Write the known state of a move again, with the status for the operator.

        Parameters
        ----------
        active : ActiveOrder
            Move request of the state.
        event : str
            Event of the log line: why the state is written again.
        """
        service = active.order.service
        key = f'{STATE_PREFIX}{service}'
        item = self._mirror.get(key)
        known = self.known.get(service, active.order.to_version)
        if known is None:
            return
        state = known.state
        status = render_move_status(active.order, state.status)
        writes = (platform.KeyWrite(key, msgspec.json.encode(state)), status)
        expected = (platform.KeyRevision(key, item.revision if item else 0),)
        reply = await self._store.write(expected, writes, STORE_TIMEOUT_MS)
        self._log.write(
            'move',
            event,
            service=service,
            status=state.status.value,
            step=state.step,
            outcome=str(reply),
        )

    def _as_stored_value(
        self, service: str, active: ActiveOrder | None, item: MirrorItem
    ) -> StoredValue:
        content = item.content
        state = None if active is None else self._merge(active, item)
        if active is not None and state is not None:
            content = msgspec.json.encode(active.with_local_times(state))
        text = content.decode(errors='replace')
        return StoredValue(service, item.revision, text, 0)

    def _merge(self, active: ActiveOrder, item: MirrorItem) -> MoveState | None:
        """Return the state to go by; None if the stored one is of another move."""
        state = decode_state(item.content)
        if state is None or not active.matches(state):
            return None
        return self.known.merge(active.order.service, state, item.revision)
