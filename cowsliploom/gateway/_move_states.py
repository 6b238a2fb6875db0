"""The store's states of version moves, as the controller reads and writes them."""

import msgspec

from cowsliploom import platform
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._ordered import Ordered, decode_state
from cowsliploom.gateway._stored_moves import STATE_PREFIX
from cowsliploom.members import MirrorItem, StoreMirror
from cowsliploom.platform.moves import render_move_status
from cowsliploom.ports import Absent, Conflict, Swapped, Unanswered
from cowsliploom.protocol import StoredValue, decode_json
from cowsliploom.rollout import MoveState, SwapState

STORE_TIMEOUT_MS = 1000
NOT_SENT = Unanswered('move.write', 'store', maybe_applied=False, reason='order gone')


class MoveStates:
    """Read and write how far moves are.

    Parameters
    ----------
    store : PlatformStore
        Where states are kept.
    mirror : StoreMirror
        What is known of the store here.
    log : LineLog
        Log of calls without an answer.
    """

    def __init__(
        self, store: platform.PlatformStore, mirror: StoreMirror, log: LineLog
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log

    async def read(
        self, service: str, ordered: Ordered | None
    ) -> StoredValue | Absent | Unanswered:
        """Read how far a move is."""
        reply = await self._store.read(f'{STATE_PREFIX}{service}', STORE_TIMEOUT_MS)
        match reply:
            case None:
                return Absent(service)
            case platform.StoreUnanswered():
                return self._unanswered(reply)
        return _stored(service, ordered, reply)

    async def write(
        self, command: SwapState, ordered: Ordered | None
    ) -> Swapped | Conflict | Unanswered:
        """Write a state, and what the operator reads of it, together."""
        state = decode_json(command.text, MoveState)
        if ordered is None or not ordered.concerns(state):
            return NOT_SENT
        content = msgspec.json.encode(ordered.globalized(state))
        writes = (
            platform.KeyWrite(f'{STATE_PREFIX}{command.move}', content),
            render_move_status(ordered.order, state.status),
        )
        reply = await self._store.write(
            command.expected_version, writes, STORE_TIMEOUT_MS
        )
        match reply:
            case platform.Written(revision):
                return Swapped(revision)
            case platform.ChangedMeanwhile():
                return Conflict(0)
            case _:
                return self._unanswered(reply)

    def _unanswered(self, reply: platform.StoreUnanswered) -> Unanswered:
        self._log.write(
            'move', 'store unanswered', step=reply.step, reason=reply.reason
        )
        return Unanswered(
            reply.step, reply.peer, maybe_applied=True, reason=reply.reason
        )

    async def confirm(self, ordered: Ordered) -> None:
        """Write an ended state once more, for an operator who orders it again."""
        service = ordered.order.service
        key = f'{STATE_PREFIX}{service}'
        item = self._mirror.get(key)
        state = decode_state(item.content) if item else None
        if item is not None and state is not None:
            status = render_move_status(ordered.order, state.status)
            writes = (platform.KeyWrite(key, item.content), status)
            reply = await self._store.write(item.revision, writes, STORE_TIMEOUT_MS)
            self._log.write('move', 'confirmed', service=service, outcome=str(reply))


def _stored(service: str, ordered: Ordered | None, item: MirrorItem) -> StoredValue:
    content = item.content
    state = decode_state(content)
    if state is not None and ordered is not None and ordered.concerns(state):
        content = msgspec.json.encode(ordered.localized(state))
    text = content.decode(errors='replace')
    return StoredValue(service, item.revision, text, 0)
