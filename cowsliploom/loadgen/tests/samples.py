"""Builders of records and run logs for tests."""

from cowsliploom.loadgen._arrivals import Arrival, RequestKind
from cowsliploom.loadgen._outcomes import Answered, CallRecord
from cowsliploom.protocol import AnswerCoverage, DocRange
from cowsliploom.standins import RunEntry, RunLog, SearchEntry


def make_arrival(request_id='q', kind=RequestKind.SEARCH, at_ms=0):
    return Arrival(at_ms, kind, 'cellar', 0, request_id, 'text')


def answered(covered, total=20, missing=(), snapshot=7):
    return Answered(snapshot, AnswerCoverage(covered, total, missing))


def record(outcome, request_id='q', kind=RequestKind.SEARCH, latency_ms=5.0):
    return CallRecord(
        make_arrival(request_id, kind), 0, latency_ms, attempts=1, outcome=outcome
    )


def entry(request_id='q.1', first=0, end=10, snapshot=7, served=True, total=20):
    return SearchEntry(request_id, snapshot, (DocRange(first, end),), total, served)


def log(service, *entries, payloads=()):
    runs = [RunEntry(place, f'r{place}', each, 0) for place, each in payloads]
    return RunLog(f'{service}1', service, runs, list(entries))
