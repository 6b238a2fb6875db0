"""Extra calls are paid with tokens that requests earned, also if limits change."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.forwarding import (
    Allowance,
    BudgetRules,
    CallerRequest,
    ConstantShare,
    ExtraBudget,
    RequestDispatcher,
    Route,
    RouteTable,
    ServiceBudgets,
    WeightedService,
)

WINDOW_MS = 10_000
ROUTE = Route('r', 'h', '/', True, 2, 1000, 100, services=(WeightedService('s', 1),))
RULES = BudgetRules(0.2625, 10, WINDOW_MS)  # a request earns a quarter


def spend_all(budget):
    """Spend all tokens and return the number of extra calls."""
    spent = 0
    while budget.may_spend:
        budget.spend()
        spent += 1
    return spent


@pytest.mark.parametrize(
    ('share', 'saved', 'spent'), [(1, 8, 33), (0.25, 2, 27), (0.125, 1, 26), (0, 0, 0)]
)
def test_requests_earn_tokens_and_saving_is_limited_to_the_share(share, saved, spent):
    budgets = ServiceBudgets(RULES)
    constant = ConstantShare(share, is_settled=True)
    budgets.read_share = lambda: constant
    budget = budgets.of_service('s')
    total = 0
    for _ in range(100):
        budget.earn()
        total += spend_all(budget)
    assert spent - 1 <= total <= spent
    for _ in range(100):
        budget.earn()
    assert spend_all(budget) == saved


@pytest.mark.parametrize(
    ('requests', 'share', 'is_settled', 'spent'),
    [
        (0, 1, True, 8),
        (0, 1, False, 1),
        (0, 0.5, False, 0),
        (2, 0.5, False, 1),
        (50, 1, False, 1),
        (50, 0.1, False, 0),
    ],
)
def test_new_process_starts_with_few_tokens(requests, share, is_settled, spent):
    budgets = ServiceBudgets(RULES)
    budgets.read_share = lambda: ConstantShare(share, is_settled)
    budget = budgets.of_service('s')
    for _ in range(requests):
        budget.earn()
    assert spend_all(budget) == spent


@pytest.mark.parametrize(('saved', 'after'), [(0, 7), (1, 8)])
def test_settling_grants_the_increase_of_the_token_limit(saved, after):
    allowance = [Allowance(1, 0, 1, is_settled=False)]
    budget = ExtraBudget(lambda: allowance[0])
    budget.earn()
    for _ in range(1 - saved):
        budget.spend()
    allowance[0] = Allowance(1, 8, 8, is_settled=True)
    assert budget.tokens == after
    allowance[0] = Allowance(1, 2, 2, is_settled=True)
    assert budget.tokens == 2
    allowance[0] = Allowance(1, 8, 8, is_settled=True)
    assert budget.tokens == 2


@given(
    st.lists(st.tuples(st.floats(0, 40), st.booleans()), max_size=400),
    st.integers(1, 8),
)
def test_extra_calls_never_exceed_the_budget_in_any_window(steps, sharers):
    """Only requests in the window itself count; earlier ones earn nothing for it."""
    budgets = ServiceBudgets(BudgetRules(ratio=0.2, extra=16, window_ms=1000))
    constant = ConstantShare(1 / sharers, is_settled=True)
    budgets.read_share = lambda: constant
    budget = budgets.of_service('s')
    now_ms = 0
    earned, spent = [], []
    for gap_ms, wants in steps:
        now_ms += gap_ms
        budget.earn()
        earned.append(now_ms)
        if wants and budget.may_spend:
            budget.spend()
            spent.append(now_ms)
    for end_ms in spent:
        in_window = sum(end_ms - 1000 < at <= end_ms for at in spent)
        requests = sum(end_ms - 1000 < at <= end_ms for at in earned)
        assert in_window <= 0.2 * requests + 16 / sharers


def budget_of(dispatcher):
    """Return the budget that requests to one service share."""
    dispatcher.apply_table(RouteTable(1, (ROUTE,)))
    request = CallerRequest('r', 'GET', 'h', '/', (), b'', 0, 1000)
    return dispatcher.open(request).sub_requests[0].budget


def test_reload_changes_the_limits_of_existing_budgets():
    """Budgets used to keep the limits from the first request of their service."""
    dispatcher = RequestDispatcher(BudgetRules(0, 5, WINDOW_MS), 1, 'de', bool)
    constant = ConstantShare(1, is_settled=True)
    dispatcher.budgets.read_share = lambda: constant
    budget = budget_of(dispatcher)
    assert budget.tokens == 4
    dispatcher.budgets.change(BudgetRules(0, 2.5, WINDOW_MS))
    assert budget.tokens == 2
    assert budget_of(dispatcher) is budget
    dispatcher.budgets.change(BudgetRules(1.05, 5, WINDOW_MS))
    budget.earn()
    assert budget.tokens == 3
