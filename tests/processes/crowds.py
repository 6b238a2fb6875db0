"""Crowds of clients that hold memory or connections of a gateway.

Nobody of a crowd closes its connections before the crowd is left.
"""

import asyncio
import contextlib
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from cowsliploom.standins import EndlessResponse
from tests.processes.gateway_world import MANY, SHARDS

CALLERS, READINESS, PEERS, RELAYS = 18100, 18101, 18102, 18103  # listeners' ports
METRICS = 9464
MB = 1_000_000
KB = 1000
BODY_BYTES = 250 * KB  # below the limit of the configuration
FRAME_BYTES = 3_900_000  # below the limit of frames and of servers' answers
PEER_BODY_BYTES = 8 * MB  # below the limit of messages
RECEIVE_BUFFER_BYTES = 8192
SEND_MAX_S = 1.5
BATCH = 250  # clients that send at the same time, if they come together
SMALL_BATCH = 20  # and otherwise
READ_PAUSE_S = 0.05

GET = b'GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\nDeadline: 60000\r\n\r\n'
ENDED = b'GET /single/x HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n'
TINY = b'GET /single/x HTTP/1.1\r\nHost: h\r\n\r\n'
HEAD = b'%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\nDeadline: 60000\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
MANY_HEADERS = b'a:\r\n' * 3000
CHUNK = b'%x\r\n%b\r\n' % (BODY_BYTES, b'x' * BODY_BYTES)
SMALL_CHUNKS = b'2\r\nxx\r\n' * (BODY_BYTES // 2)
UNFINISHED = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
    FRAME_BYTES,
    b'x' * (FRAME_BYTES - 1),
)
UNFINISHED_ANSWER = EndlessResponse(UNFINISHED, b'', pause_ms=1000)


@dataclass(frozen=True, slots=True)
class Crowd:
    """What each client of a crowd sends, and what the servers do meanwhile.

    Parameters
    ----------
    clients : int
        Number of clients.
    content : bytes
        Sent by each client once.
    port : int
        Listener that they connect to.
    reads : bool
        Whether they read a byte now and then; otherwise they read nothing.
    leaves : bool
        Whether they close the connection at once, and connect anew.
    answer_bytes : int
        Size of the servers' answers.
    faults : Mapping
        Faults of all servers while the crowd is there.
    """

    clients: int
    content: bytes
    port: int = CALLERS
    reads: bool = False
    leaves: bool = False
    answer_bytes: int = 0
    faults: Mapping[str, object] = field(default_factory=dict)


def post(target, body):
    """Return a complete request with a body."""
    head = HEAD % (b'POST', target)
    return head + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)


def frame(content, missing=0):
    """Return a frame of relays, without its last bytes."""
    return len(content).to_bytes(4) + content[: len(content) - missing]


def share_request(share_id):
    """Return a frame that asks for a share of many shards."""
    head = 'GET /many/x HTTP/1.1\r\nHost: h\r\n'
    fields = ('ask', share_id, 'r', 'many', head, b'', MANY, 3, 60_000, 60_000)
    return frame(msgspec.msgpack.encode(fields))


