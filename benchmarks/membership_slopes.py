"""Cost and propagation time of the membership as a function of fleet size.

Prints JSON with one row per fleet shape, and the extrapolation to 2,600 daemons in
8 data centres. Run: ``python -m benchmarks.membership_slopes [--quick]``.
"""

import json
import statistics
import sys
from typing import Any

from benchmarks.fleet_measure import (
    MS_PER_S,
    CallCost,
    Meter,
    TimedNode,
    measure_call,
    start_timed_fleet,
    traced_bytes,
)
from cowsliploom.coordination import ConfigurationAnnounced, MemberState, MemberUpdate
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, Vm

Row = dict[str, Any]

SHAPES = ((8, 1), (16, 1), (32, 1), (64, 1), (128, 1), (256, 1), (325, 1), (512, 1))
WIDE_SHAPES = ((3, 8), (8, 8), (16, 8), (32, 8))
QUICK_SHAPES = ((8, 1), (64, 1), (8, 8))
SETTLE_MS = 20_000
MEASURE_MS = 60_000
CHANGE_INTERVAL_MS = 17_600  # 4,900 changes of configuration a day
BLOB_BYTES = 100_000
LIMITS = {'processor_percent': 3.7, 'bytes_per_s': 5000, 'memory_mb': 64}
FREEZES = 20
FREEZE_SIZE_MAX = 64
DESIGN_SIZE = 325  # 2,600 daemons in 8 data centres
FITTED = ('sent_bytes_per_s', 'processor_percent')
MEMORY_SIZES = (32, 128)
FREEZE_SPANS_MS = (300, 2500)


def assign_data_centres(size: int, data_centres: int) -> tuple[str, ...]:
    """Return each VM's data centre in a fleet with ``size`` VMs per data centre."""
    return tuple(f'dc-{number % data_centres}' for number in range(size * data_centres))


def announce_change(loop: FleetLoop, revision: int) -> None:
    """Announce a configuration from the store at two members of each data centre."""
    blob = b'x' * BLOB_BYTES + f'{revision:09}'.encode()
    firsts: dict[str, list[str]] = {}
    for name, vm in loop.running().items():
        firsts.setdefault(vm.me.data_centre, []).append(name)
    for names in firsts.values():
        for name in names[:2]:
            loop.feed(name, ConfigurationAnnounced, revision, blob)


def measure_traffic(loop: FleetLoop, cost: CallCost) -> Row:
    """Return bytes, calls and processor time per second and daemon."""
    meter = Meter(loop)
    loop.run(SETTLE_MS)
    announce_change(loop, 1)
    loop.run(SETTLE_MS)
    meter.reset()
    revision = 1
    for _ in range(int(MEASURE_MS / CHANGE_INTERVAL_MS)):
        revision += 1
        announce_change(loop, revision)
        loop.run(CHANGE_INTERVAL_MS)
    span_s = int(MEASURE_MS / CHANGE_INTERVAL_MS) * CHANGE_INTERVAL_MS / MS_PER_S
    daemons = len(loop.vms)
    step_ms = TimedNode.processor_ns / 1e6 / daemons / span_s
    calls = loop.counts['calls'] / daemons / span_s
    busiest = max(meter.messages.values()) / span_s
    payloads = sum(meter.sent_bytes.values()) / daemons / span_s
    busiest_payload = max(meter.sent_bytes.values()) / span_s
    half_call_bytes = cost.overhead_bytes / 2
    half_call_ms = cost.processor_ms / 2
    mean_ms = step_ms + 2 * calls * half_call_ms
    busiest_ms = step_ms * busiest / (2 * calls) + busiest * half_call_ms
    return {
        'calls_per_s': round(calls, 2),
        'step_ms_per_s': round(step_ms, 3),
        'processor_percent': round(mean_ms / 10, 3),
        'processor_percent_busiest': round(busiest_ms / 10, 3),
        'sent_bytes_per_s': round(payloads + 2 * calls * half_call_bytes),
        'sent_bytes_per_s_busiest': round(busiest_payload + busiest * half_call_bytes),
        'payload_bytes_per_s': round(payloads),
    }


def measure_propagation(loop: FleetLoop) -> float:
    """Return the time until all daemons have a change, in milliseconds."""
    revision = 1000
    announce_change(loop, revision)
    return loop.run_until(
        lambda: all(
            vm.node.dissemination.revision == revision for vm in loop.running().values()
        ),
        30_000,
    )


def measure_detection(loop: FleetLoop) -> tuple[float, float]:
    """Return when the first and the last member removed a killed one, in ms."""
    name = next(iter(loop.vms))
    data_centre = loop.vms[name].me.data_centre
    loop.kill(name)
    watching = [
        vm for vm in loop.running().values() if vm.me.data_centre == data_centre
    ]
    first_ms = loop.run_until(
        lambda: not all(is_held_live(vm, name) for vm in watching), 30_000
    )
    last_ms = loop.run_until(
        lambda: not any(is_held_live(vm, name) for vm in watching), 30_000
    )
    return first_ms, first_ms + last_ms


