"""Counts reach the ledger once, however often their messages arrive."""

import random

import pytest

from cowsliploom.usage import LocalUsage, TrueTime, UsageLedger


@pytest.mark.parametrize('seed', range(20))
def test_counts_arrive_once_beside_lost_and_repeated_messages(seed):
    draw = random.Random(seed)
    members = [LocalUsage(f'm{number}#1') for number in range(5)]
    ledgers = {'a': UsageLedger(), 'b': UsageLedger()}
    holder = 'a'
    counted = {7: 0, 8: 0}
    messages = []
    for _ in range(400):
        member = draw.choice(members)
        window = draw.choice((7, 8))
        if draw.randrange(10) < 3:
            member.add('ada', window)
            counted[window] += 1
        if draw.randrange(50) == 0:
            holder = draw.choice(('a', 'b'))
        entries = member.pending(holder)
        messages.append((holder, entries))
        if draw.randrange(10) < 6:
            ledgers[holder].apply(entries)
            if draw.randrange(10) < 7:
                member.acknowledge(holder, entries)
        late_holder, late = draw.choice(messages)
        ledgers[late_holder].apply(late)
    for member in members:
        ledgers[holder].apply(member.pending(holder))
    found = {window: ledgers[holder].totals(window) for window in counted}
    assert found == {window: {'ada': count} for window, count in counted.items()}


def test_request_that_did_not_run_is_taken_back():
    usage, ledger = LocalUsage('a#1'), UsageLedger()
    usage.add('ada', 7)
    usage.add('bea', 7)
    ledger.apply(usage.pending('h'))
    usage.add('ada', 7, change=-1)
    ledger.apply(usage.pending('h'))
    assert ledger.totals(7) == {'bea': 1}


def test_closed_window_takes_no_more_counts():
    usage, ledger = LocalUsage('a#1'), UsageLedger()
    usage.add('ada', 7)
    ledger.close_until(7)
    assert ledger.apply(usage.pending('h')) == 1
    assert not ledger.totals(7)


@pytest.mark.parametrize('jump_ms', [-30_000, -2000, 0, 2000, 30_000])
@pytest.mark.parametrize('jumped', [0, 1, 2])
def test_true_time_bears_jumps_of_a_minority(jump_ms, jumped):
    clock = TrueTime()
    for number in range(4):
        wrong_ms = jump_ms if number < jumped else 0
        clock.add(f'm{number}', wall_ms=50_000 + number + wrong_ms, now_ms=1000)
    assert abs(clock.read(own_wall_ms=50_500, now_ms=1500) - 50_500) <= 4
