"""Meters for a simulated fleet: bytes, calls and processor time per daemon."""

import asyncio
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cowsliploom.adapters import PeerChannels, PeerServer
from cowsliploom.adapters import _peer_codec as codec
from cowsliploom.coordination import (
    FetchReply,
    FetchRequest,
    Frame,
    FrameKind,
    Member,
    MembershipSettings,
    Node,
    NodeCommand,
    NodeEvent,
)
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, Vm, start_fleet

NS_PER_MS = 1_000_000
CLOSE_WAIT_S = 0.2  # lets the copy tasks of the relay end after both sides close
MS_PER_S = 1000
CALLS_MEASURED = 1500
SEGMENT_HEADER_BYTES = 52  # IPv4 and TCP with timestamps
CALL_SEGMENTS = 4  # request, response, and an acknowledgement of each


class TimedNode(Node):
    """Node that adds the processor time of its steps to a total over all nodes."""

    processor_ns = 0

    def step(self, event: NodeEvent) -> list[NodeCommand]:
        """Handle one event and add its processor time to the total."""
        start_ns = time.thread_time_ns()
        commands = super().step(event)
        TimedNode.processor_ns += time.thread_time_ns() - start_ns
        return commands


@dataclass(frozen=True, slots=True)
class CallCost:
    """Hold the cost of one call between peers, without the sans-IO step.

    Parameters
    ----------
    processor_ms : float
        Processor time of client and server together, in milliseconds.
    overhead_bytes : float
        Bytes on the wire in both directions, without the two payloads.
    """

    processor_ms: float
    overhead_bytes: float


class _CountingRelay:
    """TCP relay that counts the bytes it copies."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.relayed_bytes = 0

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy a connection in both directions."""
        host, _, port = self.target.rpartition(':')
        upstream = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, upstream[1]), self._copy(upstream[0], writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(65536):
            self.relayed_bytes += len(chunk)
            writer.write(chunk)
        writer.close()


def make_probe_frame() -> Frame:
    """Return a probe frame that carries no updates."""
    return Frame(FrameKind.PROBE, Member('vm-100', '10.0.0.1:7000', 'de', 1_790_000))


async def _answer_frame(frame: Frame) -> Frame:
    return frame


async def _answer_ask(ask: FetchRequest) -> FetchReply:
    return FetchReply(ask.after_revision)


async def _measure_call() -> CallCost:
    server = PeerServer('127.0.0.1:0', _answer_frame, _answer_ask)
    await server.start()
    frame = make_probe_frame()
    with PeerChannels() as channels:
        await channels.exchange(server.address, frame, MS_PER_S)
        start_ns = time.thread_time_ns()
        for _ in range(CALLS_MEASURED):
            await channels.exchange(server.address, frame, MS_PER_S)
        processor_ns = time.thread_time_ns() - start_ns
        counter = _CountingRelay(server.address)
        relay = await asyncio.start_server(counter.relay, '127.0.0.1', 0)
        port = relay.sockets[0].getsockname()[1]
        await channels.exchange(f'127.0.0.1:{port}', frame, MS_PER_S)
        counter.relayed_bytes = 0
        for _ in range(CALLS_MEASURED):
            await channels.exchange(f'127.0.0.1:{port}', frame, MS_PER_S)
    payload_bytes = 2 * codec.encode_frame(frame).ByteSize()
    framed_bytes = counter.relayed_bytes / CALLS_MEASURED - payload_bytes
    relay.close()
    await relay.wait_closed()
    await server.close()
    await asyncio.sleep(CLOSE_WAIT_S)
    return CallCost(
        processor_ns / NS_PER_MS / CALLS_MEASURED,
        framed_bytes + CALL_SEGMENTS * SEGMENT_HEADER_BYTES,
    )


def measure_call() -> CallCost:
    """Measure one exchange over an open grpclib connection on loopback."""
    return asyncio.run(_measure_call())


def encoded_bytes(content: Frame | FetchRequest | FetchReply) -> int:
    """Return the encoded size of a frame, a fetch request or a fetch reply."""
    if isinstance(content, Frame):
        return codec.encode_frame(content).ByteSize()
    if isinstance(content, FetchRequest):
        return codec.encode_fetch_request(content).ByteSize()
    return codec.encode_fetch_reply(content).ByteSize()


class Meter:
    """Count the bytes and messages that each daemon of a loop sends."""

    def __init__(self, loop: FleetLoop) -> None:
        self.loop = loop
        self.sent_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        loop.on_frame = self._record

    def reset(self) -> None:
        """Reset all counts and the processor time."""
        self.sent_bytes.clear()
        self.messages.clear()
        self.loop.counts.clear()
        TimedNode.processor_ns = 0

    def _record(self, vm: Vm, content: Frame | FetchRequest | FetchReply) -> None:
        self.sent_bytes[vm.me.name] += encoded_bytes(content)
        self.messages[vm.me.name] += 1


def start_timed_fleet(
    data_centres: Sequence[str],
    seed: int = 1,
    settings: MembershipSettings | None = None,
    loss: float = 0,
) -> FleetLoop:
    """Start a fleet of timed nodes."""
    loop = FleetLoop(seed, settings=settings, loss=loss, node_type=TimedNode)
    start_fleet(loop, data_centres)
    return loop


def traced_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that the result of ``build`` keeps allocated."""
    tracemalloc.start()
    kept = build()
    current_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current_bytes
