"""Readiness goes at the first sign of a cut, and stays where others answer."""

import asyncio
from types import SimpleNamespace

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.gateway._isolation import LOOK_AGAIN_MS, LOOK_MS, Isolation
from cowsliploom.gateway.tests.test_store_view import RecordingLog

NOW_MS = 1000


def make_isolation(answers, *, is_cut):
    """Return an isolation whose probes wait until the future is set."""
    desk = make_dispatcher(servers=0)
    names = ('one', *(f's{number}' for number in range(10)))
    heard_ago_ms = 125 if is_cut else 10
    desk.fleet.update([record(f'{name}-0', name, 'gogledd') for name in names], 0)
    for number, server in enumerate(desk.fleet):
        server.add_call(number, NOW_MS - 120)
        server.last_received_ms = NOW_MS - heard_ago_ms

    async def ask(*_timeout):
        return await answers

    others = SimpleNamespace(reaches_others=ask, is_reachable=ask)
    return Isolation(desk, others, others, RecordingLog(), lambda: NOW_MS)


@pytest.mark.parametrize('someone_answers', [False, True])
def test_a_first_sign_withdraws_readiness_until_someone_answers(someone_answers):
    async def play():
        answers = asyncio.get_running_loop().create_future()
        isolation = make_isolation(answers, is_cut=True)
        look = asyncio.create_task(isolation.look())
        await asyncio.sleep(0)
        assert not isolation.is_ready
        assert not isolation.is_isolated
        answers.set_result(someone_answers)
        assert await look == LOOK_AGAIN_MS
        assert isolation.is_ready is someone_answers

    asyncio.run(play())


def test_while_servers_elsewhere_answer_nobody_is_asked():
    async def play():
        answers = asyncio.get_running_loop().create_future()
        isolation = make_isolation(answers, is_cut=False)
        assert await isolation.look() == LOOK_MS
        assert isolation.is_ready

    asyncio.run(play())
