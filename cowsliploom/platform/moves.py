"""Status of version moves for operators; imported only where moves are made."""

import msgspec

from cowsliploom.forwarding import MoveOrder
from cowsliploom.platform._store import KeyWrite
from cowsliploom.rollout import MoveStatus

STATUS_PREFIX = 'status/rollout/'

_STATES = {
    MoveStatus.RUNNING: 'running',
    MoveStatus.FINISHED: 'completed',
    MoveStatus.ROLLED_BACK: 'rolled_back',
}


def render_move_status(order: MoveOrder, status: MoveStatus) -> KeyWrite:
    """Return the write that reports the status of a move to operators.

    Examples
    --------
    >>> order = MoveOrder('rota', 'v2', given_ms=12_000, revision=7)
    >>> render_move_status(order, MoveStatus.FINISHED).key
    'status/rollout/rota'
    """
    document = {'state': _STATES[status], 'targetVersion': order.to_version}
    return KeyWrite(f'{STATUS_PREFIX}{order.service}', msgspec.json.encode(document))
