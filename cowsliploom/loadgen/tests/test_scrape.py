from collections import Counter

import pytest

from cowsliploom.loadgen._results import CounterDelta
from cowsliploom.loadgen._scrape import (
    ScrapeError,
    counter_deltas,
    parse_counters,
    read_counters,
    read_run_logs,
)

NOWHERE = '127.0.0.1:1'


def test_counters_are_added_over_labels():
    text = (
        'cowsliploom_latency_ms_count{work="a"} 9\n'
        'cowsliploom_hedges_total 3\n'
        'cowsliploom_refusals_total{cause="x"} 1\n'
        'cowsliploom_refusals_total{cause="y"} 2.0\n'
    )
    assert parse_counters(text) == Counter({'hedges': 3, 'refusals': 3})


def test_only_counters_that_rose_are_told():
    deltas = counter_deltas(Counter({'a': 1, 'b': 2}), Counter({'a': 4, 'b': 2}))
    assert deltas == (CounterDelta('a', 3),)


def test_entry_that_does_not_answer_is_left_out():
    assert not read_counters([NOWHERE])


def test_run_log_that_cannot_be_read_is_named():
    with pytest.raises(ScrapeError, match=NOWHERE) as caught:
        read_run_logs([NOWHERE])
    assert (caught.value.step, caught.value.peer) == ('runlog', NOWHERE)
