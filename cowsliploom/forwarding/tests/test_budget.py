"""Extra calls are paid with what requests have earned; bounds change meanwhile."""

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
    """Send all the extra calls that are allowed, and return their number."""
    spent = 0
    while budget.may_spend:
        budget.spend()
        spent += 1
    return spent


@pytest.mark.parametrize(
    ('share', 'saved', 'spent'), [(1, 8, 33), (0.25, 2, 27), (0.125, 1, 26), (0, 0, 0)]
)
def test_requests_pay_as_they_come_and_save_only_the_share(share, saved, spent):
    budgets = ServiceBudgets(RULES)
    constant = ConstantShare(share, is_settled=True)
    budgets.read_share = lambda: constant
    budget = budgets.of_service('s')
    in_all = 0
    for _ in range(100):
        budget.earn()
        in_all += spend_all(budget)
    assert spent - 1 <= in_all <= spent
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
def test_a_new_process_has_little_but_what_its_requests_pay(
    requests, share, is_settled, spent
):
    budgets = ServiceBudgets(RULES)
    budgets.read_share = lambda: ConstantShare(share, is_settled)
    budget = budgets.of_service('s')
    for _ in range(requests):
        budget.earn()
    assert spend_all(budget) == spent


@pytest.mark.parametrize(('saved', 'after'), [(0, 7), (1, 8)])
def test_a_process_that_settles_gets_what_it_could_not_save_before(saved, after):
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
def test_spent_calls_never_exceed_the_budget_in_any_window(steps, sharers):
    """Only requests in the window itself count; those before it pay for nothing."""
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


def budget_of(desk):
    """Return the budget that the requests of a service share."""
    desk.apply_table(RouteTable(1, (ROUTE,)))
    request = CallerRequest('r', 'GET', 'h', '/', (), b'', 0, 1000)
    return desk.open(request).sub_requests[0].budget


def test_a_reload_changes_the_bounds_of_services_that_are_known():
    """They stayed as they were at the first request of the service."""
    desk = RequestDispatcher(BudgetRules(0, 5, WINDOW_MS), 1, 'de', bool)
    constant = ConstantShare(1, is_settled=True)
    desk.budgets.read_share = lambda: constant
    budget = budget_of(desk)
    assert budget.tokens == 4
    desk.budgets.change(BudgetRules(0, 2.5, WINDOW_MS))
    assert budget.tokens == 2
    assert budget_of(desk) is budget
    desk.budgets.change(BudgetRules(1.05, 5, WINDOW_MS))
    budget.earn()
    assert budget.tokens == 3
