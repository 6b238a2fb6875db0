"""What must hold of what callers were told and backend servers saw."""

from collections import Counter
from collections.abc import Iterator

from cowsliploom.forwarding.tests.extra_calls import extra_arrivals
from tests.soak.backends import RECORD_BYTES, records_of
from tests.soak.callers import PATIENCE_MS, Told
from tests.soak.touch import Touch
from tests.soak.world import BOUND, COVERAGE_MIN, RECORDS_MAX, SHARDS, SoakWorld

OK = 200
REFUSALS = frozenset((408, 421, 429, 503))
OWN_DENIALS = frozenset((400, 401, 403, 404, 405, 413, 414, 431))
ATTEMPTS_MAX = 2  # as the routes say
LATE_MS = 500
BUSY_MS = 1000  # the machine that plays this may be busy


def broken(world: SoakWorld, told: list[Told], touch: Touch) -> Iterator[str]:
    """Yield a line for each promise that is broken."""
    runs = Counter(
        (backend.service, request_id)
        for backend in world.backends.values()
        for request_id in backend.ran
    )
    reached = {
        request_id
        for backend in world.backends.values()
        for _, request_id in backend.arrived_ids
    }
    for each in told:
        if each.request_id in reached:
            yield from _is_answered(each, touch)
        yield from _answer_is_true(each)
        yield from _ran_as_told(each, runs)
        yield from _answered_in_time(each, touch)
    for service in (*SHARDS, 'one'):
        yield from _extra_calls_are_bounded(service, world, told)
    for (service, request_id), count in runs.items():
        if count > ATTEMPTS_MAX:
            yield f'{request_id} ran {count} times on servers of {service}'


def _extra_calls_are_bounded(
    service: str, world: SoakWorld, told: list[Told]
) -> Iterator[str]:
    arrivals = [
        arrival
        for backend in world.backends.values()
        if backend.service == service
        for arrival in backend.arrived_ids
        if arrival[1]
    ]
    asked = [
        each.sent_s for each in told if (each.route == 'wide') == (service in SHARDS)
    ]
    excess = BOUND.excess(asked, extra_arrivals(arrivals))
    if excess > 0:
        yield f'{service} got {excess:.1f} extra calls more than its bound'


def _is_answered(told: Told, touch: Touch) -> Iterator[str]:
    """Check that a request that was passed on isn't cut, in a planned stop either."""
    until_s = told.sent_s + told.took_s
    is_calm = touch.is_calm_but_for_stops(told.gateway, told.sent_s, until_s)
    if told.answer is None and is_calm:
        yield f'{told.request_id} ({told.route}) was passed on and had no answer'


def _answer_is_true(told: Told) -> Iterator[str]:
    """Check that a success is the servers' own, whole and for this request."""
    if told.status in OWN_DENIALS:
        yield f'{told.request_id} ({told.route}) was denied with {told.status}'
    if told.answer is None or told.status != OK:
        return
    body = told.answer.body
    if told.route == 'wide':
        yield from _parts_are_true(told, body)
        return
    signature = told.headers.get('Response-Signature', '')
    name, _, request_id = signature.partition('.')
    if request_id != told.request_id or body != records_of(name, request_id):
        yield f'{told.request_id} ({told.route}) got the answer {signature}'


def _parts_are_true(told: Told, body: bytes) -> Iterator[str]:
    stamps = told.headers.get('Part-Stamps', '').split(', ')
    parts = [stamp.partition('.') for stamp in stamps]
    names = [name for name, _, _ in parts]
    services = {name.split('-')[1] for name in names if '-' in name}
    missing = int(told.headers.get('Missing-Parts', '0'))
    if any(request_id != told.request_id for _, _, request_id in parts):
        yield f'{told.request_id} has parts of another request: {stamps}'
    if len(services) != len(names) or not services <= set(SHARDS):
        yield f'{told.request_id} has two parts of a shard, or a wrong one: {stamps}'
    if len(services) + missing != len(SHARDS):
        yield f'{told.request_id} counts {missing} missing beside {stamps}'
    if len(services) < COVERAGE_MIN * len(SHARDS):
        yield f'{told.request_id} succeeded with {len(services)} shards'
    content = b''.join(records_of(name, told.request_id) for name in names)
    records = [
        content[at : at + RECORD_BYTES] for at in range(0, len(content), RECORD_BYTES)
    ]
    if body != b''.join(sorted(records, reverse=True)[:RECORDS_MAX]):
        yield f'{told.request_id} has not the greatest records of its parts'


def _ran_as_told(told: Told, runs: Counter[tuple[str, str]]) -> Iterator[str]:
    count = runs['one', told.request_id]
    if told.route != 'once':
        return
    if count > 1:
        yield f'{told.request_id} may run once and ran {count} times'
    if told.status in REFUSALS and count:
        yield f'{told.request_id} was refused with {told.status} and has run'


def _answered_in_time(told: Told, touch: Touch) -> Iterator[str]:
    bound_ms = PATIENCE_MS + LATE_MS + BUSY_MS
    took_ms = told.took_s * 1000
    is_calm = touch.is_calm(told.gateway, told.sent_s, told.sent_s + told.took_s)
    if is_calm and took_ms > bound_ms:
        yield f'{told.request_id} ({told.route}) had no answer for {took_ms:.0f} ms'
