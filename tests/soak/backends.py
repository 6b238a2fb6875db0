"""Backend servers of the soak; response content identifies server and request."""

import hashlib

from cowsliploom.dataplane import HttpRequest
from cowsliploom.standins import FakeBackendServer
from tests.soak.proxy import Proxy

RECORD_BYTES = 16
RECORDS = 4  # per shard


def records_of(name: str, request_id: str) -> bytes:
    """Return the records of a server's response to a request."""
    seed = f'{name}/{request_id}'.encode()
    digest = hashlib.sha512(seed).digest()
    return digest[: RECORD_BYTES * RECORDS]


class SoakBackend(FakeBackendServer):
    """Respond with records that are unique to server and request, behind a proxy."""

    def __init__(self, name: str, service: str) -> None:
        super().__init__(name, service)
        self.proxy: Proxy | None = None
        self.arrived_ids: list[tuple[float, str]] = []

    async def start(self) -> None:
        """Start the server and its proxy."""
        await super().start()
        self.proxy = Proxy(self.address)
        await self.proxy.start()

    async def close(self) -> None:
        """Stop the server and its proxy."""
        await super().close()
        if self.proxy is not None:
            await self.proxy.close()

    def body_for(self, request_id: str) -> bytes:
        """Return the body of a response."""
        return records_of(self.name, request_id)

    def register(self, **changes: object) -> bytes:
        """Return the registration, with the proxy's address."""
        assert self.proxy is not None
        return self.entry(address=self.proxy.address, **changes)

    def _dispatch(self, request: HttpRequest) -> None:
        headers = {name.lower(): text for name, text in request.headers}
        now_s = request.arrived_ms / 1000
        self.arrived_ids.append((now_s, headers.get('request-id', '')))
        super()._dispatch(request)
