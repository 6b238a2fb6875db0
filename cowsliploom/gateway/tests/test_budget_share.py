"""A VM's share of the constant part follows whom it may be sharing with."""

import pytest

from cowsliploom.forwarding import BudgetRules, ServiceBudgets
from cowsliploom.gateway._budget_share import BudgetShare
from cowsliploom.gateway.tests.test_store_view import RecordingLog
from cowsliploom.members import MembershipTable, Member, LivenessRecord

RULES = BudgetRules(0.2, 50, 1000)
OWN = Member('own', 'own:1', 'de')
SETTLED_MS = 1050
LATER_MS = 60_000  # silent members are no longer spoken of by then
MUCH_LATER_MS = 700_000  # nor counted


def share_after(now_ms, others=(), seeds=('own:1', 'b:1'), heard_ms=100):
    """Return the share and the log of a VM that heard of others once."""
    clock, log = [0], RecordingLog()
    known = MembershipTable(OWN, seeds, 1)
    budgets = ServiceBudgets(RULES)
    share = BudgetShare(known, budgets, log, lambda: clock[0])
    clock[0] = heard_ms
    members = [Member(name, f'{name}:1', 'de') for name in others]
    known.record((LivenessRecord(member, 0) for member in members), heard_ms)
    share.read()
    clock[0] = now_ms
    known.sightings(now_ms)
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
def test_the_share_is_of_those_that_were_heard_of(now_ms, others, seeds, expected):
    constant, lines = share_after(now_ms, others, seeds)
    assert constant.share == pytest.approx(expected)
    assert bool(lines) == (expected > 0 or constant.is_settled)


@pytest.mark.parametrize(
    ('now_ms', 'is_settled'),
    [(200, False), (SETTLED_MS - 1, False), (SETTLED_MS, True)],
)
def test_a_process_is_settled_when_an_earlier_one_counts_no_more(now_ms, is_settled):
    assert share_after(now_ms, 'bcde')[0].is_settled == is_settled


def test_a_change_of_the_share_is_told_with_who_is_counted():
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
