"""Missing updates are fetched from one member at a time."""

import asyncio

from cowsliploom.gateway._update_fetcher import RETRY_AFTER_MS, UpdateFetcher
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import Batch, StoreMirror


class Members:
    """Members that hold all updates up to a revision and answer on demand."""

    def __init__(self):
        self.mirror = StoreMirror()
        self.clock = ManualClock()
        self.fetcher = UpdateFetcher(self.mirror, self.fetch, self.clock.read)
        self.fetched_from = []
        self.may_answer = asyncio.Event()
        self.revision = 0

    async def fetch(self, address):
        """Act as the member at an address; return False at revision 0."""
        self.fetched_from.append(address)
        await self.may_answer.wait()
        if self.revision:
            self.mirror.apply(Batch(self.revision, is_whole=True))
        return bool(self.revision)

    async def answer(self, revision):
        """Let all pending fetches finish with a revision; 0 makes them fail."""
        self.revision = revision
        self.may_answer.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def run_scenario(scenario):
    """Run a scenario with new members."""

    async def run():
        members = Members()
        await scenario(members)

    asyncio.run(run())


def test_updates_announced_by_several_members_are_fetched_once():
    """A large configuration was fetched from every member that announced it."""

    async def scenario(members):
        for address in ('a:1', 'b:1', 'c:1'):
            members.fetcher.note_revision(address, 7)
            await asyncio.sleep(0)
        assert members.fetched_from == ['a:1']
        await members.answer(7)
        assert members.fetched_from == ['a:1']

    run_scenario(scenario)


def test_second_member_is_tried_when_the_first_is_slow():
    async def scenario(members):
        members.fetcher.note_revision('a:1', 7)
        await asyncio.sleep(0)
        members.clock.now_ms = RETRY_AFTER_MS
        members.fetcher.note_revision('b:1', 7)
        await asyncio.sleep(0)
        assert members.fetched_from == ['a:1', 'b:1']

    run_scenario(scenario)


def test_at_most_two_fetches_run_at_once():
    """Five concurrent copies of the same updates slowed each other down."""

    async def scenario(members):
        for number in range(5):
            members.clock.now_ms = number * RETRY_AFTER_MS
            members.fetcher.note_revision(f'm{number}:1', 7)
            await asyncio.sleep(0)
        assert members.fetched_from == ['m0:1', 'm1:1']

    run_scenario(scenario)


def test_revision_announced_during_a_fetch_is_fetched_next():
    async def scenario(members):
        members.fetcher.note_revision('a:1', 7)
        await asyncio.sleep(0)
        members.fetcher.note_revision('b:1', 9)
        await members.answer(7)
        await asyncio.sleep(0)
        assert members.fetched_from == ['a:1', 'b:1']

    run_scenario(scenario)


def test_failed_fetch_is_not_repeated_without_an_announcement():
    async def scenario(members):
        members.fetcher.note_revision('a:1', 7)
        await asyncio.sleep(0)
        await members.answer(0)
        await asyncio.sleep(0)
        assert members.fetched_from == ['a:1']

    run_scenario(scenario)


def test_known_revision_is_not_fetched():
    async def scenario(members):
        members.mirror.apply(Batch(7, is_whole=True))
        members.fetcher.note_revision('a:1', 7)
        await asyncio.sleep(0)
        assert members.fetched_from == []

    run_scenario(scenario)
