"""Peers accept updates as large as the largest value of the store."""

import asyncio
import random
import time

import pytest

from cowsliploom.dataplane import ConnectionPool
from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_calls import PATH
from cowsliploom.gateway._peer_wire import PeerMessage, encode_message, encode_updates
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.members import Batch, Member, MembershipTable, MirrorItem

APPLY_MS = 3000
MS_PER_S = 1000
ASK_TIMEOUT_MS = 5000
KIB = 1024
VALUE_BYTES_MAX = KIB * KIB  # limit of the store
REVISION = 9


def make_peers():
    """Return the peers of a daemon without any store contents."""
    dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    known = MembershipTable(Member('own', '127.0.0.1:0', 'de'), (), 1)
    return Peers(
        known,
        StoreView(dispatcher, RecordingLog(), APPLY_MS),
        RecordingLog(),
        Metrics(),
        now_ms,
        APPLY_MS,
    )


def now_ms():
    """Return the monotonic time in milliseconds."""
    return time.monotonic() * MS_PER_S


def update_request(peers, value_bytes):
    """Return another member's request with an update of one item."""
    item = MirrorItem('op/config', random.Random(1).randbytes(value_bytes), REVISION)
    body = encode_message(
        PeerMessage(
            'other',
            '127.0.0.1:9',
            'de',
            REVISION,
            age_ms=0,
            census=peers.known.census(now_ms()),
            news=encode_updates(Batch(REVISION, (item,), is_whole=True)),
        )
    )
    head = f'POST {PATH} HTTP/1.1\r\nHost: own\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


@pytest.mark.parametrize('value_bytes', [KIB, 300 * KIB, VALUE_BYTES_MAX])
def test_update_with_an_item_of_any_size_the_store_accepts_is_applied(value_bytes):
    """An update with a configuration of 1,450 routes was rejected with 413."""

    async def scenario():
        peers = make_peers()
        await peers.listener.start()
        pool = ConnectionPool(peers.listener.address)
        answer = await pool.ask(update_request(peers, value_bytes), ASK_TIMEOUT_MS)
        pool.close()
        await peers.listener.close()
        assert answer.status == 200
        assert peers.updates.mirror.revision == REVISION
        assert len(peers.updates.mirror.get('op/config').content) == value_bytes

    asyncio.run(scenario())
