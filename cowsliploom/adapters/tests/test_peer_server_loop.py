import asyncio

from cowsliploom.adapters import PeerChannels, PeerServer
from cowsliploom.coordination import FetchReply, FetchRequest

TIMEOUT_MS = 2000
ASK = FetchRequest(3)
ANSWER = FetchReply(revision=4, middle=b'four')


async def answer_frame(frame):
    return frame


async def answer_ask(ask):
    return ANSWER


async def fetch_once(server):
    await server.start()
    with PeerChannels() as channels:
        answer = await channels.fetch(server.address, ASK, TIMEOUT_MS)
    await server.close()
    return answer


def test_server_made_before_its_loop_answers_on_the_loop_that_starts_it():
    server = PeerServer('127.0.0.1:0', answer_frame, answer_ask)
    assert asyncio.run(fetch_once(server)) == ANSWER
