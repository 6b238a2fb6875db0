import pytest

from cowsliploom.loadgen._arrivals import RequestKind
from cowsliploom.loadgen._compare import Comparison, plan_slices, ratios_of
from cowsliploom.loadgen._outcomes import Booked, Failed, Refused
from cowsliploom.loadgen._plot import axis_position, curves_of, render_plot
from cowsliploom.loadgen._recount import recount
from cowsliploom.loadgen._results import LoadResult, RefusalCount, summarise_works
from cowsliploom.loadgen._table import render_ratios, render_table
from cowsliploom.loadgen.tests.samples import answered, entry, log, record
from cowsliploom.loadgen.tests.test_arrivals import PLAN
from cowsliploom.protocol import Ran


def make_load(label='run', slowness=1.0):
    records = [
        *(record(answered(20), latency_ms=each * slowness) for each in range(1, 101)),
        record(answered(10, missing=('b',)), latency_ms=200 * slowness),
        record(Refused(503, 'overloaded', Ran.NO)),
        record(Failed('reset')),
        record(Booked(replayed=True), kind=RequestKind.BOOKING),
    ]
    logs = (log('a', entry()), log('b', entry('q.2', 10, 20)))
    return LoadResult(
        label=label,
        seed=1,
        rate_per_s=10,
        duration_ms=1000,
        elapsed_ms=1100,
        start_lag_p99_ms=0.5,
        works=summarise_works(records),
        recount=recount(records, logs),
    )


def test_latency_includes_answered_requests_only():
    _, search = make_load().works
    latency = search.latency
    assert latency.p50_ms == pytest.approx(51, abs=1)
    assert latency.p99_ms == pytest.approx(100, abs=1)
    assert latency.max_ms == pytest.approx(200, abs=1)


def test_coverage_and_refusals_are_counted():
    booking, search = make_load().works
    assert (search.sent, search.answered) == (103, 101)
    assert (search.coverage.full, search.coverage.partial) == (100, 1)
    assert search.coverage.min_share == pytest.approx(0.5)
    assert search.refusals == (
        RefusalCount(503, 'overloaded', 'no', 1),
        RefusalCount(0, 'reset', 'unknown', 1),
    )
    assert (booking.answered, booking.replayed) == (1, 1)
    assert search.refusal_p99_ms == pytest.approx(5, abs=0.1)
    assert booking.refusal_p99_ms == 0


def test_summary_table(snapshot):
    assert render_table(make_load()) == snapshot


def test_ratio_table(snapshot):
    first, second = make_load('adaptive'), make_load('naive', slowness=2)
    ratios = ratios_of(first.works, second.works)
    assert render_ratios(Comparison(first, second, ratios)) == snapshot


def test_ratio_divides_first_by_second():
    first, second = make_load('adaptive'), make_load('naive', slowness=2)
    search = ratios_of(first.works, second.works)[1]
    assert search.p50 == pytest.approx(0.5, abs=0.02)
    assert search.answered == pytest.approx(1)


def test_plot_has_curve_for_each_request_kind():
    curves = curves_of([make_load()])
    svg = render_plot('Latency', curves).decode()
    assert svg.startswith('<?xml')
    assert all(curve.label in svg for curve in curves)


@pytest.mark.parametrize(('percentile', 'position'), [(90, 1), (99, 2), (99.9, 3)])
def test_each_nine_adds_one_to_axis_position(percentile, position):
    assert axis_position(percentile) == pytest.approx(position)


def test_maximum_has_finite_axis_position():
    assert 3 < axis_position(100) < 4


def test_slices_have_distinct_seeds_and_ids():
    slices = plan_slices(PLAN, 4)
    assert {each.duration_ms for each in slices} == {2500}
    assert len({each.seed for each in slices}) == 4
    assert len({each.id_prefix for each in slices}) == 4
