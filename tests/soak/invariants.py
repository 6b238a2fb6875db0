"""Invariants over the responses callers received and the requests servers saw."""

from collections import Counter
from collections.abc import Iterator

from cowsliploom.forwarding.tests.extra_calls import extra_arrivals
from tests.soak.backends import RECORD_BYTES, records_of
from tests.soak.callers import DEADLINE_MS, CallResult
from tests.soak.fault_windows import FaultWindows
from tests.soak.world import (
    COVERAGE_MIN,
    EXTRA_CALLS_BOUND,
    RECORDS_MAX,
    SHARDS,
    SoakWorld,
)

OK = 200
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
GATEWAY_REJECTIONS = frozenset((400, 401, 403, 404, 405, 413, 414, 431))
ATTEMPTS_MAX = 2  # maxAttempts of the routes
LATE_MS = 500
LOAD_MARGIN_MS = 1000  # allows for a busy test machine


def find_violations(
    world: SoakWorld, results: list[CallResult], fault_windows: FaultWindows
) -> Iterator[str]:
    """Yield a line for each violated invariant."""
    runs = Counter(
        (backend.service, request_id)
        for backend in world.backends.values()
        for request_id in backend.ran
    )
    received_ids = {
        request_id
        for backend in world.backends.values()
        for _, request_id in backend.arrived_ids
    }
    for result in results:
        if result.request_id in received_ids:
            yield from _check_has_response(result, fault_windows)
        yield from _check_content(result)
        yield from _check_runs(result, runs)
        yield from _check_response_time(result, fault_windows)
    for service in (*SHARDS, 'one'):
        yield from _check_extra_calls(service, world, results)
    for (service, request_id), count in runs.items():
        if count > ATTEMPTS_MAX:
            yield f'{request_id} ran {count} times on servers of {service}'


def _check_extra_calls(
    service: str, world: SoakWorld, results: list[CallResult]
) -> Iterator[str]:
    arrivals = [
        arrival
        for backend in world.backends.values()
        if backend.service == service
        for arrival in backend.arrived_ids
        if arrival[1]
    ]
    sent = [
        result.sent_s
        for result in results
        if (result.route == 'wide') == (service in SHARDS)
    ]
    excess = EXTRA_CALLS_BOUND.excess(sent, extra_arrivals(arrivals))
    if excess > 0:
        yield f'{service} got {excess:.1f} extra calls above its bound'


def _check_has_response(
    result: CallResult, fault_windows: FaultWindows
) -> Iterator[str]:
    """Check that a forwarded request gets a response, also in a planned stop."""
    until_s = result.sent_s + result.took_s
    is_fault_free = fault_windows.is_fault_free_except_stops(
        result.gateway, result.sent_s, until_s
    )
    if result.answer is None and is_fault_free:
        yield f'{result.request_id} ({result.route}) was forwarded and had no response'


def _check_content(result: CallResult) -> Iterator[str]:
    """Check that a success holds complete server content for this request."""
    if result.status in GATEWAY_REJECTIONS:
        yield f'{result.request_id} ({result.route}) was denied with {result.status}'
    if result.answer is None or result.status != OK:
        return
    body = result.answer.body
    if result.route == 'wide':
        yield from _check_parts(result, body)
        return
    signature = result.headers.get('Response-Signature', '')
    name, _, request_id = signature.partition('.')
    if request_id != result.request_id or body != records_of(name, request_id):
        yield f'{result.request_id} ({result.route}) got the response {signature}'


def _check_parts(result: CallResult, body: bytes) -> Iterator[str]:
    stamps = result.headers.get('Part-Stamps', '').split(', ')
    parts = [stamp.partition('.') for stamp in stamps]
    names = [name for name, _, _ in parts]
    services = {name.split('-')[1] for name in names if '-' in name}
    missing = int(result.headers.get('Missing-Parts', '0'))
    if any(request_id != result.request_id for _, _, request_id in parts):
        yield f'{result.request_id} has parts of another request: {stamps}'
    if len(services) != len(names) or not services <= set(SHARDS):
        yield f'{result.request_id} has two parts of a shard, or a wrong one: {stamps}'
    if len(services) + missing != len(SHARDS):
        yield f'{result.request_id} reports {missing} missing parts, but has {stamps}'
    if len(services) < COVERAGE_MIN * len(SHARDS):
        yield f'{result.request_id} succeeded with {len(services)} shards'
    content = b''.join(records_of(name, result.request_id) for name in names)
    records = [
        content[at : at + RECORD_BYTES] for at in range(0, len(content), RECORD_BYTES)
    ]
    if body != b''.join(sorted(records, reverse=True)[:RECORDS_MAX]):
        yield f'{result.request_id} does not hold the top records of its parts'


def _check_runs(result: CallResult, runs: Counter[tuple[str, str]]) -> Iterator[str]:
    count = runs['one', result.request_id]
    if result.route != 'once':
        return
    if count > 1:
        yield f'{result.request_id} may run at most once and ran {count} times'
    if result.status in NOT_RUN_STATUSES and count:
        yield f'{result.request_id} was refused with {result.status} but has run'


def _check_response_time(
    result: CallResult, fault_windows: FaultWindows
) -> Iterator[str]:
    bound_ms = DEADLINE_MS + LATE_MS + LOAD_MARGIN_MS
    took_ms = result.took_s * 1000
    is_fault_free = fault_windows.is_fault_free(
        result.gateway, result.sent_s, result.sent_s + result.took_s
    )
    if is_fault_free and took_ms > bound_ms:
        yield f'{result.request_id} ({result.route}) had no answer for {took_ms:.0f} ms'
