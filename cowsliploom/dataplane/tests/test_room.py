"""Connections that hold most are ended first when room is short."""

import pytest

from cowsliploom.dataplane._room import Room, RoomLimits


def ended(limits, held):
    """Return the connections that are ended, in order, once all hold their bytes."""
    room = Room(limits)
    for name, held_bytes in held.items():
        room.update(name, held_bytes)
    return list(room.victims()), room


@pytest.mark.parametrize(
    ('limits', 'held', 'expected'),
    [
        (RoomLimits(), {'a': 10**12, 'b': 1}, []),
        (RoomLimits(bytes_max=100), {'a': 50, 'b': 50}, []),
        (RoomLimits(bytes_max=100), {'a': 60, 'b': 50}, ['a']),
        (RoomLimits(bytes_max=100), {'a': 5, 'b': 50, 'c': 51}, ['c']),
        (RoomLimits(bytes_max=100), {'a': 1, 'b': 80, 'c': 80, 'd': 80}, ['b', 'c']),
        (RoomLimits(connections_max=3), {'a': 1, 'b': 1, 'c': 1}, []),
        (RoomLimits(connections_max=3), {'a': 1, 'b': 1, 'c': 2, 'd': 1}, ['c', 'a']),
    ],
)
def test_greediest_connections_are_ended_until_the_others_fit(limits, held, expected):
    victims, room = ended(limits, held)
    assert victims == expected
    assert room.held_bytes == sum(held[name] for name in held if name not in victims)


@pytest.mark.parametrize('seed', range(5))
def test_sum_follows_all_updates(seed):
    room = Room(RoomLimits(bytes_max=1000))
    held = {}
    for step in range(300):
        name = (step * (seed + 7)) % 11
        if step % 5 == 4:
            room.remove(name)
            held.pop(name, None)
        else:
            held[name] = step % 90
            room.update(name, held[name])
        for victim in room.victims():
            held.pop(victim)
        assert room.held_bytes == sum(held.values())
        assert room.held_bytes <= 1000


def test_limits_follow_those_of_the_process():
    limits = RoomLimits.of_process(memory_bytes=float('inf'), files_max=float('inf'))
    assert limits == RoomLimits()
    assert RoomLimits.of_process(100, 1000).scaled(0.5) == RoomLimits(12.5, 200)