SILENT = {'is_unresponsive': True}
CROWDS = {
    'pipelined requests': Crowd(40, TINY * 20_000, faults=SILENT),
    'many headers': Crowd(200, HEAD % (b'GET', b'/single/x') + MANY_HEADERS),
    'chunked bodies': Crowd(200, HEAD % (b'POST', b'/once/x') + CHUNKED + CHUNK),
    'small chunks': Crowd(24, HEAD % (b'POST', b'/once/x') + CHUNKED + SMALL_CHUNKS),
    'whole bodies': Crowd(200, post(b'/once/x', b'x' * BODY_BYTES), faults=SILENT),
    'bodies for many shards': Crowd(
        60, post(b'/many/x', b'x' * BODY_BYTES), faults=SILENT
    ),
    'queries of many shards': Crowd(300, GET % b'/many/x' * 4, faults=SILENT),
    'long answers': Crowd(60, GET % b'/single/x', answer_bytes=2 * MB),
    'long parts': Crowd(60, GET % b'/wide/x', answer_bytes=MB),
    'slow readers': Crowd(60, GET % b'/single/x' * 20, reads=True, answer_bytes=MB),
    'readers that are ended': Crowd(60, ENDED, answer_bytes=MB),
    'answers without end': Crowd(
        40, GET % b'/wide/x', faults={'endless': UNFINISHED_ANSWER}
    ),
    'rejected clients': Crowd(600, b'no request\r\n\r\n'),
    'clients that leave': Crowd(300, GET % b'/many/x', leaves=True, faults=SILENT),
    'idle callers': Crowd(500, b''),
    'idle at readiness': Crowd(500, b'', READINESS),
    'idle at metrics': Crowd(500, b'', METRICS),
    'idle peers': Crowd(500, b'', PEERS),
    'idle relays': Crowd(500, b'', RELAYS),
    'unread metrics': Crowd(200, GET % b'/metrics' * 500, METRICS),
    'messages of peers': Crowd(60, post(b'/peers', b'x' * PEER_BODY_BYTES)[:-1], PEERS),
    'frames': Crowd(60, frame(b'x' * FRAME_BYTES, missing=1), RELAYS),
    'shares': Crowd(
        20, b''.join(map(share_request, range(500))), RELAYS, faults=SILENT
    ),
}

# Apart from the others, of which the seeded series draw.
LATER_CROWDS = {
    'longest answers': Crowd(60, GET % b'/single/x', answer_bytes=FRAME_BYTES),
    'a few longest answers': Crowd(12, GET % b'/single/x', answer_bytes=FRAME_BYTES),
}


class Clients:
    """Clients that send, hardly read, and stay open until they are left.

    Parameters
    ----------
    host : str
        Address of the gateway.
    """

    def __init__(self, host):
        self.host = host
        self.sockets = []
        self._readers = []

    def __enter__(self):
        """Return the clients, still none."""
        return self

    def __exit__(self, *_exc):
        """Close all connections."""
        for reader in self._readers:
            reader.cancel()
        for sock in self.sockets:
            sock.close()

    async def come(self, crowd, times=1, together=True):
        """Let a crowd come, of several times its size.

        Parameters
        ----------
        crowd : Crowd
            The crowd.
        times : int
            Its size is multiplied by this. Default 1.
        together : bool
            Whether many send at the same time, rather than one after the other.
        """
        batch = BATCH if together else SMALL_BATCH
        clients = crowd.clients * times
        for start in range(0, clients, batch):
            count = min(batch, clients - start)
            await asyncio.gather(*(self._join(crowd) for _ in range(count)))

    async def _join(self, crowd):
        sock = socket.socket()
        self.sockets.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_MAX_S):
                await loop.sock_connect(sock, (self.host, crowd.port))
                await loop.sock_sendall(sock, crowd.content)
        if crowd.reads:
            self._readers.append(loop.create_task(self._read(sock)))
        if crowd.leaves:
            sock.close()

    async def _read(self, sock):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while await loop.sock_recv(sock, 1):
                await asyncio.sleep(READ_PAUSE_S)


@contextlib.contextmanager
def servers_under(world, crowd):
    """Give all servers the faults of a crowd, until it is left."""
    contents = {name: backend.content for name, backend in world.backends.items()}
    for backend in world.backends.values():
        for name, fault in crowd.faults.items():
            setattr(backend.faults, name, fault)
        if crowd.answer_bytes:
            backend.content = b'x' * crowd.answer_bytes
    try:
        yield
    finally:
        for name, backend in world.backends.items():
            backend.content = contents[name]
            backend.faults = type(backend.faults)()


SERVICES = (*SHARDS, 'one', *MANY)
