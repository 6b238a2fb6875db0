"""Move requests with the local time at which they were received."""

import math
from dataclasses import dataclass, replace

from cowsliploom.forwarding import CompletedCall, MoveOrder
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.rollout import CAUTIOUS_SCHEDULE, Move, MoveState, RecordSample

OLD = 'old'  # stands for all versions but the new one
GENERATION = 0  # each version has a single attempt
STEPS = len(CAUTIOUS_SCHEDULE.shares)


@dataclass(frozen=True, slots=True)
class ActiveOrder:
    """A move request and when it was received, by the local monotonic clock.

    Parameters
    ----------
    order : MoveOrder
        Move request.
    since_ms : float
        Local time at which it was received, or earlier if its state is older.

    Notes
    -----
    Monotonic clocks of different members are unrelated, so stored states hold times
    relative to the move request; each member adds the time at which it received the
    request. A member that starts later sees from the state that the request is older.
    """

    order: MoveOrder
    since_ms: float

    def as_move(self, new_servers: int) -> Move:
        """Return the move that the rollout judges and controls."""
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

    def matches(self, state: MoveState) -> bool:
        """Return whether a state belongs to this move request.

        A version has one attempt at a service, however often it is requested.
        """
        return state.to_version == self.order.to_version

    def backdated(self, state: MoveState, now_ms: float) -> 'ActiveOrder':
        """Return the order, dated back if its state shows that it is older."""
        return replace(self, since_ms=min(self.since_ms, now_ms - state.updated_ms))

    def with_local_times(self, state: MoveState) -> MoveState:
        """Return a stored state with its times on the local clock."""
        return replace(_shifted(state, self.since_ms), generation=GENERATION)

    def sample(self, call: CompletedCall) -> RecordSample:
        """Return a call as a sample for the comparison of versions."""
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
            answered=call.answered,
        )

    def with_stored_times(self, state: MoveState) -> MoveState:
        """Return a state with times relative to the move request, as stored."""
        return _shifted(state, -self.since_ms)


def decode_state(content: bytes) -> MoveState | None:
    """Return the state, or None if another writer has stored something else."""
    try:
        state = decode_json(content, MoveState)
    except UnreadableError:
        return None
    is_sound = 0 <= state.share <= 1 and 0 <= state.step < STEPS
    is_sound = is_sound and state.exposed >= 0
    numbers = (state.started_ms, state.updated_ms, state.exposed)
    return state if is_sound and all(map(math.isfinite, numbers)) else None


def _shifted(state: MoveState, by_ms: float) -> MoveState:
    return replace(
        state,
        started_ms=state.started_ms + by_ms,
        updated_ms=state.updated_ms + by_ms,
    )
