"""Readiness is withdrawn while a cut is suspected, and kept if a probe is answered."""

import asyncio
from types import SimpleNamespace

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.gateway._isolation import (
    CHECK_INTERVAL_MS,
    PROBED_CHECK_INTERVAL_MS,
    Isolation,
)
from cowsliploom.gateway.tests.test_store_view import RecordingLog

NOW_MS = 1000


def make_isolation(answers, *, is_cut, store=None):
    """Return an isolation whose probes wait for a future."""
    dispatcher = make_dispatcher(servers=0)
    names = ('one', *(f's{number}' for number in range(10)))
    received_ago_ms = 125 if is_cut else 10
    dispatcher.fleet.update([record(f'{name}-0', name, 'gogledd') for name in names], 0)
    for number, server in enumerate(dispatcher.fleet):
        server.add_call(number, NOW_MS - 120)
        server.last_received_ms = NOW_MS - received_ago_ms

    async def ask(*_timeout):
        return await answers

    others = SimpleNamespace(reaches_others=ask, is_reachable=ask)
    return Isolation(
        dispatcher, others, store or others, RecordingLog(), lambda: NOW_MS
    )


@pytest.mark.parametrize('is_answered', [False, True])
def test_suspected_cut_withdraws_readiness_until_a_probe_is_answered(is_answered):
    async def run_scenario():
        answers = asyncio.get_running_loop().create_future()
        isolation = make_isolation(answers, is_cut=True)
        check = asyncio.create_task(isolation.check())
        await asyncio.sleep(0)
        assert not isolation.is_ready
        assert not isolation.is_isolated
        answers.set_result(is_answered)
        assert await check == PROBED_CHECK_INTERVAL_MS
        assert isolation.is_ready is is_answered

    asyncio.run(run_scenario())


class CountingStore:
    """A store that counts the probes it gets."""

    def __init__(self, answers):
        self.answers = answers
        self.probes = 0

    async def is_reachable(self, _timeout_ms):
        """Count the probe and answer it."""
        self.probes += 1
        return self.answers


@pytest.mark.parametrize(
    ('others_answer', 'probes'), [(True, 0), (False, 1)], ids=['members', 'nobody']
)
def test_store_is_probed_once_a_second_and_only_if_no_member_answers(
    others_answer, probes
):
    """All VMs of a data centre asked the store five times a second while it was cut."""

    async def run_scenario():
        answers = asyncio.get_running_loop().create_future()
        answers.set_result(others_answer)
        store = CountingStore(answers=False)
        isolation = make_isolation(answers, is_cut=True, store=store)
        for _ in range(4):
            await isolation.check()
        assert store.probes == probes
        assert isolation.is_ready is others_answer

    asyncio.run(run_scenario())


def test_no_probe_is_sent_while_servers_elsewhere_answer():
    async def run_scenario():
        answers = asyncio.get_running_loop().create_future()
        isolation = make_isolation(answers, is_cut=False)
        assert await isolation.check() == CHECK_INTERVAL_MS
        assert isolation.is_ready

    asyncio.run(run_scenario())
