"""The stand-in of the users' store keeps nothing from a watch."""

import asyncio

import msgspec

from cowsliploom.dataplane import ConnectionPool, HttpAnswer
from cowsliploom.standins import FakePlatformStore

TIMEOUT_MS = 2000


async def watched(store, after, wait_ms, meanwhile):
    """Return a watch's answer; act once the watch has looked for the first time."""
    pool = ConnectionPool(store.address)
    head = (
        f'GET /v1/kv-watch?after={after}&waitMs={wait_ms} HTTP/1.1\r\nHost: s\r\n\r\n'
    )
    asking = asyncio.create_task(pool.ask(head.encode(), TIMEOUT_MS))
    while not store.calls:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    meanwhile()
    answer = await asking
    pool.close()
    assert isinstance(answer, HttpAnswer)
    return msgspec.json.decode(answer.body)


def test_a_write_at_the_end_of_a_watch_is_told():
    async def script():
        store = FakePlatformStore()
        await store.start()
        after = store.put('a', b'')
        answer = await watched(store, after, 5, lambda: store.put('b', b''))
        await store.close()
        return answer

    answer = asyncio.run(script())
    assert [event['key'] for event in answer['events']] == ['b']
