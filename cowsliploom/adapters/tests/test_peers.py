"""Peer channels and server on loopback."""

import asyncio
import time

import pytest

from cowsliploom.adapters import PeerChannels, PeerServer, PeerUnanswered
from cowsliploom.coordination import FetchReply, FetchRequest, Frame, FrameKind, Member

FRAME = Frame(FrameKind.PROBE, Member('vm-1', '127.0.0.1:1', 'de'))
DELAYED_ACK_MS = 40  # the least that a delayed acknowledgement costs
TIMEOUT_MS = 2000


async def echo(frame):
    return frame


async def stall(frame):
    await asyncio.sleep(TIMEOUT_MS)


async def answer_ask(ask):
    return FetchReply(ask.after_revision)


def with_server(answer_frame, play):
    async def run():
        server = PeerServer('127.0.0.1:0', answer_frame, answer_ask)
        await server.start()
        with PeerChannels() as channels:
            outcome = await play(server, channels)
        await server.close()
        return outcome

    return asyncio.run(run())


def test_warm_call_waits_for_no_delayed_acknowledgement():
    async def play(server, channels):
        spans_ms = []
        for _ in range(20):
            start_s = time.perf_counter()
            await channels.exchange(server.address, FRAME, TIMEOUT_MS)
            spans_ms.append((time.perf_counter() - start_s) * 1000)
        return min(spans_ms)

    assert with_server(echo, play) < DELAYED_ACK_MS - 10


def test_call_ends_at_its_deadline_and_leaves_others_alone():
    async def play(server, channels):
        stalled = await channels.exchange(server.address, FRAME, 100)
        fetched = await channels.fetch(server.address, FetchRequest(7), TIMEOUT_MS)
        return stalled, fetched

    stalled, fetched = with_server(stall, play)
    assert isinstance(stalled, PeerUnanswered)
    assert stalled.step == 'peer.exchange'
    assert fetched == FetchReply(7)


def test_call_to_nobody_names_step_and_peer():
    async def play(server, channels):
        return await channels.exchange('127.0.0.1:1', FRAME, TIMEOUT_MS)

    unanswered = with_server(echo, play)
    assert unanswered.step == 'peer.exchange'
    assert unanswered.peer == '127.0.0.1:1'


@pytest.mark.parametrize('address', ['', 'nowhere', '127.0.0.1:port'])
def test_address_that_is_none_is_an_unanswered_call(address):
    async def play(server, channels):
        frame = await channels.exchange(address, FRAME, TIMEOUT_MS)
        fetched = await channels.fetch(address, FetchRequest(0), TIMEOUT_MS)
        return frame, fetched

    for unanswered in with_server(echo, play):
        assert isinstance(unanswered, PeerUnanswered)


def test_closed_server_answers_nobody_on_old_connections():
    async def play(server, channels):
        await channels.exchange(server.address, FRAME, TIMEOUT_MS)
        await server.close()
        return await channels.exchange(server.address, FRAME, TIMEOUT_MS)

    assert isinstance(with_server(echo, play), PeerUnanswered)


def test_channels_stay_bounded():
    async def play(server, channels):
        channels.channels_max = 2
        servers = [PeerServer('127.0.0.1:0', echo, answer_ask) for _ in range(4)]
        for other in servers:
            await other.start()
            assert await channels.exchange(other.address, FRAME, TIMEOUT_MS) == FRAME
        size = len(channels)
        for other in servers:
            await other.close()
        return size

    assert with_server(echo, play) == 2
