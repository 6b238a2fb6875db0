"""What is missing here is fetched from one member at a time."""

import asyncio

from cowsliploom.gateway._pulls import AGAIN_MS, Pulls
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import Batch, StoreMirror


class Members:
    """Members that answer when they are let, and know all up to a revision."""

    def __init__(self):
        self.mirror = StoreMirror()
        self.clock = ManualClock()
        self.pulls = Pulls(self.mirror, self.ask, self.clock.read)
        self.asked = []
        self.may_answer = asyncio.Event()
        self.revision = 0

    async def ask(self, address):
        """Answer as the member at an address does; a dead one never does."""
        self.asked.append(address)
        await self.may_answer.wait()
        if self.revision:
            self.mirror.take(Batch(self.revision, is_whole=True))
        return bool(self.revision)

    async def answer(self, revision):
        """Let all that were asked answer, with what they know."""
        self.revision = revision
        self.may_answer.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def play(script):
    """Run a script with members of its own."""

    async def run():
        members = Members()
        await script(members)

    asyncio.run(run())


def test_news_that_many_tell_of_are_fetched_once():
    """Each member that told of a large configuration was asked for all of it."""

    async def script(members):
        for address in ('a:1', 'b:1', 'c:1'):
            members.pulls.heard(address, 7)
            await asyncio.sleep(0)
        assert members.asked == ['a:1']
        await members.answer(7)
        assert members.asked == ['a:1']

    play(script)


def test_another_member_is_asked_when_the_first_is_slow():
    async def script(members):
        members.pulls.heard('a:1', 7)
        await asyncio.sleep(0)
        members.clock.now_ms = AGAIN_MS
        members.pulls.heard('b:1', 7)
        await asyncio.sleep(0)
        assert members.asked == ['a:1', 'b:1']

    play(script)


def test_no_more_than_two_members_are_asked_at_once():
    """Five copies of the same news were under way, and held each other up."""

    async def script(members):
        for number in range(5):
            members.clock.now_ms = number * AGAIN_MS
            members.pulls.heard(f'm{number}:1', 7)
            await asyncio.sleep(0)
        assert members.asked == ['m0:1', 'm1:1']

    play(script)


def test_what_was_told_of_meanwhile_is_fetched_next():
    async def script(members):
        members.pulls.heard('a:1', 7)
        await asyncio.sleep(0)
        members.pulls.heard('b:1', 9)
        await members.answer(7)
        await asyncio.sleep(0)
        assert members.asked == ['a:1', 'b:1']

    play(script)


def test_a_member_that_does_not_answer_is_not_asked_on_and_on():
    async def script(members):
        members.pulls.heard('a:1', 7)
        await asyncio.sleep(0)
        await members.answer(0)
        await asyncio.sleep(0)
        assert members.asked == ['a:1']

    play(script)


def test_nothing_is_fetched_that_is_known():
    async def script(members):
        members.mirror.take(Batch(7, is_whole=True))
        members.pulls.heard('a:1', 7)
        await asyncio.sleep(0)
        assert members.asked == []

    play(script)
