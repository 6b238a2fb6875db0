"""A stand-in of one of the users' backend servers, with fault switches."""

import asyncio
from dataclasses import dataclass

import msgspec

from cowsliploom.dataplane import HeaderList, HttpListener, HttpRequest
from cowsliploom.standins._endless import EndlessResponse, send_without_end

MS_PER_S = 1000


@dataclass(slots=True)
class BackendFaults:
    """Switch a backend server's troubles on and off.

    Parameters
    ----------
    delay_ms : float
        Time before each answer.
    status : int
        Status of its answers; other than 200 they are failures.
    sheds : bool
        Whether it refuses all requests without running them.
    is_mute : bool
        Whether it takes requests and never answers.
    crossed_id : str
        Request id to echo instead of the request's own.
    endless : EndlessAnswer or None
        Sent in place of each answer.
    cut_before : bytes
        Where each answer breaks off and its connection closes; empty for whole ones.
    """

    delay_ms: float = 0
    status: int = 200
    sheds: bool = False
    is_mute: bool = False
    crossed_id: str = ''
    endless: EndlessResponse | None = None
    cut_before: bytes = b''


class FakeBackendServer:
    """Serve one incarnation as the users' pages say.

    Parameters
    ----------
    name, service : str
        Incarnation and what it serves.
    content : bytes
        Body of its answers.
    """

    def __init__(self, name: str, service: str, content: bytes = b'') -> None:
        self.name = name
        self.service = service
        self.content = content
        self.faults = BackendFaults()
        self.ran: list[str] = []
        self.arrived: list[dict[str, str]] = []
        self._running: set[asyncio.Task[None]] = set()
        self._listener: HttpListener | None = None

    @property
    def address(self) -> str:
        """Return ``host:port`` once started."""
        return self._listener.address if self._listener else ''

    @property
    def running(self) -> int:
        """Return the number of requests that are being answered."""
        return len(self._running)

    async def start(self) -> None:
        """Listen."""
        self._listener = HttpListener('127.0.0.1:0', self._take)
        await self._listener.start()

    async def close(self) -> None:
        """Stop."""
        if self._listener is not None:
            await self._listener.close()

    def reset_connections(self) -> None:
        """Reset all connections, also those with a request under way."""
        if self._listener is not None:
            for connection in self._listener.connections:
                if isinstance(connection.transport, asyncio.Transport):
                    connection.transport.abort()

    def entry(self, **changes: object) -> bytes:
        """Return the registration, with fields changed."""
        fields: dict[str, object] = {
            'service': self.service,
            'address': self.address,
            'zone': 'de',
            'version': 'v1',
            'slots': 2,
            'state': 'ready',
            'coldRemainingMs': 0,
            'sequence': 1,
        }
        return msgspec.json.encode({**fields, **changes})

    def content_for(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return self.content

    def _take(self, request: HttpRequest) -> None:
        headers = {name.lower(): text for name, text in request.headers}
        self.arrived.append({**headers, 'target': request.target})
        if self.faults.is_mute:
            return
        wanted = headers.get('target-instance', self.name)
        if wanted == self.name and not self.faults.sheds:
            self.ran.append(headers.get('request-id', ''))
            request_id = headers.get('request-id', '')
            answering = asyncio.get_running_loop().create_task(
                self._send_endless(request, self.faults.endless)
                if self.faults.endless
                else self._answer(request, request_id)
            )
            self._running.add(answering)
            answering.add_done_callback(self._running.discard)
        elif wanted == self.name:
            request.answer(503, [('Not-Executed', '1')], b'')
        else:
            request.answer(421, [('Instance-Id', self.name)], b'')

    async def _answer(self, request: HttpRequest, request_id: str) -> None:
        await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
        headers = [
            ('Request-Id', self.faults.crossed_id or request_id),
            ('Response-Signature', f'{self.name}.{request_id}'),
            ('Server-Load', '1,0,2'),
        ]
        body = self.content_for(request_id)
        if self.faults.cut_before:
            self._send_cut(request, headers, body)
            return
        request.answer(self.faults.status, headers, body)

    def _send_cut(self, request: HttpRequest, headers: HeaderList, body: bytes) -> None:
        lines = [f'{name}: {text}' for name, text in headers]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, f'Content-Length: {len(body)}'))
        whole = b'\r\n\r\n'.join((head.encode(), body))
        transport = request.connection.transport
        if transport is not None:
            transport.write(whole[: whole.index(self.faults.cut_before)])
            transport.close()

    async def _send_endless(
        self, request: HttpRequest, answer: EndlessResponse
    ) -> None:
        transport = request.connection.transport
        if transport is not None:
            await send_without_end(transport, answer)
