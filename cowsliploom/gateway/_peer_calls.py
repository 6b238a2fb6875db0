"""Calls to other entry VMs."""

from collections.abc import Callable

import msgspec

from cowsliploom.dataplane import (
    Admission,
    AnswerBounds,
    CallResult,
    ConnectionPools,
    HttpAnswer,
    HttpFailure,
    Rejection,
)
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_wire import PeerMessage, decode_message, encode_message

TIMEOUT_MS = 400.0
FETCH_TIMEOUT_MS = 2000.0  # updates may be large and the link slow
LINK_BYTES_PER_MS = 1000  # of a slow link that carries other traffic too
MESSAGE_BYTES_MAX = 8_388_608  # a few store values that do not compress
PATH = '/peers'


class PeerCalls:
    """Own the connections to peers, and record which messages failed.

    Parameters
    ----------
    log : LineLog
        Log of messages that were rejected or not answered.
    metrics : Metrics
        Counters of messages and bytes.
    now_ms : callable
        Monotonic clock.
    admission : Admission or None
        Account of the process. Default one without limits.
    """

    def __init__(
        self,
        log: LineLog,
        metrics: Metrics,
        now_ms: Callable[[], float],
        admission: Admission | None = None,
    ) -> None:
        self.log = log
        self.metrics = metrics
        self.now_ms = now_ms
        self.pools: ConnectionPools[str] = ConnectionPools(
            AnswerBounds(body_bytes_max=MESSAGE_BYTES_MAX),
            admission,
            has_priority=True,
        )

    async def call(self, address: str, message: PeerMessage) -> PeerMessage | None:
        """Send a message; return the peer's answer, or None if there is none.

        The timeout is longer for a large message and for a request for updates, whose
        answer may be large.
        """
        body = encode_message(message)
        timeout_ms = FETCH_TIMEOUT_MS if message.wants_news else TIMEOUT_MS
        timeout_ms += len(body) / LINK_BYTES_PER_MS
        head = (
            f'POST {PATH} HTTP/1.1\r\nHost: {address}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        started_ms = self.now_ms()
        pool = self.pools.get(address, address)
        reply = await pool.ask(head.encode() + body, timeout_ms)
        self.metrics.count('peer_messages')
        self.metrics.count('peer_bytes_sent', len(body))
        waited_ms = self.now_ms() - started_ms
        answer = decode_message(reply.body) if isinstance(reply, HttpAnswer) else None
        if answer is not None:
            # The answer may have been written at any time during the wait.
            return msgspec.structs.replace(answer, age_ms=answer.age_ms + waited_ms)
        self.metrics.count('peer_messages_unanswered')
        self.log.write(
            'members',
            'unanswered',
            peer=address,
            bytes=len(body),
            reason=_failure_text(reply),
            waited_ms=round(waited_ms),
        )
        return None

    def rejected(self, rejection: Rejection) -> None:
        """Record a peer's message that was rejected before it was read in full."""
        self.metrics.count('peer_messages_refused')
        self.log.write(
            'members',
            'refused',
            peer=rejection.peer,
            status=rejection.status,
            reason=rejection.reason,
        )


def _failure_text(reply: CallResult | None) -> str:
    """Return why a call has no usable answer."""
    match reply:
        case HttpAnswer(status):
            return f'status {status}'
        case HttpFailure(step, _, reason):
            return f'{step.value}: {reason}'
    return 'no answer in time'
