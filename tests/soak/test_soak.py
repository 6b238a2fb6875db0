"""The soak notices what is broken, keeps its cases, and holds on a short run."""

import asyncio

import pytest

from cowsliploom.dataplane import HttpAnswer
from tests.soak.backends import records_of
from tests.soak.callers import Told
from tests.soak.plan import Fault, Kind, make_plan
from tests.soak.promises import broken
from tests.soak.run import Run
from tests.soak.touch import Touch
from tests.soak.world import SHARDS

LENGTH_S = 5.0
# Seeds that broke a promise once, with the cause: (seed, length_s).
CASES: tuple[tuple[int, float], ...] = ()


class Servers:
    """Stand in for a fleet: which request ran on a server of which service."""

    def __init__(self, *ran):
        self.backends = {
            number: Ran(service, ids) for number, (service, *ids) in enumerate(ran)
        }


class Ran:
    """Stand in for a backend server."""

    def __init__(self, service, ids, arrived=()):
        self.service = service
        self.ran = ids
        self.arrived_ids = list(arrived)


def answered(route, status, headers=(), body=b'', took_s=0.1, request_id='r-1'):
    """Return what a caller was told."""
    answer = HttpAnswer(status, list(headers), body)
    return Told(request_id, route, 2, 100, took_s, answer)


def gathered(names, missing, request_id='r-1', of='r-1'):
    """Return an answer from parts."""
    content = b''.join(records_of(name, of) for name in names)
    records = sorted(
        (content[at : at + 16] for at in range(0, len(content), 16)), reverse=True
    )
    stamps = ', '.join(f'{name}.{of}' for name in names)
    headers = [('Part-Stamps', stamps), ('Missing-Parts', str(missing))]
    return answered('wide', 200, headers, b''.join(records[:5]), request_id=request_id)


ALL = tuple(f'i-{shard}-0' for shard in SHARDS)
SIGNED = [('Response-Signature', 'i-one-0.r-1')]


@pytest.mark.parametrize(
    ('told', 'ran', 'expected'),
    [
        (gathered(ALL, 0), (), ''),
        (gathered(ALL[1:], 1), (), ''),
        (gathered(ALL[1:], 0), (), 'missing'),
        (gathered((*ALL, 'i-s0-1'), 0), (), 'two parts'),
        (gathered(ALL[:2], 4), (), 'succeeded with 2'),
        (gathered(ALL, 0, of='r-2'), (), 'another request'),
        (answered('safe', 200, SIGNED, records_of('i-one-0', 'r-1')), (), ''),
        (
            answered('safe', 200, SIGNED, records_of('i-one-0', 'r-1')[1:]),
            {},
            'got the',
        ),
        (answered('safe', 200, SIGNED, records_of('i-one-0', 'r-2')), (), 'got the'),
        (answered('safe', 404), (), 'denied'),
        (answered('once', 503), (('one',),), ''),
        (answered('once', 503), (('one', 'r-1'),), 'refused with 503'),
        (answered('once', 502), (('one', 'r-1'),), ''),
        (answered('once', 502), (('one', 'r-1'), ('one', 'r-1')), 'ran 2'),
        (answered('safe', 504, took_s=2), (), ''),
        (answered('safe', 504, took_s=4), (), 'no answer for'),
        (answered('safe', 200, SIGNED), (('s1', 'r-9', 'r-9', 'r-9'),), 'ran 3 times'),
    ],
)
def test_each_broken_promise_is_noticed(told, ran, expected):
    seen = ' | '.join(broken(Servers(*ran), [told], Touch()))
    assert bool(seen) is bool(expected)
    assert expected in seen


@pytest.mark.parametrize(
    ('extra', 'apart_s', 'expected'),
    [(12, 0, ''), (13, 0, 's1 got 0.8 extra calls'), (24, 11, '')],
)
def test_extra_calls_beyond_their_sum_are_noticed(extra, apart_s, expected):
    calls = [(100 + apart_s * (number % 2), 'r-1') for number in range(extra)]
    servers = Servers()
    servers.backends = {'a': Ran('s1', (), [(99.9, 'r-1'), *calls])}
    told = [gathered(ALL, 0)]
    seen = ' | '.join(broken(servers, told, Touch()))
    assert expected in seen
    assert bool(seen) is bool(expected)


@pytest.mark.parametrize(
    ('kind', 'arrived', 'is_broken'),
    [
        (Kind.STOP, 'r-1', True),
        (Kind.STOP, 'r-2', False),
        (Kind.KILL, 'r-1', False),
    ],
)
def test_a_request_that_is_cut_in_a_planned_stop_is_noticed(kind, arrived, is_broken):
    touch = Touch()
    touch.note(Fault(0, kind, 2, 'one-0', 1), 99, 104)
    servers = Servers()
    servers.backends = {'a': Ran('one', (), [(100, arrived)])}
    told = [Told('r-1', 'once', 2, 100, 1, None)]
    seen = ' | '.join(broken(servers, told, touch))
    assert ('was passed on and had no answer' in seen) == is_broken


def test_promises_with_a_time_bound_wait_for_calm():
    touch = Touch()
    touch.note(Fault(0, Kind.PAUSE, 2, 'one-0', 1), 95, 97)
    late = answered('safe', 504, took_s=4)
    assert not list(broken(Servers(), [late], touch))
    assert touch.is_calm(3, 100, 104)
    touch.note(Fault(0, Kind.STORE_DOWN, 2, 'one-0', 1), 98, 99)
    assert not touch.is_calm(3, 100, 104)


def test_plans_name_all_kinds_and_repeat():
    kinds = {fault.kind for seed in range(60) for fault in make_plan(seed, 10)}
    assert kinds == set(Kind)
    assert make_plan(7, 10) == make_plan(7, 10)


@pytest.mark.processes
@pytest.mark.parametrize(('seed', 'length_s'), [(1, LENGTH_S), (2, LENGTH_S), *CASES])
def test_a_seeded_run_breaks_no_promise(tmp_path, seed, length_s):
    async def play():
        return await Run(seed, length_s, tmp_path).play()

    assert asyncio.run(play()) == []
