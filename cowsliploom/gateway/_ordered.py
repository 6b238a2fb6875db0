"""Orders of version moves, and the times of their states in the store."""

import math
from dataclasses import dataclass, replace

from cowsliploom.forwarding import MoveOrder, CompletedCall
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.rollout import CAUTIOUS_SCHEDULE, Move, MoveState, RecordSample

OLD = 'old'  # all versions but the new one
GENERATION = 0  # of all attempts
STEPS = len(CAUTIOUS_SCHEDULE.shares)


@dataclass(frozen=True, slots=True)
class Ordered:
    """Hold an order and when it was given, by the own steady clock.

    Notes
    -----
    Clocks of members have nothing in common, so the store holds a state's times
    counted from the order; each member adds when it heard of it. Who starts later
    learns from the state that the order is older.
    """

    order: MoveOrder
    since_ms: float

    def as_move(self, new_servers: int) -> Move:
        """Return what is judged and controlled."""
        order = self.order
        return Move(
            name=order.service,
            service=order.service,
            from_version=OLD,
            to_version=order.to_version,
            generation=GENERATION,
            finish_by_ms=self.since_ms + order.given_ms,
            new_servers=new_servers,
        )

    def concerns(self, state: MoveState) -> bool:
        """Tell whether a state is of the move that is ordered.

        A version has one attempt at a service, however often it is ordered.
        """
        return state.to_version == self.order.to_version

    def not_before(self, state: MoveState, now_ms: float) -> 'Ordered':
        """Return the order, given at least as long ago as its state has run."""
        return replace(self, since_ms=min(self.since_ms, now_ms - state.updated_ms))

    def localized(self, state: MoveState) -> MoveState:
        """Return a state of the store with times by the own clock."""
        return replace(_shifted(state, self.since_ms), generation=GENERATION)

    def sample(self, call: CompletedCall) -> RecordSample:
        """Return a call as evidence on the versions."""
        record = call.server.record
        is_new = record.version == self.order.to_version
        return RecordSample(
            now_ms=call.now_ms,
            service=record.service,
            route=call.route,
            version=record.version if is_new else OLD,
            server=record.name,
            elapsed_ms=call.elapsed_ms,
            ok=call.ok,
            cold=call.is_cold,
            answered=call.heard,
        )

    def globalized(self, state: MoveState) -> MoveState:
        """Return a state as the store keeps it."""
        return _shifted(state, -self.since_ms)


def decode_state(content: bytes) -> MoveState | None:
    """Return the state, or None for what another writer has put there."""
    try:
        state = decode_json(content, MoveState)
    except UnreadableError:
        return None
    is_sound = 0 <= state.share <= 1 and 0 <= state.step < STEPS
    times_ms = (state.started_ms, state.updated_ms)
    return state if is_sound and all(map(math.isfinite, times_ms)) else None


def _shifted(state: MoveState, by_ms: float) -> MoveState:
    return replace(
        state,
        started_ms=state.started_ms + by_ms,
        updated_ms=state.updated_ms + by_ms,
    )
