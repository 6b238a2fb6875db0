"""Odd numbers in a server's headers harm no call but their own."""

import pytest

from cowsliploom.dataplane import HttpAnswer, HttpFailure, parse_count
from cowsliploom.dataplane.tests.test_connection_pool import (
    OK,
    ScriptedServer,
    run_calls,
)

ODD = ('', '-1', '1e3', '²', '٣', '0x1', '1.5', '9' * 5000, 'timeout', '\x00')


def keep_alive(text):
    """Return a complete answer with a ``Keep-Alive`` header."""
    lines = (b'HTTP/1.1 200 OK', b'Keep-Alive: timeout=' + text.encode('latin-1'))
    return b'\r\n'.join((*lines, b'Content-Length: 2', b'', b'ok'))


@pytest.mark.parametrize('text', [text for text in ODD if text.isprintable()])
def test_odd_number_is_no_count(text):
    assert parse_count(text) is None


@pytest.mark.parametrize('text', ['²', '-1', '1e3', '9' * 400, ''])
def test_complete_answer_is_delivered_whatever_its_idle_timeout(text):
    """Guard against an answer that is ready and lost until the request times out."""
    scripted = ScriptedServer([keep_alive(text)], [OK])
    first, second = run_calls(scripted, 2)
    assert (first.body, second.body) == (b'ok', b'ok')


@pytest.mark.parametrize('text', ['1e3', '9' * 5000, '-2', '²', '0x2'])
def test_answer_with_an_odd_length_fails_its_own_call_only(text):
    length = b'Content-Length: ' + text.encode('latin-1')
    odd = b'\r\n'.join((b'HTTP/1.1 200 OK', length, b'', b'ok'))
    first, second = run_calls(ScriptedServer([odd], [OK]), 2)
    assert isinstance(first, HttpFailure)
    assert isinstance(second, HttpAnswer)
