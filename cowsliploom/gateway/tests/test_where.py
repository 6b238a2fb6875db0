"""The tool asks a running VM where a request would go."""

import asyncio

import pytest

from cowsliploom.cli._errors import CtlError
from cowsliploom.cli._where import ask_where, render_where
from cowsliploom.dataplane import HttpListener
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher
from cowsliploom.forwarding.tests.test_access import KEYS, dispatcher_with
from cowsliploom.gateway._where import answer_where


def ask(dispatcher, url, *headers):
    """Return the tool's answer, from a VM with a dispatcher."""

    async def scenario():
        listener = HttpListener(
            '127.0.0.1:0', lambda http: answer_where(dispatcher, http, 1000)
        )
        await listener.start()
        answer = await asyncio.to_thread(
            ask_where, listener.address, 'get', url, headers
        )
        await listener.close()
        return answer

    return asyncio.run(asyncio.wait_for(scenario(), 10))


def test_servers_of_the_route_are_listed():
    text = render_where(ask(make_dispatcher(), 'http://h/safe/x?a=1'))
    first, head, *rows = text.splitlines()
    assert first == 'version 3, route safe, workspace none'
    assert head.startswith('SERVICE')
    assert [row.split()[:2] for row in rows] == [['one', '1.00']] * 2


@pytest.mark.parametrize(
    ('header', 'expected'),
    [('Key: k-ada', 'workspace ada'), ('Key: k-other', 'no key')],
)
def test_key_is_used_and_not_shown(header, expected):
    text = render_where(ask(dispatcher_with(KEYS), 'http://h/all/x', header))
    assert expected in text
    assert 'k-' not in text


@pytest.mark.parametrize(
    ('url', 'headers'),
    [
        ('h/x', ()),
        ('http://h', ()),
        ('http://h/x', ('nocolon',)),
        ('http://h/x', (': x',)),
    ],
)
def test_bad_input_is_named(url, headers):
    with pytest.raises(CtlError, match='expected'):
        ask_where('127.0.0.1:1', 'GET', url, headers)


def test_vm_that_does_not_answer_is_named():
    with pytest.raises(CtlError, match='127.0.0.1:1'):
        ask_where('127.0.0.1:1', 'GET', 'http://h/x', ())
