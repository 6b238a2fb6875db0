"""Calls between peers over grpclib: one server, and a bounded set of channels."""

import asyncio
import socket
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import TracebackType

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from cowsliploom.adapters import peer_pb2
from cowsliploom.adapters._peer_codec import (
    decode_fetch_reply,
    decode_fetch_request,
    decode_frame,
    encode_fetch_reply,
    encode_fetch_request,
    encode_frame,
)
from cowsliploom.adapters.peer_grpc import PeerBase, PeerStub
from cowsliploom.coordination import FetchReply, FetchRequest, Frame
from cowsliploom.protocol import split_address

MS_PER_S = 1000
CHANNELS_MAX = 24  # ring successors stay open; a helper's channel is soon evicted
BACKLOG = 128  # all members of a data centre may call a restarted one at once
CALL_ERRORS = (
    asyncio.TimeoutError,
    GRPCError,
    OSError,
    StreamTerminatedError,
    ValueError,
)

AnswerFrame = Callable[[Frame], Awaitable[Frame | None]]
AnswerAsk = Callable[[FetchRequest], Awaitable[FetchReply]]


@dataclass(frozen=True, slots=True)
class PeerUnanswered:
    """Report a call that a peer did not answer.

    Parameters
    ----------
    step : str
        What was being done, such as ``'peer.exchange'``.
    peer : str
        Address of the peer.
    reason : str
        What was seen.
    """

    step: str
    peer: str
    reason: str


class _PeerService(PeerBase):
    """Decode each call, let the owner answer it, and encode the answer."""

    def __init__(self, answer_frame: AnswerFrame, answer_ask: AnswerAsk) -> None:
        self.is_closed = False
        self._answer_frame = answer_frame
        self._answer_ask = answer_ask

    async def Exchange(  # noqa: N802 - named by the service
        self, stream: 'Stream[peer_pb2.Frame, peer_pb2.Frame]'
    ) -> None:
        """Answer a frame."""
        message = await stream.recv_message()
        self._check_open()
        if message is not None:
            answer = await self._answer_frame(decode_frame(message))
            if answer is None:
                raise GRPCError(Status.UNAVAILABLE, 'not answered in time')
            await stream.send_message(encode_frame(answer))

    async def Fetch(  # noqa: N802 - named by the service
        self, stream: 'Stream[peer_pb2.FetchRequest, peer_pb2.FetchReply]'
    ) -> None:
        """Answer a question for news."""
        message = await stream.recv_message()
        self._check_open()
        if message is not None:
            answer = await self._answer_ask(decode_fetch_request(message))
            await stream.send_message(encode_fetch_reply(answer))

    def _check_open(self) -> None:
        """Refuse calls on connections that outlive the listening server."""
        if self.is_closed:
            raise GRPCError(Status.UNAVAILABLE, 'closed')


class PeerServer:
    """Take the calls of peers.

    Parameters
    ----------
    listen_address : str
        ``host:port`` with an IP number; port 0 lets the system choose.
    answer_frame, answer_ask : callable
        Coroutine functions that answer one call each.
    """

    def __init__(
        self, listen_address: str, answer_frame: AnswerFrame, answer_ask: AnswerAsk
    ) -> None:
        self.listen_address = listen_address
        self.address = ''
        self._service = _PeerService(answer_frame, answer_ask)
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen; ``address`` tells where from then on."""
        host, _, port = self.listen_address.rpartition(':')
        # Without the protocol's number grpclib leaves Nagle's algorithm on.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        self.address = f'{host}:{listener.getsockname()[1]}'
        # Built here, as grpclib binds a server to the loop that runs at its making.
        self._server = Server([self._service])
        await self._server.start(sock=listener, backlog=BACKLOG)

    async def close(self) -> None:
        """Stop listening and end the open calls."""
        self._service.is_closed = True
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class PeerChannels:
    """Call peers over a bounded set of channels, least recently used first out.

    Parameters
    ----------
    channels_max : int
        Open channels at most. Default 24.

    Notes
    -----
    A channel on which a call failed or timed out is closed and never used again,
    since the connection may have gone silent.
    """

    def __init__(self, channels_max: int = CHANNELS_MAX) -> None:
        self.channels_max = channels_max
        self._channels: OrderedDict[str, Channel] = OrderedDict()

    def __enter__(self) -> 'PeerChannels':
        """Return the channels."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def __len__(self) -> int:
        """Return the number of open channels."""
        return len(self._channels)

    async def exchange(
        self, address: str, frame: Frame, timeout_ms: float
    ) -> Frame | PeerUnanswered:
        """Send a frame and return its answer."""
        message = encode_frame(frame)
        try:
            reply = await PeerStub(self._open(address)).Exchange(
                message, timeout=timeout_ms / MS_PER_S
            )
            return decode_frame(reply)
        except CALL_ERRORS as error:
            self._discard(address)
            return PeerUnanswered('peer.exchange', address, repr(error))

    async def fetch(
        self, address: str, ask: FetchRequest, timeout_ms: float
    ) -> FetchReply | PeerUnanswered:
        """Ask a peer for news."""
        message = encode_fetch_request(ask)
        try:
            reply = await PeerStub(self._open(address)).Fetch(
                message, timeout=timeout_ms / MS_PER_S
            )
            return decode_fetch_reply(reply)
        except CALL_ERRORS as error:
            self._discard(address)
            return PeerUnanswered('peer.fetch', address, repr(error))

    def _open(self, address: str) -> Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = Channel(*split_address(address))
        self._channels[address] = channel
        if len(self._channels) > self.channels_max:
            _, oldest = self._channels.popitem(last=False)
            oldest.close()
        return channel

    def _discard(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()
