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

CLOSED_PORT = '127.0.0.1:1'


def test_counters_are_summed_over_labels():
    text = (
        'cowsliploom_latency_ms_count{work="a"} 9\n'
        'cowsliploom_hedges_total 3\n'
        'cowsliploom_refusals_total{cause="x"} 1\n'
        'cowsliploom_refusals_total{cause="y"} 2.0\n'
    )
    assert parse_counters(text) == Counter({'hedges': 3, 'refusals': 3})


def test_only_changed_counters_are_returned():
    deltas = counter_deltas(Counter({'a': 1, 'b': 2}), Counter({'a': 4, 'b': 2}))
    assert deltas == (CounterDelta('a', 3),)


def test_unreachable_entry_is_skipped():
    assert not read_counters([CLOSED_PORT])


def test_unreadable_run_log_raises_error_with_address():
    with pytest.raises(ScrapeError, match=CLOSED_PORT) as caught:
        read_run_logs([CLOSED_PORT])
    assert (caught.value.step, caught.value.peer) == ('runlog', CLOSED_PORT)
