import pytest

from cowsliploom.protocol import (
    CallRefusal,
    DocRange,
    Ran,
    RefusalReason,
    RunCall,
    SearchCall,
    ServerState,
    SnapshotInfo,
)
from cowsliploom.standins._server_model import ServerModel, Ticket
from cowsliploom.standins._server_settings import (
    ErrorFault,
    ServerFaults,
    ServerSettings,
    SlowFault,
    parse_snapshot,
)

SNAPSHOT = SnapshotInfo(7, 'a', (DocRange(0, 1000),), 20_000)


def make_model(**settings):
    base = {'server': 'a1', 'service': 'a', 'snapshots': (SNAPSHOT,)}
    return ServerModel(ServerSettings(**{**base, **settings}), 'one')


def search(number=1, service='a', snapshot=7, timeout_ms=1000, route='cellar'):
    return SearchCall(f'q.{number}', service, route, snapshot, 'x', 5, timeout_ms)


def run(number=1, payload='book'):
    return RunCall(f'r{number}', 'a', payload, 1000)


def admit_many(model, count, now_ms=0):
    return [model.admit(search(number), now_ms) for number in range(count)]


@pytest.mark.parametrize(
    ('call', 'reason'),
    [
        (search(service='b'), RefusalReason.WRONG_SERVICE),
        (search(snapshot=8), RefusalReason.SNAPSHOT_GONE),
        (search(timeout_ms=0), RefusalReason.EXPIRED),
    ],
)
def test_refusal_has_reason_and_ran_no(call, reason):
    refusal = make_model().admit(call, 0)
    assert (refusal.reason, refusal.ran) == (reason, Ran.NO)


def test_calls_beyond_slots_are_queued_and_beyond_queue_shed():
    model = make_model(slots=2, queue_max=1)
    first, second, third, fourth = admit_many(model, 4)
    assert first.work
    assert second.work
    assert third.work is None
    assert fourth.reason is RefusalReason.SHED


def test_finished_call_frees_slot_for_queued_call():
    model = make_model(slots=1)
    first, second = admit_many(model, 2)
    assert model.finish(first, 5) is second
    assert second.work
    assert (model.finish(second, 9), model.calls) == (None, 0)


def test_cancelled_search_is_not_logged_as_served():
    model = make_model()
    ticket = model.admit(search(), 0)
    assert model.cancel('q.1') is ticket
    model.finish(ticket, 1)
    assert [entry.served for entry in model.server_log.run_log.searches] == [False]
    assert (model.server_log.counters.cancelled, model.server_log.counters.served) == (
        1,
        0,
    )


def test_run_is_never_cancelled():
    model = make_model()
    model.admit(run(), 0)
    assert model.cancel('r1') is None


def test_dropped_queued_call_has_ran_no():
    model = make_model(slots=1)
    _, queued = admit_many(model, 2)
    assert model.drop_queued(queued).ran is Ran.NO
    assert model.calls == 1


def test_queued_run_is_logged_when_it_starts():
    model = make_model(slots=1)
    first = model.admit(search(), 0)
    queued = model.admit(run(), 0)
    assert model.server_log.run_log.runs == []
    model.finish(first, 1)
    assert [entry.payload for entry in model.server_log.run_log.runs] == ['book']
    assert queued.work


def test_same_payload_with_another_id_counts_as_duplicate():
    model = make_model()
    for number in (1, 2):
        model.finish(model.admit(run(number), 0), 1)
    assert model.server_log.counters.duplicate_runs == 1
    assert [entry.order for entry in model.server_log.run_log.runs] == [1, 2]


def test_search_stops_at_deadline_and_run_continues():
    model = make_model(latency_ms=1000, latency_sigma=0)
    ticket = model.admit(search(timeout_ms=20), 0)
    booked = model.admit(run(), 0)
    assert (ticket.work.duration_ms, ticket.dropped) == (20, True)
    assert (round(booked.work.duration_ms), booked.dropped) == (1000, False)


def test_cold_server_refuses_all_calls_after_exceeded_allowance():
    model = make_model(slots=2, cold_start=True, fall_over_ms=500)
    first, second = admit_many(model, 2)
    assert isinstance(first, Ticket)
    assert (second.reason, second.state) == (RefusalReason.COLD, ServerState.COLD)
    model.finish(first, 10)
    assert model.admit(search(3), 499).reason is RefusalReason.COLD
    assert isinstance(model.admit(search(4), 500), Ticket)
    counters = model.server_log.counters
    assert (counters.overruns, counters.calls_cold_max) == (1, 2)


