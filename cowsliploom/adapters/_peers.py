"""gRPC calls between peers: a server, and a bounded pool of client channels."""

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
CHANNELS_MAX = 24  # keeps ring successors open; helpers' channels are soon evicted
BACKLOG = 128  # all members of a data centre may call a restarted peer at once
CALL_ERRORS = (
    asyncio.TimeoutError,
    GRPCError,
    OSError,
    StreamTerminatedError,
    ValueError,
)

FrameHandler = Callable[[Frame], Awaitable[Frame | None]]
FetchHandler = Callable[[FetchRequest], Awaitable[FetchReply]]


@dataclass(frozen=True, slots=True)
class PeerUnanswered:
    """Report a call without a usable response.

    Parameters
    ----------
    step : str
        Operation that failed, such as ``'peer.exchange'``.
    peer : str
        Address of the peer.
    reason : str
        Representation of the error.
    """

    step: str
    peer: str
    reason: str


class _PeerService(PeerBase):
    """Decode each call, pass it to a handler, and encode the response."""

    def __init__(self, handle_frame: FrameHandler, handle_fetch: FetchHandler) -> None:
        self.is_closed = False
        self._handle_frame = handle_frame
        self._handle_fetch = handle_fetch

    async def Exchange(  # noqa: N802 - name given by peer.proto
        self, stream: 'Stream[peer_pb2.Frame, peer_pb2.Frame]'
    ) -> None:
        """Respond to a gossip frame."""
        message = await stream.recv_message()
        self._check_open()
        if message is not None:
            response = await self._handle_frame(decode_frame(message))
            if response is None:
                raise GRPCError(Status.UNAVAILABLE, 'not answered in time')
            await stream.send_message(encode_frame(response))

    async def Fetch(  # noqa: N802 - name given by peer.proto
        self, stream: 'Stream[peer_pb2.FetchRequest, peer_pb2.FetchReply]'
    ) -> None:
        """Respond to a fetch request for updates."""
        message = await stream.recv_message()
        self._check_open()
        if message is not None:
            response = await self._handle_fetch(decode_fetch_request(message))
            await stream.send_message(encode_fetch_reply(response))

    def _check_open(self) -> None:
        """Reject calls on connections that are still open after ``close``."""
        if self.is_closed:
            raise GRPCError(Status.UNAVAILABLE, 'closed')


class PeerServer:
    """Serve the calls of peers.

    Parameters
    ----------
    listen_address : str
        ``host:port`` with an IPv4 address; port 0 selects a free port.
    handle_frame, handle_fetch : callable
        Coroutine functions that return the response to one call.
    """

    def __init__(
        self,
        listen_address: str,
        handle_frame: FrameHandler,
        handle_fetch: FetchHandler,
    ) -> None:
        self.listen_address = listen_address
        self.address = ''
        self._service = _PeerService(handle_frame, handle_fetch)
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening and set ``address`` to the bound address."""
        host, _, port = self.listen_address.rpartition(':')
        # grpclib disables Nagle's algorithm only if the socket names its protocol.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        self.address = f'{host}:{listener.getsockname()[1]}'
        # Created here because grpclib binds a server to the loop running at creation.
        self._server = Server([self._service])
        await self._server.start(sock=listener, backlog=BACKLOG)

    async def close(self) -> None:
        """Stop listening and cancel the open calls."""
        self._service.is_closed = True
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class PeerChannels:
    """Call peers over a bounded LRU pool of channels.

    Parameters
    ----------
    channels_max : int
        Maximum number of open channels. Default 24.

    Notes
    -----
    A channel is closed after a failed or timed out call, because its connection
    may be dead.
    """

    def __init__(self, channels_max: int = CHANNELS_MAX) -> None:
        self.channels_max = channels_max
        self._channels: OrderedDict[str, Channel] = OrderedDict()

    def __enter__(self) -> 'PeerChannels':
        """Return the pool."""
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
        """Send a gossip frame and return the peer's frame."""
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
        self, address: str, request: FetchRequest, timeout_ms: float
    ) -> FetchReply | PeerUnanswered:
        """Fetch updates from a peer."""
        message = encode_fetch_request(request)
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
