"""Differential test of the router against a coordinator that waits for all replies."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.protocol import DocRange, RefusalReason
from cowsliploom.rollout import RecordSample
from cowsliploom.routing import (
    AnswerQuery,
    CancelAttempt,
    RefuseCaller,
    Router,
    RouterSettings,
    SendSearch,
)
from cowsliploom.routing._coverage import measure_coverage
from cowsliploom.routing.tests import samples
from cowsliploom.routing.tests.driver import Driver, only

SERVICES = 4

FAULTS = (
    'short',
    'other snapshot',
    'other request',
    'other service',
    'foreign',
    'shed',
    'failed',
    'cold',
    'gone',
    'refused',
    'silent',
    'twice',
    'late',
)
REPLIES = st.just('good') | st.sampled_from(FAULTS)


class ExpectedAnswer:
    """Reference coordinator that accepts the first valid reply of each service."""

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self.docs = {}
        self.hits = {}

    def add_reply(self, send, reply):
        """Add a reply if it matches its call, document by document."""
        asked = send.call
        if (reply.request_id, reply.service) != (asked.request_id, asked.service):
            return
        if reply.snapshot != self.snapshot or asked.service in self.docs:
            return
        self.docs[asked.service] = {
            doc for span in reply.ranges for doc in range(span.first, span.end)
        }
        self.hits[asked.service] = reply.hits

    def check(self, answer):
        documents = set().union(*self.docs.values()) if self.docs else set()
        assert answer.snapshot == self.snapshot
        assert answer.coverage.covered_docs == len(documents)
        assert answer.coverage.total_docs == SERVICES * samples.DOCS
        hits = [hit for found in self.hits.values() for hit in found]
        hits.sort(key=lambda hit: (-hit.score, hit.doc))
        assert list(answer.hits) == hits[:5]
        complete = {
            service for service, docs in self.docs.items() if len(docs) == samples.DOCS
        }
        names = {samples.service_name(index) for index in range(SERVICES)}
        assert set(answer.coverage.missing_services) == names - complete


def reply_with(driver, expected, send, kind, score):
    """Deliver one reply of the given kind and return the commands."""
    fields = {'score': score}
    if kind == 'short':
        first = int(send.call.service[1:]) * samples.DOCS
        fields['ranges'] = (DocRange(first, first + 30),)
    if kind == 'other snapshot':
        fields['snapshot'] = 9
    if kind == 'other request':
        fields['request_id'] = 'x.0'
    if kind == 'other service':
        fields['service'] = 's9'
    reply = samples.make_reply(send.call, **fields)
    expected.add_reply(send, reply)
    commands = driver.reply(send, 0.5, **fields)
    if kind == 'twice':
        commands += driver.reply(send, 0.5, **fields)
    return commands


REFUSALS = {
    'shed': RefusalReason.SHED,
    'failed': RefusalReason.FAILED,
    'cold': RefusalReason.COLD,
    'gone': RefusalReason.SNAPSHOT_GONE,
}


def deliver_outcome(driver, expected, held, send, kind):
    """Deliver the outcome of one call and return the commands."""
    if kind in REFUSALS:
        return driver.refuse(send, REFUSALS[kind])
    if kind == 'refused':
        return driver.fail(send)
    if kind in {'silent', 'late'}:
        held.append(send)
        return driver.tick(1)
    if kind == 'foreign':
        held.append(send)
        return driver.reply(send, 0.5, server='s9r9', score=99.0)
    return reply_with(driver, expected, send, kind, float(len(expected.docs)))


def run_query(router_kind, kinds):
    """Run one query; return the driver and the expected answer."""
    router = router_kind('entry-1', 'gogledd', RouterSettings(), 3)
    driver = Driver(router, services=SERVICES, replicas=2)
    open_calls = list(driver.ask().values())
    expected = ExpectedAnswer(open_calls[0].call.snapshot)
    held = []
    script = iter(kinds)
    while open_calls and not driver.answer and not driver.refusal:
        send = open_calls.pop(0)
        commands = deliver_outcome(driver, expected, held, send, next(script, 'good'))
        cancelled = {cancel.call_id for cancel in only(commands, CancelAttempt)}
        open_calls = [call for call in open_calls if call.call_id not in cancelled]
        open_calls.extend(only(commands, SendSearch))
    driver.tick(300)
    for send in held:
        driver.reply(send)
    return driver, expected


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(REPLIES, max_size=24))
def test_answer_equals_that_of_the_reference_coordinator(kinds):
    driver, expected = run_query(Router, kinds)
    ended = driver.all(AnswerQuery) + driver.all(RefuseCaller)
    assert len(ended) == 1
    if driver.answer:
        expected.check(driver.answer)
    else:
        assert not expected.docs
    assert driver.router.idle
    assert all(
        server.in_flight == 0 for server in driver.router._fleet.servers.values()
    )


def accept_all(call, reply):
    """Replace the check of replies by one that accepts all of them."""
    return ''


def count_twice(plan, replies):
    """Replace coverage by one that counts whole shards instead of reply ranges."""
    coverage = measure_coverage(plan, replies)
    docs = len(replies) * samples.DOCS
    return type(coverage)(docs, coverage.total_docs, coverage.missing_services)


@pytest.mark.parametrize(
    'name, fault, kinds',
    [
        ('_query_calls._mismatch', accept_all, ['other snapshot']),
        ('_query_calls._mismatch', accept_all, ['other request']),
        ('_queries.measure_coverage', count_twice, ['short']),
    ],
)
def test_seeded_fault_is_detected(monkeypatch, name, fault, kinds):
    monkeypatch.setattr(f'cowsliploom.routing.{name}', fault)
    driver, expected = run_query(Router, kinds)
    with pytest.raises(AssertionError):
        expected.check(driver.answer)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.lists(REPLIES, max_size=24))
def test_samples_count_only_server_errors_as_failures(kinds):
    driver, _ = run_query(Router, kinds)
    own_errors = {'failed', 'other snapshot', 'other request', 'other service'}
    own_errors.add('refused')
    failed = [sample for sample in driver.all(RecordSample) if not sample.ok]
    assert len(failed) <= sum(kind in own_errors for kind in kinds)
