import asyncio

from cowsliploom.adapters import PeerChannels, PeerServer
from cowsliploom.coordination import FetchReply, FetchRequest

TIMEOUT_MS = 2000
REQUEST = FetchRequest(3)
REPLY = FetchReply(revision=4, middle=b'four')


async def echo_frame(frame):
    return frame


async def reply_to_fetch(request):
    return REPLY


async def fetch_once(server):
    await server.start()
    with PeerChannels() as channels:
        reply = await channels.fetch(server.address, REQUEST, TIMEOUT_MS)
    await server.close()
    return reply


def test_server_created_without_a_loop_responds_on_the_loop_that_starts_it():
    server = PeerServer('127.0.0.1:0', echo_frame, reply_to_fetch)
    assert asyncio.run(fetch_once(server)) == REPLY
