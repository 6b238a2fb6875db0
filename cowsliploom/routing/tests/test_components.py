"""Unit tests of the components of routing."""

import itertools
import random

import pytest

from cowsliploom.protocol import ServerState
from cowsliploom.routing import _admission as admission
from cowsliploom.routing import _budget as budgets
from cowsliploom.routing import _latency as latency
from cowsliploom.routing import _limiter as limiters
from cowsliploom.routing import _replica as replica
from cowsliploom.routing import _shares as shares
from cowsliploom.routing import _view as views
from cowsliploom.routing import _warmup as warmup
from cowsliploom.routing._queue import QueuedWork, UrgencyQueue


@pytest.mark.parametrize('sent, extra', [(0, 1), (100, 6), (10_000, 10)])
def test_budget_refills_by_its_ratio_up_to_the_burst(sent, extra):
    budget = budgets.earn(budgets.TokenBudget(0.05), sent)
    spent = 0
    while budget.may_spend:
        budget = budgets.spend(budget)
        spent += 1
    assert spent == extra


@pytest.mark.parametrize('count, expected', [(7, 50), (8, 3)])
def test_quantile_needs_enough_samples(count, expected):
    window = latency.LatencyWindow()
    for _ in range(count):
        window = latency.add_sample(window, 3)
    assert window.quantile(0.9, 50) == expected


def test_quantile_follows_a_change_within_the_window():
    window = latency.LatencyWindow()
    for number in range(328):
        window = latency.add_sample(window, 5 if number < 200 else 20)
    assert window.quantile(0.5, 50) == 20
    assert len(window.samples) == latency.SAMPLES_KEPT


@pytest.mark.parametrize(
    'limit, in_flight, since_ms, allowed',
    [
        (2, 1, 0, True),
        (2, 2, 1000, False),
        (1.5, 1, 9, False),
        (1.5, 1, 10, True),
        (0.5, 0, 9, False),
        (0.5, 0, 10, True),
        (0.5, 1, 1000, False),
        (0.25, 0, 29, False),
        (0.25, 0, 30, True),
    ],
)
def test_fraction_of_a_limit_is_paced(limit, in_flight, since_ms, allowed):
    limiter = limiters.Limiter(limit)
    assert limiter.allows(in_flight, since_ms, 10) is allowed


def test_limit_decreases_at_once_and_increases_slowly():
    limiter = limiters.Limiter(2)
    lowered = limiters.lower_limit(limiter, sent_ms=5, now_ms=10)
    assert lowered.limit < limiter.limit * 0.75
    grown = lowered
    for _ in range(10):
        grown = limiters.raise_limit(grown, share=2, ceiling=2)
    assert lowered.limit < grown.limit < 2


def test_one_burst_of_sheds_lowers_the_limit_once():
    lowered = limiters.lower_limit(limiters.Limiter(2), sent_ms=5, now_ms=10)
    assert limiters.lower_limit(lowered, sent_ms=9, now_ms=11) == lowered
    assert limiters.lower_limit(lowered, sent_ms=11, now_ms=12).limit < lowered.limit


def test_limit_grows_slower_above_the_fair_share():
    below = limiters.raise_limit(limiters.Limiter(1), share=2, ceiling=4)
    above = limiters.raise_limit(limiters.Limiter(1), share=1, ceiling=4)
    assert above.limit > 1
    assert below.limit - 1 > 10 * (above.limit - 1)
    assert limiters.raise_limit(limiters.Limiter(4), share=1, ceiling=4).limit == 4


@pytest.mark.parametrize('entries', [1, 2, 3, 8])
def test_connections_leave_headroom_for_replacements(entries):
    share = limiters.connection_share(25, 0.1, entries)
    assert share >= 1
    assert share * (entries + 1) <= 25 * 0.9
    assert limiters.connection_share(4, 0.1, 8) == 1


def observe_calls(view, elapsed, count):
    for _ in range(count):
        view = views.observe_success(view, elapsed, 0)
    return view


def test_fast_errors_raise_the_cost_of_a_server():
    good = observe_calls(views.ServerView(), 5, 20)
    failing = observe_calls(views.ServerView(), 5, 20)
    for _ in range(4):
        failing = views.observe_failure(failing, 0)
    cost = views.expected_cost(failing, 0, 5, 0)
    assert cost > views.expected_cost(good, 3, 5, 0)


def test_old_view_decays_to_unknown_not_to_good():
    failing = views.ServerView()
    for _ in range(10):
        failing = views.observe_failure(failing, 0)
    good = observe_calls(views.ServerView(), 5, 20)
    much_later = 20 * views.HALF_LIFE_MS
    unknown = views.expected_cost(views.ServerView(), 0, 5, 0)
    for view in (failing, good):
        assert views.expected_cost(view, 0, 5, much_later) == pytest.approx(
            unknown, abs=0.01
        )
    assert views.expected_cost(good, 0, 5, 0) < unknown


@pytest.mark.parametrize('slow_ratio, is_slow', [(0.05, False), (1, True)])
def test_few_stragglers_do_not_mark_a_server_very_slow(slow_ratio, is_slow):
    generator = random.Random(3)
    view = observe_calls(views.ServerView(), 5, 50)
    seen = []
    for _ in range(1000):
        elapsed = 100 if generator.random() < slow_ratio else 5
        view = views.observe_success(view, elapsed, 0)
        seen.append(view.is_very_slow)
    assert any(seen) is is_slow


