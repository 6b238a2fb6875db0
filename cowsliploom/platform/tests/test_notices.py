"""Headers by which a server says that it leaves, or asks for a pause."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.forwarding import ServerNotice
from cowsliploom.platform import read_notice

NAMES = st.sampled_from(('Server-Leaving', 'Retry-After', 'retry-after', 'X'))
TEXTS = st.one_of(
    st.text(max_size=30),
    st.from_regex(r'[0-9]{0,400}\.?[0-9]{0,20}', fullmatch=True),
    st.floats().map(str),
)


@pytest.mark.parametrize(
    ('text', 'pause_ms'),
    [
        ('2', 2000),
        ('0', 0),
        ('0.2', 200),
        ('.5', 500),
        ('3.', 3000),
        (' 1.5 ', 1500),
        ('0003', 3000),
        ('9' * 400, math.inf),
    ],
)
def test_pause_is_read_as_seconds(text, pause_ms):
    notice = read_notice(503, [('Retry-After', text)])
    assert notice == ServerNotice(pause_ms=pytest.approx(pause_ms))


@pytest.mark.parametrize(
    'text',
    [
        '',
        '-1',
        '+1',
        '1e3',
        '1_000',
        'nan',
        'inf',
        '0x10',
        '1,5',
        '²',
        '٣',
        'soon',
        'Sun, 06 Nov 1994 08:49:37 GMT',
    ],
)
def test_unclear_pause_asks_for_nothing_and_is_told(text):
    notice = read_notice(503, [('Retry-After', text)])
    assert notice.pause_ms is None
    assert not notice.is_leaving
    assert (notice.problem == text.strip()) or not text


@pytest.mark.parametrize('status', [200, 429, 500, 504])
def test_pause_counts_only_with_the_status_of_an_overloaded_server(status):
    assert read_notice(status, [('Retry-After', '2')]) is None


@pytest.mark.parametrize('status', [200, 421, 500, 503])
def test_leaving_server_is_told_by_any_answer(status):
    assert read_notice(status, [('server-leaving', '1')]).is_leaving


@pytest.mark.parametrize('text', ['0', 'true', '11', ''])
def test_other_text_does_not_say_that_the_server_leaves(text):
    assert not read_notice(200, [('Server-Leaving', text)]).is_leaving


def test_longest_pause_counts_and_unclear_ones_are_skipped():
    headers = [('Retry-After', text) for text in ('1', '3', 'soon', '2')]
    notice = read_notice(503, headers)
    assert (notice.pause_ms, notice.problem) == (3000, 'soon')


@given(st.integers(100, 599), st.lists(st.tuples(NAMES, TEXTS), max_size=4))
def test_any_headers_give_a_notice_within_bounds(status, headers):
    notice = read_notice(status, headers)
    if notice is not None:
        assert notice.pause_ms is None or notice.pause_ms >= 0
        assert len(notice.problem) <= 40
