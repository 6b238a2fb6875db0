"""The client of the store keeps what it hears in different eras apart."""

import asyncio

import msgspec
import pytest

from cowsliploom.dataplane import HttpAnswer
from cowsliploom.members import Batch, MirrorItem, store_revision
from cowsliploom.platform import (
    ChangedMeanwhile,
    HistoryGone,
    KeyRevision,
    KeyWrite,
    PlatformStore,
    StoreUnanswered,
    Written,
)

TIMEOUT_MS = 100
WRITE = KeyWrite('k', b'x')


def answer(era, status=200, **fields):
    """Return an answer of the store in an era."""
    headers = [('Store-Era', str(era))]
    return HttpAnswer(status, headers, msgspec.json.encode(fields))


class ScriptedPool:
    """Connections that return answers in order, and keep what was sent."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.sent = []

    async def ask(self, content, timeout_ms):
        """Return the next answer."""
        self.sent.append(content)
        return self.answers.pop(0)


def run(call, *answers, era=0):
    """Make a call with scripted answers; return its result and the client."""

    async def script():
        store = PlatformStore('store:1')
        store.era = era
        store._pool = ScriptedPool(answers)
        return await call(store), store

    return asyncio.run(script())


@pytest.mark.parametrize('known_era', [0, 2])
@pytest.mark.parametrize('others', [(), (KeyRevision('other', 0),)])
def test_condition_of_an_earlier_era_is_not_sent(known_era, others):
    """Guard against a condition that another write of the new era fulfils."""
    expected = (*others, KeyRevision('k', store_revision(known_era, 57)))
    result, store = run(
        lambda each: each.write(expected, (WRITE,), TIMEOUT_MS), era=known_era + 1
    )
    assert result == ChangedMeanwhile()
    assert not store._pool.sent


def test_condition_of_a_later_era_is_sent_with_the_number_of_the_store():
    """Guard against a VM that never writes, as it heard of the era from others."""
    expected = (KeyRevision('k', store_revision(3, 57)), KeyRevision('none', 0))
    result, store = run(
        lambda each: each.write(expected, (WRITE,), TIMEOUT_MS), answer(3, revision=58)
    )
    assert result == Written(store_revision(3, 58))
    assert b'"revision":57}' in store._pool.sent[0]
    assert store.era == 3


def test_write_that_a_restore_overtakes_may_have_taken_effect():
    expected = (KeyRevision('k', 57),)
    result, store = run(
        lambda each: each.write(expected, (WRITE,), TIMEOUT_MS), answer(1, revision=58)
    )
    assert isinstance(result, StoreUnanswered)
    assert store.era == 1


def test_listing_over_a_restore_is_not_taken_over():
    """Guard against contents that are put together from two eras."""
    first = {'key': 'a', 'revision': 5}
    page = answer(0, items=[first], currentRev=9, hasMore=True)
    rest = answer(1, items=[{'key': 'b', 'revision': 6}], currentRev=7)
    result, _ = run(lambda each: each.list_prefix('', TIMEOUT_MS), page, rest)
    assert isinstance(result, StoreUnanswered)


def test_listing_carries_the_era_of_its_answer():
    page = answer(2, items=[{'key': 'a', 'revision': 5}], currentRev=9)
    result, _ = run(lambda each: each.list_prefix('', TIMEOUT_MS), page)
    item = MirrorItem('a', b'', store_revision(2, 5))
    assert result == Batch(store_revision(2, 9), (item,), is_whole=True)


@pytest.mark.parametrize('status', [200, 410])
def test_watch_that_a_restore_overtakes_has_lost_its_history(status):
    """Guard against a watch that goes on over a hole."""
    reply = answer(1, status, events=[], currentRev=99)
    result, store = run(lambda each: each.watch('', 57, 0, TIMEOUT_MS), reply)
    assert result == HistoryGone(57, 1)
    assert store.era == 1


def test_watch_from_an_earlier_era_is_not_sent():
    result, store = run(lambda each: each.watch('', 57, 0, TIMEOUT_MS), era=1)
    assert result == HistoryGone(57, 1)
    assert not store._pool.sent


def test_each_new_era_is_reported_once():
    heard = []

    async def call(store):
        store.on_restored = heard.append
        for _ in range(3):
            await store.is_reachable(TIMEOUT_MS)

    run(call, answer(1), answer(1, 404), answer(2, 503))
    assert heard == [1, 2]
