"""Peer tasks on loopback discover each other and exchange updates."""

import asyncio

import pytest

from cowsliploom.coordination import (
    ConfigurationReceived,
    Fact,
    FactReceived,
    Member,
    MembersChanged,
    MembershipSettings,
)
from cowsliploom.daemons import PeerTask, PeerTaskSettings

FAST = MembershipSettings(probe_interval_ms=100, contact_interval_ms=200)
WAIT_S = 20


class Recorder:
    """Record the events of one task, and announce received configurations."""

    def __init__(self):
        self.events = []
        self.task = None

    def __call__(self, event):
        self.events.append(event)
        if isinstance(event, ConfigurationReceived):
            self.task.announce_configuration(event.revision, event.blob)

    def last(self, kind):
        return next(
            (event for event in reversed(self.events) if isinstance(event, kind)),
            None,
        )

    def live_names(self):
        changed = self.last(MembersChanged)
        return {member.name for member in changed.live} if changed else set()


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


async def start_fleet(places):
    fleet = []
    for number, data_centre in enumerate(places):
        recorder = Recorder()
        member = Member(f'vm-{number}', '', data_centre, incarnation=1)
        settings = PeerTaskSettings(member, '127.0.0.1:0', FAST, seed=number + 1)
        task = PeerTask(settings, recorder)
        recorder.task = task
        await task.start()
        fleet.append((task, recorder))
    seeds = tuple(
        Member(f'vm-{index}', task.address, places[index])
        for index, (task, _) in enumerate(fleet)
    )
    for task, _ in fleet:
        task.set_seeds(seeds)
    return fleet


async def close_fleet(fleet):
    for task, _ in fleet:
        await task.close()


@pytest.mark.parametrize(
    'places', [('de', 'de', 'de'), ('de', 'gogledd'), ('de', 'de', 'gogledd')]
)
def test_tasks_discover_each_other_and_share_updates(places):
    async def scenario():
        fleet = await start_fleet(places)
        everyone = {f'vm-{number}' for number in range(len(places))}
        await until(
            lambda: all(recorder.live_names() == everyone for _, recorder in fleet)
        )
        fleet[0][0].announce_configuration(3, b'three')
        fleet[0][0].announce_fact(Fact('veto/x', 1, b'no'))
        await until(lambda: all(rec.last(ConfigurationReceived) for _, rec in fleet))
        await until(lambda: all(rec.last(FactReceived) for _, rec in fleet))
        await until(
            lambda: all(
                {status.applied_revision for status in task.fleet()} == {3}
                for task, _ in fleet
            )
        )
        received = [recorder.last(ConfigurationReceived) for _, recorder in fleet]
        await close_fleet(fleet)
        return received

    assert set(asyncio.run(scenario())) == {ConfigurationReceived(3, b'three')}


def test_leaving_and_closed_tasks_are_removed_from_members():
    async def scenario():
        fleet = await start_fleet(('de', 'de', 'de', 'de'))
        recorder = fleet[0][1]
        await until(lambda: len(recorder.live_names()) == 4)
        await fleet[3][0].leave()
        await until(lambda: recorder.live_names() == {'vm-0', 'vm-1', 'vm-2'})
        await fleet[2][0].close()
        await until(lambda: recorder.live_names() == {'vm-0', 'vm-1'})
        await close_fleet(fleet[:2])
        await fleet[3][0].close()

    asyncio.run(scenario())


def test_failing_callback_stops_neither_ticks_nor_later_events():
    async def scenario():
        fleet = await start_fleet(('de', 'de'))
        task, recorder = fleet[0]
        received = []

        def fail(event):
            received.append(event)
            raise ValueError('callback fails')

        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        task.on_event = fail
        fleet[1][0].announce_fact(Fact('veto/x', 1, b'no'))
        await until(lambda: any(isinstance(event, FactReceived) for event in received))
        fleet[1][0].announce_fact(Fact('veto/x', 2, b'no'))
        await until(lambda: FactReceived(Fact('veto/x', 2, b'no')) in received)
        await asyncio.sleep(1)
        assert {status.name for status in fleet[1][0].fleet()} == {'vm-0', 'vm-1'}
        await close_fleet(fleet)

    asyncio.run(scenario())


def test_revision_counts_as_applied_only_after_announcement():
    async def scenario():
        fleet = await start_fleet(('de', 'de'))
        receiver = fleet[1][1]
        receiver.task = Recorder()
        receiver.task.announce_configuration = lambda revision, blob: None
        fleet[0][0].announce_configuration(3, b'three')
        await until(lambda: receiver.last(ConfigurationReceived))
        await asyncio.sleep(1)
        before = {status.applied_revision for status in fleet[0][0].fleet()}
        fleet[1][0].announce_configuration(3, b'three')
        await until(
            lambda: {status.applied_revision for status in fleet[0][0].fleet()} == {3}
        )
        await close_fleet(fleet)
        return before

    assert asyncio.run(scenario()) == {0, 3}
