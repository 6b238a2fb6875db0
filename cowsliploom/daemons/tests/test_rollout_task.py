"""Rollout tasks on an in-memory store, with real threads."""

import time
from dataclasses import replace

import pytest

from cowsliploom.adapters import SystemClock
from cowsliploom.daemons._rollout_task import RolloutTask
from cowsliploom.rollout import RecordSample
from cowsliploom.rollout.tests.move_simulation import configuration
from cowsliploom.standins import MemoryStore

WAIT_S = 20


class Daemon:
    """Rollout task whose facts are delivered to the other daemons."""

    def __init__(self, name, store, fleet):
        self.shares = []
        self.fleet = fleet
        self.task = RolloutTask(
            store, SystemClock(), name, 'a', self.shares.append, self.announce
        )
        fleet.append(self)

    def announce(self, key, generation, blob):
        for other in self.fleet:
            if other is not self:
                other.task.handle_fact(key, generation, blob)

    def share(self):
        latest = self.shares[-1].shares if self.shares else ()
        return latest[0].share if latest else None


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, 'condition not met in time'
        time.sleep(0.01)


@pytest.fixture
def fleet():
    store, daemons = MemoryStore(SystemClock()), []
    for number in range(3):
        Daemon(f'entry-{number}', store, daemons)
    for daemon in daemons:
        daemon.task.__enter__()
        daemon.task.apply_configuration(configuration(servers=1), len(daemons))
    yield daemons
    for daemon in daemons:
        daemon.task.__exit__(None, None, None)


def sample(version, ok):
    return RecordSample(
        now_ms=SystemClock().now_ms(),
        service='rota',
        route='book',
        version=version,
        server=version,
        elapsed_ms=5,
        ok=ok,
        cold=False,
    )


def test_first_share_reaches_all_daemons(fleet):
    wait_for(lambda: all(daemon.share() for daemon in fleet))
    assert sum(daemon.task.view().is_controller for daemon in fleet) == 1


def test_calls_of_other_services_raise_no_veto(fleet):
    wait_for(lambda: all(daemon.share() for daemon in fleet))
    for _ in range(200):
        other = replace(sample('v2', ok=False), service='another')
        fleet[0].task.add_sample(other)
    assert not fleet[0].task.view().vetoes


def test_veto_of_one_daemon_rolls_back_on_all(fleet):
    wait_for(lambda: all(daemon.share() for daemon in fleet))
    for _ in range(60):
        fleet[1].task.add_sample(sample('v1', ok=True))
        fleet[1].task.add_sample(sample('v2', ok=False))
    wait_for(lambda: not any(daemon.share() for daemon in fleet))
    wait_for(lambda: fleet[0].task.view().states['move'].status == 'taken_back')
