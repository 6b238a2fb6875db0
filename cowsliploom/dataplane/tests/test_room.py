"""The account of a process: who may hold more, and who is ended to make room."""

import pytest

from cowsliploom.dataplane._pace import ReadingPace
from cowsliploom.dataplane._room import (
    LARGE_SHARE,
    READ_BYTES,
    SMALL_BYTES,
    WORK_SHARE,
    Room,
    RoomLimits,
    Use,
)

KB = 1000
LIMITS = RoomLimits(bytes_max=100 * READ_BYTES)


def ended(held, busy=(), limits=LIMITS):
    """Return the connections that are ended, in order, once all hold their bytes.

    They hold multiples of what is read at a time.
    """
    room = Room(limits)
    for name, count in held.items():
        room.update(name, count * READ_BYTES, is_busy=name in busy)
    return list(room.excess()), room


@pytest.mark.parametrize(
    ('limits', 'held', 'busy', 'expected'),
    [
        (RoomLimits(), {'a': 10**12, 'b': 1}, '', []),
        (LIMITS, {'a': 49, 'b': 50}, '', []),
        (LIMITS, {'a': 60, 'b': 50}, '', ['a']),
        (LIMITS, {'a': 5, 'b': 50, 'c': 51}, '', ['c']),
        (LIMITS, {'a': 1, 'b': 80, 'c': 80, 'd': 80}, '', ['b', 'c']),
        (LIMITS, {'a': 60, 'b': 50}, 'a', ['b']),
        (LIMITS, {'a': 99, 'b': 10}, 'a', ['b', 'a']),
    ],
)
def test_greediest_connections_are_ended_until_the_others_fit(
    limits, held, busy, expected
):
    victims, room = ended(held, busy, limits)
    assert victims == expected
    lasting = sum(held[name] for name in held if name not in victims)
    assert room.held_bytes - room.ending_bytes == lasting * READ_BYTES


def test_ended_connections_hold_their_bytes_until_they_are_closed():
    (victim,), room = ended({'a': 60, 'b': 50})
    assert room.held_bytes == 110 * READ_BYTES
    assert not room.admits(1)
    room.update(victim, READ_BYTES)
    assert room.held_bytes == 51 * READ_BYTES
    assert room.ending_bytes == READ_BYTES
    room.remove(victim)
    assert (room.held_bytes, room.ending_bytes) == (50 * READ_BYTES, 0)


def test_busy_connections_can_be_spared():
    room = Room(LIMITS)
    for name in 'ab':
        room.update(name, 40 * READ_BYTES, is_busy=name == 'a')
    assert list(room.victims(0, spares_busy=True)) == ['b']


@pytest.mark.parametrize('seed', range(5))
def test_sum_follows_all_updates(seed):
    room = Room(RoomLimits(bytes_max=2 * READ_BYTES))
    held, work, ending = {}, {}, {}
    for step in range(300):
        name = (step * (seed + 7)) % 11
        if step % 5 == 4:
            room.remove(name)
            held.pop(name, None)
            ending.pop(name, None)
        elif step % 5 == 3:
            work[name] = step % 40
            room.charge(name, work[name])
        else:
            target = ending if name in ending else held
            target[name] = step % 90 * 100
            room.update(name, target[name])
        for victim in room.excess():
            ending[victim] = held.pop(victim)
        assert room.work_bytes == sum(work.values())
        assert room.ending_bytes == sum(ending.values())
        total = sum((*held.values(), *work.values(), *ending.values()))
        assert room.held_bytes == total
        assert total - room.ending_bytes <= 2 * READ_BYTES


@pytest.mark.parametrize(
    ('total', 'held', 'more', 'expected'),
    [
        (0, 0, READ_BYTES, True),
        (99 * READ_BYTES, 0, READ_BYTES, True),
        (99 * READ_BYTES + 1, 0, READ_BYTES, False),
        (LARGE_SHARE * 100 * READ_BYTES, SMALL_BYTES, 1, False),
        (LARGE_SHARE * 100 * READ_BYTES - 1, SMALL_BYTES, 1, True),
    ],
)
def test_last_share_is_for_connections_that_hold_little(total, held, more, expected):
    room = Room(LIMITS)
    room.update('others', total)
    assert room.admits(more, held) is expected


@pytest.mark.parametrize(
    ('work', 'clients', 'expected'),
    [
        (0, 0, True),
        (WORK_SHARE * 100 * READ_BYTES, 0, False),
        (WORK_SHARE * 100 * READ_BYTES - KB, 0, True),
        (0, 100 * READ_BYTES, False),
    ],
)
def test_work_leaves_a_share_to_clients(work, clients, expected):
    room = Room(LIMITS)
    room.charge('request', work)
    room.update('client', clients)
    assert room.admits_work(KB) is expected


@pytest.mark.parametrize(
    ('use', 'share_max'),
    [(Use.CALLERS, 50), (Use.PEERS, 10), (Use.READINESS, 5), (Use.CALLS, 80)],
)
def test_each_use_has_a_share_of_the_descriptors(use, share_max):
    room = Room(RoomLimits(descriptors_max=100))
    opened = 0
    while room.may_open(use):
        room.open(use)
        opened += 1
    assert opened == share_max
    room.close(use)
    assert room.may_open(use)


def test_all_uses_share_the_descriptors():
    room = Room(RoomLimits(descriptors_max=10))
    for _ in range(8):
        room.open(Use.CALLS)
    assert not room.may_open(Use.CALLS)
    for _ in range(2):
        assert room.may_open(Use.CALLERS)
        room.open(Use.CALLERS)
    assert room.has_share(Use.CALLERS)
    assert not any(map(room.may_open, Use))


def test_limits_follow_those_of_the_process():
    limits = RoomLimits.of_process(memory_bytes=float('inf'), files_max=float('inf'))
    assert limits == RoomLimits()
    assert RoomLimits.of_process(100, 1000) == RoomLimits(25, 800)


@pytest.mark.parametrize(
    ('unsent', 'expected'),
    [
        ((0, 0, 0, 0), False),
        ((9000, 9000, 9000, 0), False),
        ((9000, 9000, 9000, 9000), True),
        ((9000, 8000, 8000, 8000), False),
        ((9000, 8999, 8998, 8997), False),
        ((900, 899, 898, 897, 896), True),
        ((900, 0, 900, 899, 898, 897), False),
    ],
)
def test_reader_must_go_on_and_keep_a_pace(unsent, expected):
    pace = ReadingPace()
    slow = [
        pace.is_too_slow(unsent_bytes, step * 400, pause_max_ms=1000)
        for step, unsent_bytes in enumerate(unsent)
    ]
    assert slow[-1] is expected
    assert not any(slow[:-1])
