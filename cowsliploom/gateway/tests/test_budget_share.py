"""A VM's share of the constant part depends on the members that it knows of."""

import pytest

from cowsliploom.forwarding import BudgetRules, ServiceBudgets
from cowsliploom.gateway._budget_share import BudgetShare
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.members import LivenessRecord, Member, MembershipTable

RULES = BudgetRules(0.2, 50, 1000)
OWN = Member('own', 'own:1', 'de')
SETTLED_MS = 1050
LATER_MS = 60_000  # silent members have left the gossip by then
MUCH_LATER_MS = 700_000  # and are no longer counted


def share_after(now_ms, others=(), seeds=('own:1', 'b:1'), received_ms=100):
    """Return share and log lines of a VM that received liveness records once."""
    clock, log = [0], RecordingLog()
    known = MembershipTable(OWN, seeds, 1)
    budgets = ServiceBudgets(RULES)
    share = BudgetShare(known, budgets, log, lambda: clock[0])
    clock[0] = received_ms
    members = [Member(name, f'{name}:1', 'de') for name in others]
    known.record((LivenessRecord(member, 0) for member in members), received_ms)
    share.read()
    clock[0] = now_ms
    known.liveness_records(now_ms)
    return share.read(), log.lines


@pytest.mark.parametrize(
    ('now_ms', 'others', 'seeds', 'expected'),
    [
        (200, 'bcde', ('b:1',), 0.2),
        (LATER_MS, 'bcde', ('b:1',), 0.2),
        (MUCH_LATER_MS, 'bcde', ('b:1',), 0.5),
        (200, 'b', ('b:1', 'c:1', 'd:1'), 1 / 12),
        (200, 'bc', ('own:1', 'b:1', 'd:1'), 2 / 9),
        (200, 'c', ('b:1',), 0),
        (LATER_MS, '', ('own:1', 'b:1'), 0.25),
        (LATER_MS, '', ('b:1', 'c:1'), 0),
        (LATER_MS, '', ('own:1',), 1),
        (LATER_MS, '', (), 1),
    ],
)
def test_share_divides_by_members_and_seeds_seen_so_far(
    now_ms, others, seeds, expected
):
    constant, lines = share_after(now_ms, others, seeds)
    assert constant.share == pytest.approx(expected)
    assert bool(lines) == (expected > 0 or constant.is_settled)


@pytest.mark.parametrize(
    ('now_ms', 'is_settled'),
    [(200, False), (SETTLED_MS - 1, False), (SETTLED_MS, True)],
)
def test_process_is_settled_once_calls_of_its_predecessor_expired(now_ms, is_settled):
    assert share_after(now_ms, 'bcde')[0].is_settled == is_settled


def test_change_of_share_is_logged_with_member_counts():
    lines = share_after(LATER_MS, 'bcde')[1]
    part, event, fields = lines[-1]
    assert (part, event) == ('budget', 'share changed')
    assert fields == {
        'constant_share': 0.2,
        'settled': True,
        'counted': 5,
        'seeds_met': 1,
        'live': 1,
    }
