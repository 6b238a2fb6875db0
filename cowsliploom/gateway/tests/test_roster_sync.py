"""Member lists of a large fleet agree again, at few bytes, while members come and go.

The load pattern: 195 VMs are restarted one after the other, so that no two of them know
the same members for long.
"""

import random
from collections import Counter

import pytest

from cowsliploom.gateway._peer_wire import MESSAGE_VERSION, PeerMessage, encode_message
from cowsliploom.gateway._roster_sync import RosterSync
from cowsliploom.members import LivenessRecord, Member, MembershipTable

DATA_CENTRES = ('a', 'b', 'c', 'd', 'e')
VMS = 195
EXCHANGE_MS = 500
STEP_MS = 50
RESTART_MS = 500  # between two members that leave
DOWN_MS = 2000
HEAD_BYTES = 150  # of an HTTP request or answer
BYTES_PER_S_MAX = 5120  # control traffic of one VM, docs/CAPACITY.md
ROLLING_RATIO = 2  # allowed while VMs are restarted one after the other


def message_of(table, now_ms, version=MESSAGE_VERSION):
    """Return a regular message of a member."""
    own = table.own
    return PeerMessage(
        own.name,
        own.address,
        own.data_centre,
        revision=1000,
        age_ms=40.0,
        census=table.census(now_ms),
        version=version,
    )


class Fleet:
    """Members that exchange messages, and count the bytes that each sends."""

    def __init__(self, seed, count=VMS):
        self.random = random.Random(seed)
        self.members = [
            Member(f'front-{at}', f'10.{at % 5}.0.{at}:7380', DATA_CENTRES[at % 5])
            for at in range(count)
        ]
        self.seeds = tuple(one.address for one in self.members[:3])
        self.tables = {one.address: self._table(one) for one in self.members}
        self.down_until_ms = {}
        self.sent_bytes = Counter()
        self.now_ms = 0
        for table in self.tables.values():
            table.record((LivenessRecord(one, 0) for one in self.members), 0)

    def _table(self, member):
        return MembershipTable(member, self.seeds, self.random.randrange(10**9))

    def run(self, until_ms, restarts=0):
        """Exchange until a time, and restart members meanwhile, one after another."""
        restarting = self.members[: -restarts - 1 : -1]
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            if restarting and self.now_ms % RESTART_MS == 0:
                self._stop(restarting.pop())
            self._start_again()
            for table in tuple(self.tables.values()):
                if self.random.random() < STEP_MS / EXCHANGE_MS:
                    self.exchange(table)
        return self

    def _stop(self, member):
        del self.tables[member.address]
        self.down_until_ms[member] = self.now_ms + DOWN_MS
        for table in self.tables.values():
            table.remove(member.name)

    def _start_again(self):
        for member, until_ms in tuple(self.down_until_ms.items()):
            if self.now_ms >= until_ms:
                del self.down_until_ms[member]
                self.tables[member.address] = self._table(member)

    def exchange(self, table):
        """Exchange messages with a partner, as a daemon does."""
        other = self.tables.get(table.partner(self.now_ms))
        if other is None:
            return
        sent = message_of(table, self.now_ms)
        answer = self._call(table, other, sent)
        if RosterSync(table).apply(answer, self.now_ms):
            return
        new = message_of(table, self.now_ms)
        follow_up = RosterSync(table).follow_up(new, sent, answer, self.now_ms)
        if follow_up is not None:
            answer = self._call(table, other, follow_up)
            RosterSync(table).apply(answer, self.now_ms)

    def _call(self, table, other, sent):
        self.sent_bytes[table.own.name] += len(encode_message(sent)) + HEAD_BYTES
        is_same = RosterSync(other).apply(sent, self.now_ms)
        answer = message_of(other, self.now_ms)
        if not is_same:
            answer = RosterSync(other).answer(answer, sent, self.now_ms)
        self.sent_bytes[other.own.name] += len(encode_message(answer)) + HEAD_BYTES
        return answer

    def rosters(self):
        """Return how many different member lists there are."""
        digests = {one.census(self.now_ms).digest for one in self.tables.values()}
        return len(digests)


@pytest.mark.parametrize('seed', [1, 2])
def test_rolling_restart_costs_each_vm_few_bytes(seed):
    """A VM sent 11 KB a second, as the names of all members went both ways."""
    until_ms = 10_000
    fleet = Fleet(seed).run(until_ms, restarts=20)
    mean_bytes = fleet.sent_bytes.total() / VMS / (until_ms / 1000)
    assert mean_bytes <= ROLLING_RATIO * BYTES_PER_S_MAX


def test_calm_fleet_stays_within_the_bytes_of_control_traffic():
    fleet = Fleet(3).run(4000)
    mean_bytes = fleet.sent_bytes.total() / VMS / 4
    assert mean_bytes <= BYTES_PER_S_MAX


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_member_lists_agree_soon_after_the_last_restart(seed):
    fleet = Fleet(seed, count=60).run(5000, restarts=8)
    fleet.run(fleet.now_ms + DOWN_MS + 4000)
    assert fleet.rosters() == 1
    assert len(next(iter(fleet.tables.values())).live(fleet.now_ms)) == 60


def two_tables():
    """Return two members that know one other member each, besides one another."""
    near, far, left, right = (
        Member(name, f'10.0.0.{at}:1', 'de')
        for at, name in enumerate(('near', 'far', 'left', 'right'))
    )
    tables = []
    for own, others in ((near, (far, left)), (far, (near, right))):
        table = MembershipTable(own, (), 1)
        table.record((LivenessRecord(one, 100) for one in others), 0)
        tables.append(table)
    return tables


@pytest.mark.parametrize(
    ('near_version', 'far_version'),
    [(MESSAGE_VERSION, MESSAGE_VERSION), (0, MESSAGE_VERSION), (MESSAGE_VERSION, 0)],
    ids=['same-release', 'older-asks', 'older-answers'],
)
def test_two_releases_learn_each_others_members(near_version, far_version):
    near, far = two_tables()
    sent = message_of(near, 0, near_version)
    assert not RosterSync(far).apply(sent, 0)
    answer = message_of(far, 0, far_version)
    if far_version:
        answer = RosterSync(far).answer(answer, sent, 0)
    else:
        answer = RosterSync(far).answer(answer, message_of(near, 0, 0), 0)
    RosterSync(near).apply(answer, 0)
    new = message_of(near, 0, near_version)
    follow_up = RosterSync(near).follow_up(new, sent, answer, 0)
    if near_version and follow_up is not None:
        answer = RosterSync(far).answer(message_of(far, 0), follow_up, 0)
        RosterSync(far).apply(follow_up, 0)
        RosterSync(near).apply(answer, 0)
    assert 'right' in near.live_names(0)
    if near_version:
        assert 'left' in far.live_names(0)


def test_ages_of_unknown_members_and_a_cut_entry_change_nothing():
    near, _ = two_tables()
    sent = message_of(near, 0)
    odd = PeerMessage(
        'far', '10.0.0.1:1', 'de', 1, 0, sent.census, member_ages=b'\x01' * 13
    )
    RosterSync(near).apply(odd, 0)
    assert set(near.live_names(0)) == {'near', 'far', 'left'}


def test_leaving_member_asks_for_no_members():
    """Each of 194 answers to a member that left brought it all names once more."""
    near, far = two_tables()
    sent = PeerMessage(
        'near', '10.0.0.0:1', 'de', 1, 0, near.census(0), is_leaving=True
    )
    answer = message_of(far, 0)
    assert RosterSync(near).follow_up(message_of(near, 0), sent, answer, 0) is None
