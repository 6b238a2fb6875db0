"""Bounds of extra calls hold over all entry VMs, and change while calls go on."""

import pytest

from cowsliploom.forwarding import (
    BudgetRules,
    CallerRequest,
    ExtraBudget,
    ForwardingDesk,
    Route,
    RouteTable,
    WeightedService,
)

WINDOW_MS = 10_000
ROUTE = Route('r', 'h', '/', True, 2, 1000, 100, services=(WeightedService('s', 1),))


@pytest.mark.parametrize(
    ('share', 'allowed'), [(1, 28), (0.25, 22), (0.125, 21), (0, 20)]
)
def test_each_entry_vm_uses_its_ratio_and_its_part_of_the_extra(share, allowed):
    budget = ExtraBudget(ratio=0.2, extra=8, window_ms=WINDOW_MS)
    for _ in range(100):
        budget.earn(0)
    spent = 0
    while budget.may_spend(0, share):
        budget.spend(0)
        spent += 1
    assert spent == allowed


def budget_of(desk):
    """Return the budget that the requests of a service share."""
    desk.take_table(RouteTable(1, (ROUTE,)))
    request = CallerRequest('r', 'GET', 'h', '/', (), b'', 0, 1000)
    return desk.open(request).works[0].budget


def test_a_reload_changes_the_bounds_of_services_that_are_known():
    """They stayed as they were at the first request of the service."""
    desk = ForwardingDesk(BudgetRules(0, 4, WINDOW_MS), 1, 'de', bool)
    budget = budget_of(desk)
    for _ in range(3):
        budget.spend(0)
    desk.budgets.change(BudgetRules(0, 2, WINDOW_MS))
    assert not budget.may_spend(0, 1)
    assert budget_of(desk) is budget
    desk.budgets.change(BudgetRules(0, 4, WINDOW_MS))
    assert budget.may_spend(0, 1)