def is_held_live(vm: Vm, name: str) -> bool:
    """Return whether a VM considers another one live."""
    return find_live_update(vm, name) is not None


def measure_freezes(loop: FleetLoop) -> dict[str, int]:
    """Freeze members for less than the suspicion time; count suspected and removed."""
    suspected = 0
    removed = 0
    names = [name for name, vm in loop.vms.items() if not vm.is_dead]
    for index in range(FREEZES):
        name = names[index % len(names)]
        observer = loop.vms[names[(index + 1) % len(names)]]
        loop.freeze(name)
        loop.run(loop.random.uniform(*FREEZE_SPANS_MS))
        found = find_live_update(observer, name)
        suspected += found is not None and found.state is MemberState.SUSPECT
        loop.resume(name)
        loop.run(6000)
        removed += find_live_update(observer, name) is None
    return {'freezes': FREEZES, 'suspected': suspected, 'given_up': removed}


def find_live_update(vm: Vm, name: str) -> MemberUpdate | None:
    """Return the update that a VM holds of another live one, or None."""
    return next(
        (
            update
            for update in vm.node.membership.live_updates()
            if update.member.name == name
        ),
        None,
    )


def views_agree(loop: FleetLoop) -> bool:
    """Return whether the members of each data centre have the same view."""
    digests = {
        (vm.me.data_centre, vm.node.membership.digest) for vm in loop.vms.values()
    }
    return len(digests) == len({data_centre for data_centre, _ in digests})


def start_settled_fleet(size: int) -> FleetLoop:
    """Return a fleet of one data centre after it has settled."""
    loop = start_timed_fleet(assign_data_centres(size, 1))
    loop.run(SETTLE_MS)
    return loop


def measure_shape(size: int, data_centres: int, cost: CallCost) -> Row:
    """Return the result row of one fleet shape."""
    loop = start_timed_fleet(assign_data_centres(size, data_centres))
    row: Row = {'size': size, 'data_centres': data_centres}
    row['mass_start_ms'] = round(loop.run_until(lambda: views_agree(loop), SETTLE_MS))
    row.update(measure_traffic(loop, cost))
    row['spread_ms'] = round(measure_propagation(loop))
    first_ms, last_ms = measure_detection(loop)
    row['first_detection_ms'] = round(first_ms)
    row['last_detection_ms'] = round(last_ms)
    if data_centres == 1 and size <= FREEZE_SIZE_MAX:
        row['freezes'] = measure_freezes(loop)
    if size in MEMORY_SIZES and data_centres == 1:
        traced = traced_bytes(lambda: start_settled_fleet(size))
        row['memory_bytes'] = round(traced / size)
    return row


def fit_line(rows: list[Row], field: str) -> dict[str, float]:
    """Fit a field as a linear function of the fleet size, by least squares."""
    points = [(row['size'], row[field]) for row in rows if row['data_centres'] == 1]
    slope, base = statistics.linear_regression(*zip(*points, strict=True))
    return {'base': round(base, 4), 'per_member': round(slope, 6)}


def extrapolate(rows: list[Row]) -> Row:
    """Extrapolate the rows to ``DESIGN_SIZE`` members in each of 8 data centres.

    The cost added by other data centres is taken from the measured shape with the
    most data centres.
    """
    lines = {field: fit_line(rows, field) for field in FITTED}
    wide = max(rows, key=_extent)
    single = next(
        row for row in rows if row['data_centres'] == 1 and row['size'] == wide['size']
    )
    at_size: Row = {}
    for field, line in lines.items():
        local = line['base'] + line['per_member'] * DESIGN_SIZE
        busiest = wide[f'{field}_busiest'] - single[field]
        at_size[field] = round(local + wide[field] - single[field], 3)
        at_size[f'{field}_busiest'] = round(local + busiest, 3)
    return {'lines': lines, 'at_325_members_in_8_data_centres': at_size}


def _extent(row: Row) -> tuple[int, int]:
    return row['data_centres'], row['size']


def main() -> None:
    """Measure all fleet shapes and print the results."""
    cost = measure_call()
    shapes = QUICK_SHAPES if '--quick' in sys.argv else SHAPES + WIDE_SHAPES
    rows = []
    for size, data_centres in shapes:
        row = measure_shape(size, data_centres, cost)
        rows.append(row)
        print(json.dumps(row), file=sys.stderr)
    report = {
        'call_processor_ms': round(cost.processor_ms, 3),
        'call_overhead_bytes': round(cost.overhead_bytes),
        'limits': LIMITS,
        'extrapolation': extrapolate(rows),
        'rows': rows,
    }
    print(json.dumps(report, indent=2))


if __name__ == '__main__':
    main()
