"""Verification of answers and bookings against the run logs of backend servers."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from cowsliploom.loadgen._arrivals import RequestKind
from cowsliploom.loadgen._caller import booking_payload
from cowsliploom.loadgen._outcomes import Answered, Booked, CallRecord, Refused
from cowsliploom.protocol import DocRange, Ran
from cowsliploom.standins import RunLog, SearchEntry

EXAMPLES_MAX = 5

Ranges = tuple[DocRange, ...]


@dataclass(frozen=True, slots=True)
class RecountResult:
    """Agreement of the outcomes at callers with the run logs.

    Parameters
    ----------
    answers : int
        Checked answers to searches.
    equal, within, over, under : int
        Answers whose reported coverage equals the coverage in the logs, lies
        between its bounds where the logs are ambiguous, above or below them.
    wrong_total : int
        Answers whose total of documents differs from that of their snapshot.
    sub_requests : int
        Pairs of query and service that backend servers accepted.
    extra_sub_requests : int
        Additional attempts accepted for the same pairs.
    bookings_run : int
        Bookings found in run logs.
    bookings_twice : int
        Bookings that ran more than once.
    booked_not_run : int
        Bookings answered as done that are in no log.
    refused_but_ran : int
        Bookings refused as not run that are in a log.
    examples : tuple of str
        Request ids of the first discrepancies.
    """

    answers: int
    equal: int
    within: int
    over: int
    under: int
    wrong_total: int
    sub_requests: int
    extra_sub_requests: int
    bookings_run: int
    bookings_twice: int
    booked_not_run: int
    refused_but_ran: int
    examples: tuple[str, ...]

    @property
    def is_consistent(self) -> bool:
        """Return whether all answers and refusals agree with the run logs."""
        discrepancies = (
            self.over
            + self.under
            + self.wrong_total
            + self.bookings_twice
            + self.booked_not_run
            + self.refused_but_ran
        )
        return discrepancies == 0

    @property
    def extra_load(self) -> float:
        """Return the additional attempts relative to the necessary ones."""
        return self.extra_sub_requests / max(self.sub_requests, 1)


@dataclass(frozen=True, slots=True)
class _Attempt:
    service: str
    entry: SearchEntry


@dataclass(frozen=True, slots=True)
class CoverageBounds:
    """Bounds of the number of documents that an answer may report as covered."""

    least: int
    most: int


class RunLogIndex:
    """Index of run log entries by the callers' request ids.

    Parameters
    ----------
    logs : sequence of RunLog
        Run log of each backend server.
    """

    def __init__(self, logs: Sequence[RunLog]) -> None:
        self.payloads: Counter[str] = Counter()
        self._attempts: defaultdict[str, list[_Attempt]] = defaultdict(list)
        for log in logs:
            self.payloads.update(entry.payload for entry in log.runs)
            for entry in log.searches:
                request_id = caller_request_id(entry.request_id)
                self._attempts[request_id].append(_Attempt(log.service, entry))

    def covered_docs(self, query_id: str, answer: Answered) -> CoverageBounds:
        """Return the bounds of the documents that an answer may report as covered.

        The bounds differ only where the logs do not show what the answer contains:
        a missing service may have served too late or in part, and replicas of one
        service may have served different ranges.
        """
        served: defaultdict[str, set[Ranges]] = defaultdict(set)
        for attempt in self._attempts.get(query_id, ()):
            if attempt.entry.served and attempt.entry.snapshot == answer.snapshot:
                served[attempt.service].add(attempt.entry.ranges)
        least: list[DocRange] = []
        most: list[DocRange] = []
        for service, choices in served.items():
            if service not in answer.coverage.missing_services:
                least.extend(min(choices, key=count_docs))
            for ranges in choices:
                most.extend(ranges)
        return CoverageBounds(count_docs(least), count_docs(most))

    def total_docs(self, query_id: str, snapshot: int) -> int | None:
        """Return the documents of a query's snapshot; None if no server logged it."""
        totals = (
            attempt.entry.total_docs
            for attempt in self._attempts.get(query_id, ())
            if attempt.entry.snapshot == snapshot
        )
        return next(totals, None)

    def attempts_by_service(self, query_id: str) -> Counter[str]:
        """Count a query's accepted attempts on each service."""
        return Counter(attempt.service for attempt in self._attempts.get(query_id, ()))


