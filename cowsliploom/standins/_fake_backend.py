"""Fake of a backend server with the gateway's HTTP protocol and fault injection."""

import asyncio
from dataclasses import dataclass

import msgspec

from cowsliploom.dataplane import HeaderList, HttpListener, HttpRequest
from cowsliploom.standins._endless_response import EndlessResponse, send_without_end

MS_PER_S = 1000


@dataclass(slots=True)
class FakeBackendFaults:
    """Active faults of a backend server.

    Parameters
    ----------
    delay_ms : float
        Delay of each response, in milliseconds.
    status : int
        Status of its responses; any other than 200 is a failure.
    sheds : bool
        Whether it rejects all requests without running them.
    pause_text : str
        ``Retry-After`` of its rejections, as written; empty for none.
    is_leaving : bool
        Whether it says in all responses that it leaves.
    is_unresponsive : bool
        Whether it accepts requests and never responds.
    wrong_request_id : str
        Request id to return instead of the request's own; empty for none.
    endless : EndlessResponse or None
        Sent instead of each response.
    truncate_before : bytes
        Bytes before which each response is truncated and the connection closed;
        empty for complete responses.
    """

    delay_ms: float = 0
    status: int = 200
    sheds: bool = False
    pause_text: str = ''
    is_leaving: bool = False
    is_unresponsive: bool = False
    wrong_request_id: str = ''
    endless: EndlessResponse | None = None
    truncate_before: bytes = b''


class FakeBackendServer:
    """Server of one instance that implements the documented HTTP protocol.

    Parameters
    ----------
    name, service : str
        Instance name and the service it belongs to.
    content : bytes
        Body of its responses.
    """

    def __init__(self, name: str, service: str, content: bytes = b'') -> None:
        self.name = name
        self.service = service
        self.content = content
        self.faults = FakeBackendFaults()
        self.ran: list[str] = []
        self.received: list[dict[str, str]] = []
        self._running: set[asyncio.Task[None]] = set()
        self._listener: HttpListener | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; empty before `start`."""
        return self._listener.address if self._listener else ''

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return len(self._running)

    async def start(self) -> None:
        """Start listening on a free port."""
        self._listener = HttpListener('127.0.0.1:0', self._dispatch)
        await self._listener.start()

    async def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.close()

    def reset_connections(self) -> None:
        """Reset all connections, including those with a request in progress."""
        if self._listener is not None:
            for connection in self._listener.connections:
                if isinstance(connection.transport, asyncio.Transport):
                    connection.transport.abort()

    def entry(self, **changes: object) -> bytes:
        """Return the registration document, with some fields replaced."""
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

    def body_for(self, request_id: str) -> bytes:
        """Return the body of the response to a request."""
        return self.content

    def _dispatch(self, request: HttpRequest) -> None:
        headers = {name.lower(): text for name, text in request.headers}
        self.received.append({**headers, 'target': request.target})
        if self.faults.is_unresponsive:
            return
        target_instance = headers.get('target-instance', self.name)
        request_id = headers.get('request-id', '')
        echoed_id = [('Request-Id', request_id), *self._notices()]
        if target_instance == self.name and not self.faults.sheds:
            self.ran.append(request_id)
            response_task = asyncio.get_running_loop().create_task(
                self._send_endless(request, self.faults.endless)
                if self.faults.endless
                else self._answer(request, request_id)
            )
            self._running.add(response_task)
            response_task.add_done_callback(self._running.discard)
        elif target_instance == self.name:
            pause = [('Retry-After', self.faults.pause_text)]
            rejection = [*echoed_id, ('Not-Executed', '1')]
            rejection.extend(pause if self.faults.pause_text else ())
            request.answer(503, rejection, b'')
        else:
            request.answer(421, [*echoed_id, ('Instance-Id', self.name)], b'')

    async def _answer(self, request: HttpRequest, request_id: str) -> None:
        await asyncio.sleep(self.faults.delay_ms / MS_PER_S)
        headers = [
            ('Request-Id', self.faults.wrong_request_id or request_id),
            ('Response-Signature', f'{self.name}.{request_id}'),
            ('Server-Load', '1,0,2'),
            *self._notices(),
        ]
        body = self.body_for(request_id)
        if self.faults.truncate_before:
            self._send_truncated(request, headers, body)
            return
        request.answer(self.faults.status, headers, body)

    def _notices(self) -> HeaderList:
        return [('Server-Leaving', '1')] if self.faults.is_leaving else []

    def _send_truncated(
        self, request: HttpRequest, headers: HeaderList, body: bytes
    ) -> None:
        lines = [f'{name}: {text}' for name, text in headers]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, f'Content-Length: {len(body)}'))
        whole = b'\r\n\r\n'.join((head.encode(), body))
        transport = request.connection.transport
        if transport is not None:
            transport.write(whole[: whole.index(self.faults.truncate_before)])
            transport.close()

    async def _send_endless(
        self, request: HttpRequest, answer: EndlessResponse
    ) -> None:
        transport = request.connection.transport
        if transport is not None:
            await send_without_end(transport, answer)
