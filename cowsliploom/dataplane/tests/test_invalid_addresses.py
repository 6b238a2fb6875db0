"""A call to an invalid address fails immediately and has not run."""

import asyncio
import time

import pytest

from cowsliploom.dataplane import ConnectionPool, HttpFailure, open_frame_connection
from cowsliploom.forwarding import CallStep

TIMEOUT_MS = 2000
INVALID = ['127.0.0.1:99999', '127.0.0.1:x', 'é:80', '', ':', 'h' * 300 + ':80']


@pytest.mark.parametrize('address', INVALID)
def test_call_to_an_invalid_address_fails_at_once(address):
    async def ask():
        pool = ConnectionPool(address)
        return await pool.ask(b'GET / HTTP/1.1\r\n\r\n', TIMEOUT_MS)

    started = time.monotonic()
    failure = asyncio.run(ask())
    assert isinstance(failure, HttpFailure)
    assert (failure.step, failure.may_have_run) == (CallStep.CONNECT, False)
    assert time.monotonic() - started < 1


@pytest.mark.parametrize('address', INVALID)
def test_connecting_to_an_invalid_address_raises_os_error(address):
    with pytest.raises(OSError):
        asyncio.run(open_frame_connection(address, print, print))
