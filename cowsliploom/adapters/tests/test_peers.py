"""Peer calls between a server and channels on the loopback interface."""

import asyncio
import time

import pytest

from cowsliploom.adapters import PeerChannels, PeerServer, PeerUnanswered
from cowsliploom.coordination import FetchReply, FetchRequest, Frame, FrameKind, Member

FRAME = Frame(FrameKind.PROBE, Member('vm-1', '127.0.0.1:1', 'de'))
DELAYED_ACK_MS = 40  # shortest delay of a delayed TCP acknowledgement
TIMEOUT_MS = 2000


async def echo(frame):
    return frame


async def stall(frame):
    await asyncio.sleep(TIMEOUT_MS)


async def reply_to_fetch(request):
    return FetchReply(request.after_revision)


def run_with_server(handle_frame, scenario):
    async def run():
        server = PeerServer('127.0.0.1:0', handle_frame, reply_to_fetch)
        await server.start()
        with PeerChannels() as channels:
            outcome = await scenario(server, channels)
        await server.close()
        return outcome

    return asyncio.run(run())


def test_call_on_open_channel_has_no_delayed_ack():
    async def scenario(server, channels):
        durations_ms = []
        for _ in range(20):
            start_s = time.perf_counter()
            await channels.exchange(server.address, FRAME, TIMEOUT_MS)
            durations_ms.append((time.perf_counter() - start_s) * 1000)
        return min(durations_ms)

    assert run_with_server(echo, scenario) < DELAYED_ACK_MS - 10


def test_call_times_out_at_deadline_and_next_call_succeeds():
    async def scenario(server, channels):
        stalled = await channels.exchange(server.address, FRAME, 100)
        fetched = await channels.fetch(server.address, FetchRequest(7), TIMEOUT_MS)
        return stalled, fetched

    stalled, fetched = run_with_server(stall, scenario)
    assert isinstance(stalled, PeerUnanswered)
    assert stalled.step == 'peer.exchange'
    assert fetched == FetchReply(7)


def test_refused_connection_is_unanswered_with_step_and_peer():
    async def scenario(server, channels):
        return await channels.exchange('127.0.0.1:1', FRAME, TIMEOUT_MS)

    unanswered = run_with_server(echo, scenario)
    assert unanswered.step == 'peer.exchange'
    assert unanswered.peer == '127.0.0.1:1'


@pytest.mark.parametrize('address', ['', 'nowhere', '127.0.0.1:port'])
def test_invalid_address_is_unanswered_call(address):
    async def scenario(server, channels):
        frame = await channels.exchange(address, FRAME, TIMEOUT_MS)
        fetched = await channels.fetch(address, FetchRequest(0), TIMEOUT_MS)
        return frame, fetched

    for unanswered in run_with_server(echo, scenario):
        assert isinstance(unanswered, PeerUnanswered)


def test_closed_server_rejects_calls_on_open_connections():
    async def scenario(server, channels):
        await channels.exchange(server.address, FRAME, TIMEOUT_MS)
        await server.close()
        return await channels.exchange(server.address, FRAME, TIMEOUT_MS)

    assert isinstance(run_with_server(echo, scenario), PeerUnanswered)


def test_number_of_open_channels_is_bounded():
    async def scenario(server, channels):
        channels.channels_max = 2
        servers = [PeerServer('127.0.0.1:0', echo, reply_to_fetch) for _ in range(4)]
        for other in servers:
            await other.start()
            assert await channels.exchange(other.address, FRAME, TIMEOUT_MS) == FRAME
        size = len(channels)
        for other in servers:
            await other.close()
        return size

    assert run_with_server(echo, scenario) == 2
