"""Tests of behaviour common to the full router and the baseline."""

import pytest

from cowsliploom.protocol import CallRefusal, Ran, RefusalReason, RunReply
from cowsliploom.routing import (
    AnswerQuery,
    AnswerRun,
    CallFailed,
    CallRefused,
    Coverage,
    FailureStep,
    NaiveRouter,
    QueryArrived,
    RefusalCause,
    RefuseCaller,
    Router,
    RouterSettings,
    RunArrived,
    RunReplied,
    SearchReplied,
    SendRun,
    SendSearch,
    Tick,
)
from cowsliploom.routing.tests import samples

BOTH = pytest.mark.parametrize('policy', [Router, NaiveRouter])


def build(policy):
    return policy('entry-1', 'gogledd', RouterSettings(), 7)


def arrive(query_id='q', search='briefing'):
    return QueryArrived(10.0, query_id, search, 'tap line', 'landlord', 210.0)


def only(commands, kind):
    return [command for command in commands if isinstance(command, kind)]


@BOTH
def test_query_asks_each_service_once(policy):
    router = samples.start(build(policy))
    sends = only(router.step(arrive()), SendSearch)
    assert sorted(send.call.service for send in sends) == ['s0', 's1', 's2']
    assert [send.call_id for send in sends] == ['q.0', 'q.1', 'q.2']
    assert all(send.call.request_id == send.call_id for send in sends)


@BOTH
def test_answer_merges_best_hits_with_full_coverage(policy):
    router = samples.start(build(policy))
    answers = []
    for rank, send in enumerate(only(router.step(arrive()), SendSearch)):
        reply = samples.make_reply(send.call, score=float(rank))
        commands = router.step(SearchReplied(12.0, send.call_id, send.server, reply))
        answers.extend(only(commands, AnswerQuery))
    assert len(answers) == 1
    assert answers[0].snapshot == 1
    assert answers[0].coverage == Coverage(300, 300)
    assert [hit.score for hit in answers[0].hits] == [2, 1, 0]
    assert router.idle


@BOTH
def test_deadline_gives_partial_answer(policy):
    router = samples.start(build(policy))
    sends = only(router.step(arrive()), SendSearch)
    reply = samples.make_reply(sends[1].call)
    router.step(SearchReplied(12.0, sends[1].call_id, sends[1].server, reply))
    answers = only(router.step(Tick(200.0)), AnswerQuery)
    assert answers[0].coverage == Coverage(100, 300, ('s0', 's2'))


@BOTH
@pytest.mark.parametrize(
    'event, cause',
    [
        (arrive(search='unknown'), RefusalCause.UNKNOWN_SEARCH),
        (
            RunArrived(10.0, 'q', 'unknown', '', 'landlord', 210.0),
            RefusalCause.UNKNOWN_SERVICE,
        ),
    ],
)
def test_unknown_names_are_refused_as_not_run(policy, event, cause):
    router = samples.start(build(policy))
    refusal = router.step(event)[0]
    assert isinstance(refusal, RefuseCaller)
    assert refusal.cause is cause
    assert refusal.ran is Ran.NO


@BOTH
def test_no_snapshot_is_refused(policy):
    router = samples.start(build(policy), snapshots=())
    assert router.step(arrive())[0].cause is RefusalCause.NO_SNAPSHOT


def start_run(router):
    arrived = RunArrived(10.0, 'r', 's0', 'van', 'landlord', 210.0)
    return only(router.step(arrived), SendRun)


@BOTH
def test_run_is_sent_once_and_answered(policy):
    router = samples.start(build(policy))
    sends = start_run(router)
    assert len(sends) == 1
    reply = RunReply('r.0', 's0', 'booked', 'v1', 'i1')
    commands = router.step(RunReplied(12.0, 'r.0', sends[0].server, reply))
    assert only(commands, AnswerRun) == [AnswerRun('r', 'booked')]


@BOTH
@pytest.mark.parametrize('ran, sends_again', [(Ran.NO, 1), (Ran.UNKNOWN, 0)])
def test_run_is_resent_only_if_it_certainly_did_not_run(policy, ran, sends_again):
    router = samples.start(build(policy))
    server = start_run(router)[0].server
    failed = CallFailed(12.0, 'r.0', server, FailureStep.SEND, ran, False)
    commands = router.step(failed)
    assert len(only(commands, SendRun)) == sends_again
    refusals = only(commands, RefuseCaller)
    assert [refusal.ran for refusal in refusals] == [Ran.UNKNOWN][sends_again:]


@BOTH
def test_refusal_of_another_request_leaves_run_unknown(policy):
    router = samples.start(build(policy))
    server = start_run(router)[0].server
    refusal = CallRefusal('other.0', RefusalReason.SHED, Ran.NO, 'i1', 'v1')
    commands = router.step(CallRefused(12.0, 'r.0', server, refusal))
    assert not only(commands, SendRun)
    assert only(commands, RefuseCaller)[0].ran is Ran.UNKNOWN


@BOTH
def test_internal_failure_of_run_is_reported_as_unknown(policy):
    router = samples.start(build(policy))
    server = start_run(router)[0].server
    refusal = CallRefusal('r.0', RefusalReason.FAILED, Ran.UNKNOWN, 'i1', 'v1')
    commands = router.step(CallRefused(12.0, 'r.0', server, refusal))
    assert not only(commands, SendRun)
    assert only(commands, RefuseCaller)[0].ran is Ran.UNKNOWN