@pytest.mark.parametrize('share', [0, 0.01, 0.1, 0.37, 0.5, 1])
def test_new_version_gets_at_most_its_share(share):
    counter = shares.change_share(None, 'v2', share)
    new = 0
    for sent in range(1, 501):
        version = 'v2' if counter.allows_new else 'v1'
        new += version == 'v2'
        counter = shares.count_call(counter, version)
        assert new <= share * sent + 1e-6
    assert new >= int(share * 500) - 1


def test_share_of_zero_resets_the_credit():
    counter = shares.change_share(None, 'v2', 0.9)
    for _ in range(5):
        counter = shares.count_call(counter, 'v1')
    vetoed = shares.change_share(counter, 'v2', 0)
    assert counter.allows_new
    assert not vetoed.allows_new
    assert not shares.change_share(vetoed, 'v2', 0.01).allows_new


def fill(queue, urgencies):
    """Push requests with the same deadline; return those evicted."""
    evicted = []
    for order, urgency in enumerate(urgencies):
        dropped = queue.push(QueuedWork(100, order, urgency, f'{urgency}-{order}'))
        evicted.append(dropped and dropped.work)
    return [work for work in evicted if work]


def test_queue_serves_urgent_first_then_by_deadline():
    queue = UrgencyQueue(10)
    queue.push(QueuedWork(200, 0, 5, 'late'))
    queue.push(QueuedWork(100, 1, 5, 'soon'))
    queue.push(QueuedWork(300, 2, 9, 'urgent'))
    served = [queue.pop().work for _ in range(3)]
    assert served == ['urgent', 'soon', 'late']


def test_no_urgency_starves():
    queue = UrgencyQueue(100)
    fill(queue, itertools.chain((1, 5), itertools.repeat(9, 60)))
    served = [queue.pop().work for _ in range(40)]
    assert '1-0' in served
    assert '5-1' in served
    assert len([work for work in served if work.startswith('9')]) >= 36


def test_full_queue_evicts_the_least_urgent():
    queue = UrgencyQueue(2)
    assert fill(queue, [5, 1, 9, 9, 1]) == ['1-1', '5-0', '1-4']
    assert len(queue) == 2
    assert queue.count_ahead(9) == 2


def test_expired_requests_raise_the_estimate_and_served_ones_lower_it():
    plain = admission.WaitEstimate()
    raised = admission.record_expired(plain)
    assert plain.wait_ms(4, 2) == 10
    assert raised.wait_ms(4, 2) > 10
    assert admission.record_served(raised).wait_ms(4, 2) < raised.wait_ms(4, 2)
    assert admission.record_served(plain) == plain


def test_entries_prefer_different_servers():
    servers = [f's{number}' for number in range(4)]
    preferred = set()
    for entry in range(8):
        factors = {
            server: replica.preference_factor(f'entry-{entry}', server, servers)
            for server in servers
        }
        assert sorted(factors.values()) == [1, 1.25, 1.5, 1.75]
        preferred.add(min(factors, key=factors.get))
    assert len(preferred) >= 3


def test_two_choices_are_different_and_all_occur():
    generator = random.Random(1)
    pairs = {replica.pick_two(3, generator) for _ in range(200)}
    assert pairs == {(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)}


COLD = warmup.Cold(warmup.ColdCause.REPORTED, 0)


@pytest.mark.parametrize(
    'cold, owned, reported, allowance',
    [
        (COLD, False, 9, 0),
        (COLD, True, None, 1),
        (COLD, True, 0, 0),
        (warmup.Cold(COLD.cause, 0, False, 3), True, None, 1),
        (warmup.Cold(COLD.cause, 0, False, 3), True, 2, 2),
        (warmup.Cold(COLD.cause, 0, False, 3), True, 9, 3),
        (warmup.Cold(COLD.cause, 0, True, 3), True, None, 3),
    ],
)
def test_load_reports_only_lower_the_earned_allowance(cold, owned, reported, allowance):
    assert warmup.cold_allowance(cold, owned, reported) == allowance


def test_allowance_grows_with_successes_and_resets_on_a_setback():
    warmth = warmup.Cold(warmup.ColdCause.INCARNATION, 0, reports_live=True)
    for _ in range(warmup.SUCCESSES_PER_STEP):
        warmth = warmup.apply_success(warmth, ServerState.LIVE, 4)
    assert warmth.allowance == 2
    lowered = warmup.apply_setback(warmth, 7)
    assert (lowered.allowance, lowered.successes, lowered.since_ms) == (1, 0, 7)


@pytest.mark.parametrize(
    'state, ends', [(ServerState.LIVE, warmup.Warm), (ServerState.COLD, warmup.Cold)]
)
def test_server_that_reports_itself_cold_stays_cold(state, ends):
    warmth = warmup.Cold(warmup.ColdCause.INCARNATION, 0, reports_live=True)
    for _ in range(40):
        warmth = warmup.apply_success(warmth, state, 2)
    assert isinstance(warmth, ends)


@pytest.mark.parametrize(
    'owned, now_ms, ends',
    [
        (False, 4999, warmup.Cold),
        (False, 5000, warmup.Warm),
        (True, 9000, warmup.Cold),
    ],
)
def test_only_non_owners_accept_a_live_report_after_the_hold_time(owned, now_ms, ends):
    after = warmup.apply_reported_state(COLD, ServerState.LIVE, now_ms, 5000, owned)
    assert isinstance(after, ends)
