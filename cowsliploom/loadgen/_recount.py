"""Check answers and bookings against the backend servers' run logs."""

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
    """Compare what callers were told with what backend servers logged.

    Parameters
    ----------
    answers : int
        Answers to searches that were checked.
    equal, within, over, under : int
        Answers whose reported coverage equals the recount, is between its bounds
        where a log cannot tell, is above them, is below them.
    wrong_total : int
        Answers whose total differs from that of their snapshot.
    sub_requests : int
        Query and service pairs that backend servers accepted.
    extra_sub_requests : int
        Further attempts accepted for the same pairs.
    bookings_run : int
        Bookings found in run logs.
    bookings_twice : int
        Bookings found more than once.
    booked_not_run : int
        Bookings answered as done that no log has.
    refused_but_ran : int
        Bookings refused as not run that a log has.
    examples : tuple of str
        Request ids of the first cases that differ.
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
    def holds(self) -> bool:
        """Tell whether every answer and every refusal was true."""
        wrong = (
            self.over
            + self.under
            + self.wrong_total
            + self.bookings_twice
            + self.booked_not_run
            + self.refused_but_ran
        )
        return wrong == 0

    @property
    def extra_load(self) -> float:
        """Return further attempts as a share of the needed ones."""
        return self.extra_sub_requests / max(self.sub_requests, 1)


@dataclass(frozen=True, slots=True)
class _Attempt:
    service: str
    entry: SearchEntry


@dataclass(frozen=True, slots=True)
class CoverageBounds:
    """Bound the documents that an answer may claim."""

    least: int
    most: int


class RunLogIndex:
    """Find run log entries by the callers' request ids.

    Parameters
    ----------
    logs : sequence of RunLog
        One of each backend server.
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
        """Bound the documents that an answer may claim for its snapshot.

        The bounds differ only where a log cannot tell what became part of the
        answer: a service named as missing may have served too late, or in part,
        and replicas of one service may have served different ranges.
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
        """Return the total of a query's snapshot; None if no server logged it."""
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
    """Return the caller's request id that a sub-request's id begins with.

    Examples
    --------
    >>> caller_request_id('load-1.5~entry-0-17.3')
    'load-1.5'
    >>> caller_request_id('load-1.5.3')
    'load-1.5'
    """
    request_id, mark, _ = sub_request_id.partition('~')
    return request_id if mark else sub_request_id.rpartition('.')[0]


def count_docs(ranges: Iterable[DocRange]) -> int:
    """Count documents in ranges; overlaps count once.

    Examples
    --------
    >>> count_docs([DocRange(0, 10), DocRange(5, 12)])
    12
    """
    total = 0
    reached = 0
    for doc_range in sorted(ranges, key=_place):
        first = max(doc_range.first, reached)
        total += max(doc_range.end - first, 0)
        reached = max(reached, doc_range.end)
    return total


def _place(doc_range: DocRange) -> tuple[int, int]:
    return doc_range.first, doc_range.end


def recount(records: Sequence[CallRecord], logs: Sequence[RunLog]) -> RecountResult:
    """Check every answer and booking of a run against the run logs."""
    index = RunLogIndex(logs)
    tally: Counter[str] = Counter()
    examples: list[str] = []
    for record in records:
        verdicts = _judge(record, index)
        tally.update(verdicts)
        if verdicts - _GOOD_VERDICTS:
            examples.append(record.arrival.request_id)
        attempts = index.attempts_by_service(record.arrival.request_id)
        tally['sub_requests'] += len(attempts)
        tally['extra'] += attempts.total() - len(attempts)
    return RecountResult(
        answers=tally['answers'],
        equal=tally['equal'],
        within=tally['within'],
        over=tally['over'],
        under=tally['under'],
        wrong_total=tally['wrong_total'],
        sub_requests=tally['sub_requests'],
        extra_sub_requests=tally['extra'],
        bookings_run=tally['ran'],
        bookings_twice=tally['twice'],
        booked_not_run=tally['booked_not_run'],
        refused_but_ran=tally['refused_but_ran'],
        examples=tuple(examples[:EXAMPLES_MAX]),
    )


_GOOD_VERDICTS = frozenset(('answers', 'equal', 'within', 'ran'))


def _judge(record: CallRecord, index: RunLogIndex) -> set[str]:
    if record.arrival.kind is RequestKind.BOOKING:
        return _judge_booking(record, index)
    if isinstance(record.outcome, Answered):
        return _judge_answer(record.arrival.request_id, record.outcome, index)
    return set()


def _judge_answer(query_id: str, answer: Answered, index: RunLogIndex) -> set[str]:
    coverage = answer.coverage
    counted = index.covered_docs(query_id, answer)
    verdicts = {'answers', _judge_coverage(coverage.covered_docs, counted)}
    total_docs = index.total_docs(query_id, answer.snapshot)
    if total_docs is not None and total_docs != coverage.total_docs:
        verdicts.add('wrong_total')
    return verdicts


def _judge_coverage(covered_docs: int, bounds: CoverageBounds) -> str:
    if covered_docs < bounds.least:
        return 'under'
    if covered_docs > bounds.most:
        return 'over'
    return 'equal' if covered_docs == bounds.least else 'within'


def _judge_booking(record: CallRecord, index: RunLogIndex) -> set[str]:
    runs = index.payloads[booking_payload(record.arrival.request_id)]
    verdicts = {'ran'} if runs else set()
    if runs > 1:
        verdicts.add('twice')
    match record.outcome:
        case Booked() if not runs:
            verdicts.add('booked_not_run')
        case Refused(ran=Ran.NO) if runs:
            verdicts.add('refused_but_ran')
    return verdicts
