import pytest

from cowsliploom.loadgen._arrivals import RequestKind
from cowsliploom.loadgen._caller import booking_payload
from cowsliploom.loadgen._outcomes import Booked, Failed, Refused
from cowsliploom.loadgen._recount import count_docs, recount
from cowsliploom.loadgen.tests.samples import answered, entry, log, record
from cowsliploom.protocol import DocRange, Ran

SECOND = entry('q.2', 10, 20)


@pytest.mark.parametrize(
    ('outcome', 'logs', 'finding'),
    [
        (answered(20), (log('a', entry()), log('b', SECOND)), 'equal'),
        (answered(10, missing=('b',)), (log('a', entry()), log('b')), 'equal'),
        (answered(10, missing=('b',)), (log('a', entry()), log('b', SECOND)), 'equal'),
        (answered(15, missing=('b',)), (log('a', entry()), log('b', SECOND)), 'within'),
        (answered(20), (log('a', entry()), log('b')), 'over'),
        (answered(10), (log('a', entry()), log('b', SECOND)), 'under'),
        (answered(10), (log('a', entry(served=False)),), 'over'),
        (answered(10), (log('a', entry(snapshot=6)),), 'over'),
        (answered(10), (log('a', entry('other.1')),), 'over'),
        (answered(10), (log('a', entry(), entry('q.3')),), 'equal'),
        (answered(10), (log('a', entry('q~entry-0-17.1')),), 'equal'),
        (answered(10), (log('a', entry('q2~entry-0-17.1')),), 'over'),
        (answered(10), (log('a', entry(), entry('q.3', end=4)),), 'within'),
        (answered(0, missing=('a',)), (log('a'),), 'equal'),
    ],
)
def test_coverage_is_checked_against_run_logs(outcome, logs, finding):
    counted = recount([record(outcome)], logs)
    findings = {
        'equal': counted.equal,
        'within': counted.within,
        'over': counted.over,
        'under': counted.under,
    }
    assert [name for name, count in findings.items() if count] == [finding]
    assert counted.is_consistent == (finding in {'equal', 'within'})


def test_wrong_total_is_reported():
    counted = recount([record(answered(10, total=10))], (log('a', entry()),))
    assert (counted.wrong_total, counted.is_consistent) == (1, False)


@pytest.mark.parametrize(
    ('outcome', 'runs', 'field'),
    [
        (Booked(replayed=False), 1, None),
        (Booked(replayed=False), 2, 'bookings_twice'),
        (Booked(replayed=False), 0, 'booked_not_run'),
        (Refused(503, '', Ran.NO), 0, None),
        (Refused(503, '', Ran.NO), 1, 'refused_but_ran'),
        (Refused(503, '', Ran.UNKNOWN), 1, None),
        (Failed('reset'), 1, None),
        (Failed('reset'), 2, 'bookings_twice'),
    ],
)
def test_bookings_are_checked_against_run_logs(outcome, runs, field):
    payload = booking_payload('q')
    logs = [log(f's{place}', payloads=[(1, payload)]) for place in range(runs)]
    counted = recount([record(outcome, kind=RequestKind.BOOKING)], logs)
    assert counted.is_consistent == (field is None)
    assert len(counted.examples) == int(not counted.is_consistent)
    assert counted.bookings_run == min(runs, 1)
    if field:
        assert getattr(counted, field) == 1


def test_extra_load_counts_attempts_beyond_one_per_service():
    logs = (log('a', entry('q.1'), entry('q.2', served=False)), log('b', SECOND))
    counted = recount([record(answered(20))], logs)
    assert (counted.sub_requests, counted.extra_sub_requests) == (2, 1)


@pytest.mark.parametrize(
    ('spans', 'docs'),
    [
        ((), 0),
        (((0, 10), (10, 20)), 20),
        (((0, 10), (0, 10)), 10),
        (((5, 15), (0, 10)), 15),
        (((0, 100), (10, 20)), 100),
        (((5, 5),), 0),
    ],
)
def test_overlapping_documents_are_counted_once(spans, docs):
    assert count_docs([DocRange(*span) for span in spans]) == docs