def caller_request_id(sub_request_id: str) -> str:
    """Return the caller's request id, which is the prefix of a sub-request's id.

    Examples
    --------
    >>> caller_request_id('load-1.5~entry-0-17.3')
    'load-1.5'
    >>> caller_request_id('load-1.5.3')
    'load-1.5'
    """
    request_id, separator, _ = sub_request_id.partition('~')
    return request_id if separator else sub_request_id.rpartition('.')[0]


def count_docs(ranges: Iterable[DocRange]) -> int:
    """Return the number of documents in ranges, counting overlaps once.

    Examples
    --------
    >>> count_docs([DocRange(0, 10), DocRange(5, 12)])
    12
    """
    total = 0
    counted_end = 0
    for doc_range in sorted(ranges, key=_sort_key):
        first = max(doc_range.first, counted_end)
        total += max(doc_range.end - first, 0)
        counted_end = max(counted_end, doc_range.end)
    return total


def _sort_key(doc_range: DocRange) -> tuple[int, int]:
    return doc_range.first, doc_range.end


def recount(records: Sequence[CallRecord], logs: Sequence[RunLog]) -> RecountResult:
    """Check every answer and booking of a run against the run logs."""
    index = RunLogIndex(logs)
    counts: Counter[str] = Counter()
    examples: list[str] = []
    for record in records:
        findings = _check_record(record, index)
        counts.update(findings)
        if findings - _EXPECTED_FINDINGS:
            examples.append(record.arrival.request_id)
        attempts = index.attempts_by_service(record.arrival.request_id)
        counts['sub_requests'] += len(attempts)
        counts['extra'] += attempts.total() - len(attempts)
    return RecountResult(
        answers=counts['answers'],
        equal=counts['equal'],
        within=counts['within'],
        over=counts['over'],
        under=counts['under'],
        wrong_total=counts['wrong_total'],
        sub_requests=counts['sub_requests'],
        extra_sub_requests=counts['extra'],
        bookings_run=counts['ran'],
        bookings_twice=counts['twice'],
        booked_not_run=counts['booked_not_run'],
        refused_but_ran=counts['refused_but_ran'],
        examples=tuple(examples[:EXAMPLES_MAX]),
    )


_EXPECTED_FINDINGS = frozenset(('answers', 'equal', 'within', 'ran'))


def _check_record(record: CallRecord, index: RunLogIndex) -> set[str]:
    if record.arrival.kind is RequestKind.BOOKING:
        return _check_booking(record, index)
    if isinstance(record.outcome, Answered):
        return _check_answer(record.arrival.request_id, record.outcome, index)
    return set()


def _check_answer(query_id: str, answer: Answered, index: RunLogIndex) -> set[str]:
    coverage = answer.coverage
    counted = index.covered_docs(query_id, answer)
    findings = {'answers', _check_coverage(coverage.covered_docs, counted)}
    total_docs = index.total_docs(query_id, answer.snapshot)
    if total_docs is not None and total_docs != coverage.total_docs:
        findings.add('wrong_total')
    return findings


def _check_coverage(covered_docs: int, bounds: CoverageBounds) -> str:
    if covered_docs < bounds.least:
        return 'under'
    if covered_docs > bounds.most:
        return 'over'
    return 'equal' if covered_docs == bounds.least else 'within'


def _check_booking(record: CallRecord, index: RunLogIndex) -> set[str]:
    runs = index.payloads[booking_payload(record.arrival.request_id)]
    findings = {'ran'} if runs else set()
    if runs > 1:
        findings.add('twice')
    match record.outcome:
        case Booked() if not runs:
            findings.add('booked_not_run')
        case Refused(ran=Ran.NO) if runs:
            findings.add('refused_but_ran')
    return findings
