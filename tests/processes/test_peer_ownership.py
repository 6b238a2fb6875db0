"""Ownership on real processes: at most one owner despite freezes and kills."""

import collections
import itertools

import pytest

from tests.processes.fleet import Fleet, wait_until
from tests.processes.peer_process import SERVERS, SETTINGS

pytestmark = pytest.mark.processes
MODULE = 'tests.processes.peer_process'
NAMES = ('vm-0', 'vm-1', 'vm-2')


@pytest.fixture
def fleet(tmp_path):
    with Fleet(str(tmp_path)) as started:
        for name in NAMES:
            started.start(MODULE, name, name, str(tmp_path))
        yield started


def read_acts(tmp_path):
    """Return each action as time, server and owner, ordered by time."""
    acts = []
    for file in tmp_path.glob('*.acts'):
        for line in file.read_text().splitlines():
            server, at_ms = line.split()
            acts.append((float(at_ms), server, file.stem))
    return sorted(acts)


def last_owners(tmp_path):
    return {server: name for _, server, name in read_acts(tmp_path)}


def assert_no_overlap(tmp_path):
    by_server = collections.defaultdict(list)
    for at_ms, server, name in read_acts(tmp_path):
        by_server[server].append((at_ms, name))
    for acts in by_server.values():
        for before, after in itertools.pairwise(acts):
            if before[1] != after[1]:
                assert after[0] - before[0] >= SETTINGS.request_max_ms


def wait_until_owned(tmp_path, without=''):
    def owned():
        owners = last_owners(tmp_path)
        return len(owners) == len(SERVERS) and without not in owners.values()

    wait_until(owned, f'an owner for each server other than {without!r}')


def test_frozen_owner_is_replaced_and_does_not_act_on_resume(fleet, tmp_path):
    wait_until_owned(tmp_path)
    frozen_name = last_owners(tmp_path)[SERVERS[0].server]
    frozen = next(daemon for daemon in fleet.daemons if daemon.name == frozen_name)
    frozen.freeze()
    wait_until_owned(tmp_path, without=frozen_name)
    frozen.wake()
    wait_until(
        lambda: last_owners(tmp_path)[SERVERS[0].server] == frozen_name,
        'the resumed member owns again',
    )
    assert_no_overlap(tmp_path)


def test_killed_owner_restarted_and_killed_again_is_replaced(fleet, tmp_path):
    wait_until_owned(tmp_path)
    killed_name = last_owners(tmp_path)[SERVERS[0].server]
    killed = next(daemon for daemon in fleet.daemons if daemon.name == killed_name)
    killed.kill()
    fleet.start(MODULE, killed_name, killed_name, str(tmp_path))
    seen = len(read_acts(tmp_path))
    wait_until(lambda: len(read_acts(tmp_path)) > seen, 'acts after the restart')
    killed = fleet.daemons[-1]
    killed.kill()
    wait_until_owned(tmp_path, without=killed_name)
    assert_no_overlap(tmp_path)
