"""Watches of the fake store return all events up to their revision."""

import asyncio

import msgspec

from cowsliploom.dataplane import ConnectionPool, HttpAnswer
from cowsliploom.standins import FakePlatformStore

TIMEOUT_MS = 2000


async def watch_during(store, after, wait_ms, meanwhile):
    """Run a watch, call ``meanwhile`` after its first check, return the response."""
    pool = ConnectionPool(store.address)
    head = (
        f'GET /v1/kv-watch?after={after}&waitMs={wait_ms} HTTP/1.1\r\nHost: s\r\n\r\n'
    )
    watch_task = asyncio.create_task(pool.ask(head.encode(), TIMEOUT_MS))
    while not store.calls:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    meanwhile()
    answer = await watch_task
    pool.close()
    assert isinstance(answer, HttpAnswer)
    return msgspec.json.decode(answer.body)


def test_write_at_end_of_watch_is_returned():
    async def scenario():
        store = FakePlatformStore()
        await store.start()
        after = store.put('a', b'')
        answer = await watch_during(store, after, 5, lambda: store.put('b', b''))
        await store.close()
        return answer

    answer = asyncio.run(scenario())
    assert [event['key'] for event in answer['events']] == ['b']