def test_cold_allowance_rises_with_served_calls_until_live():
    model = make_model(slots=2, cold_start=True, cold_step_calls=3)
    allowances = []
    for number in range(6):
        allowances.append(model.cold.allowance)
        model.finish(model.admit(search(number), number), number)
    assert allowances == [1, 1, 1, 2, 2, 2]
    assert model.state is ServerState.LIVE


def test_hidden_cold_start_reports_live():
    model = make_model(cold_start=True)
    model.faults = ServerFaults(cold_hidden=True)
    assert model.state is ServerState.LIVE


@pytest.mark.parametrize(
    ('now_ms', 'accepted', 'in_grace', 'after_grace'),
    [(2999, True, 1, 0), (3000, False, 0, 1)],
)
def test_leaving_server_refuses_after_grace_period(
    now_ms, accepted, in_grace, after_grace
):
    model = make_model()
    model.leave(0)
    outcome = model.admit(search(), now_ms)
    assert isinstance(outcome, Ticket) == accepted
    counters = model.server_log.counters
    assert (counters.calls_while_leaving, counters.calls_after_grace) == (
        in_grace,
        after_grace,
    )
    assert model.state is ServerState.LEAVING


def test_connection_cost_delays_next_call_unless_slot_was_idle():
    model = make_model(connect_cost_ms=6, latency_ms=10, latency_sigma=0)
    model.open_connection(0)
    model.open_connection(0)
    ticket = model.admit(search(), 4)
    assert ticket.work.duration_ms == pytest.approx(18)
    model.open_connection(4)
    assert model.admit(search(2), 20).work.duration_ms == pytest.approx(10)


def test_connections_beyond_limit_are_refused_until_one_closes():
    model = make_model(connections_max=1)
    accepted_connections = [model.open_connection(0), model.open_connection(0)]
    model.close_connection()
    assert [*accepted_connections, model.open_connection(0)] == [True, False, True]
    assert model.server_log.counters.connections_closed_over == 1


@pytest.mark.parametrize(
    ('slow', 'duration_ms'),
    [
        (SlowFault(factor=10), 100),
        (SlowFault(extra_ms=7), 17),
        (SlowFault(factor=10, route='other'), 10),
        (SlowFault(factor=10, route='cellar'), 100),
        (SlowFault(factor=10, busy_min=2), 10),
        (SlowFault(factor=10, share=0), 10),
    ],
)
def test_slow_fault_affects_matching_calls_only(slow, duration_ms):
    model = make_model(latency_ms=10, latency_sigma=0)
    model.faults = ServerFaults(slow=(slow,))
    assert model.admit(search(), 0).work.duration_ms == pytest.approx(duration_ms)


@pytest.mark.parametrize(
    ('error', 'call', 'fails'),
    [
        (ErrorFault(share=1), search(), True),
        (ErrorFault(share=1, route='run'), search(), False),
        (ErrorFault(share=1, route='run'), run(), True),
        (ErrorFault(share=1, busy_min=2), search(), False),
        (ErrorFault(share=0), search(), False),
    ],
)
def test_error_fault_affects_matching_calls_only(error, call, fails):
    model = make_model()
    model.faults = ServerFaults(errors=(error,))
    assert model.admit(call, 0).work.fails == fails


def test_straggler_share_is_reproducible_for_a_seed():
    def durations():
        model = make_model(latency_ms=1, latency_sigma=0, seed=5)
        model.faults = ServerFaults(slow=(SlowFault(share=0.05, factor=100),))
        tickets = [model.admit(search(number), 0) for number in range(1)]
        for number in range(2000):
            model.finish(tickets[-1], 0)
            tickets.append(model.admit(search(number), 0))
        return [ticket.work.duration_ms for ticket in tickets]

    first, second = durations(), durations()
    assert first == second
    stragglers = sum(duration > 50 for duration in first)
    assert 60 < stragglers < 140


def test_call_refused_by_shed_fault_does_not_run():
    model = make_model()
    model.faults = ServerFaults(shed=True)
    refusal = model.admit(run(), 0)
    assert isinstance(refusal, CallRefusal)
    assert (refusal.reason, refusal.ran) == (RefusalReason.SHED, Ran.NO)
    assert model.server_log.run_log.runs == []


@pytest.mark.parametrize('text', ['', '7', '7:0-1', '7:a-b:3', '7:0-1000:x'])
def test_invalid_snapshot_text_raises_value_error(text):
    with pytest.raises(ValueError, match='snapshots: got'):
        parse_snapshot('a', text)


def test_snapshot_text_with_several_ranges_is_parsed():
    info = parse_snapshot('a', '7:0-10,20-30:100')
    assert info.ranges == (DocRange(0, 10), DocRange(20, 30))
