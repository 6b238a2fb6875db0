import pytest

from cowsliploom.loadgen._arrivals import RequestKind
from cowsliploom.loadgen._caller import CallerSettings, HttpCaller, read_outcome
from cowsliploom.loadgen._outcomes import Answered, Booked, Failed, Refused
from cowsliploom.loadgen.tests.samples import make_arrival
from cowsliploom.protocol import AnswerCoverage, Ran

SEARCH = make_arrival('q')
BOOKING = make_arrival('q', RequestKind.BOOKING)
SEARCH_BODY = (
    b'{"request_id":"q","snapshot":7,"hits":[],'
    b'"coverage":{"covered_docs":10,"total_docs":20,"missing_services":["b"]}}'
)
UNKNOWN = Refused(503, 'backend', Ran.UNKNOWN)


@pytest.mark.parametrize(
    ('arrival', 'status', 'body', 'outcome'),
    [
        (SEARCH, 200, SEARCH_BODY, Answered(7, AnswerCoverage(10, 20, ('b',)))),
        (
            BOOKING,
            200,
            b'{"request_id":"q","outcome":"done","replayed":true}',
            Booked(replayed=True),
        ),
        (
            BOOKING,
            200,
            b'{"request_id":"z","outcome":"done","replayed":true}',
            Failed('answer to another request'),
        ),
        (
            SEARCH,
            503,
            b'{"title":"overloaded","ran":"no","step":"admit"}',
            Refused(503, 'overloaded', Ran.NO),
        ),
        (SEARCH, 500, b'{}', Refused(500, '', Ran.UNKNOWN)),
        (SEARCH, 502, b'<p>', Failed('status 502 without a problem document')),
    ],
)
def test_response_is_converted_to_outcome(arrival, status, body, outcome):
    assert read_outcome(arrival, status, body) == outcome


def test_undecodable_answer_is_failed():
    assert isinstance(read_outcome(SEARCH, 200, b'{"snapshot"'), Failed)


@pytest.mark.parametrize(
    ('arrival', 'outcome', 'attempt', 'with_keys', 'retried'),
    [
        (BOOKING, Failed('reset'), 0, True, True),
        (BOOKING, UNKNOWN, 0, True, True),
        (BOOKING, UNKNOWN, 1, True, False),
        (BOOKING, UNKNOWN, 0, False, False),
        (BOOKING, Refused(503, 'x', Ran.NO), 0, True, False),
        (BOOKING, Booked(replayed=False), 0, True, False),
        (SEARCH, Failed('reset'), 0, True, False),
    ],
)
def test_only_booking_with_key_and_unknown_outcome_is_retried(
    arrival, outcome, attempt, with_keys, retried
):
    settings = CallerSettings(('a:1',), 100, with_keys=with_keys, retries_max=1)
    with HttpCaller(settings) as caller:
        assert caller.should_retry(arrival, outcome, attempt) == retried


def test_unreachable_entry_is_failed():
    with HttpCaller(CallerSettings(('127.0.0.1:1',), 100)) as caller:
        assert isinstance(caller.call(SEARCH), Failed)
