"""A request whose connections one server refuses goes on to the servers beside it."""

import pytest

from cowsliploom.forwarding import CallStep, Outcome
from cowsliploom.forwarding.tests.dispatcher_harness import (
    RequestDriver,
    good,
    make_dispatcher,
)

NOW_MS = 1000
BUSY_CALLS = 8  # open at the other server, which allows more
REFUSED_MS = 1  # until a connection is refused
FREED_MS = 50  # until the other server has room for a call


def calls_to(driver, name):
    """Return the ids of open calls to a server."""
    return [key for key in driver.open_ids if driver.calls[key].server.name == name]


def refuse(driver, name, now_ms):
    """Refuse the connections of all calls to a server, of those sent again too."""
    call_ids = calls_to(driver, name)
    while call_ids:
        now_ms += REFUSED_MS
        driver.fail(call_ids[0], now_ms, CallStep.CONNECT, may_have_run=False)
        call_ids = calls_to(driver, name)


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
@pytest.mark.parametrize('broken', ['one-0', 'one-1'])
@pytest.mark.parametrize('other', ['idle', 'busy', 'full'])
def test_refused_connection_is_not_tried_again_before_other_servers(
    path, broken, other
):
    """Guard against requests that give up at one server although another would serve.

    All servers are ejected, as after a pause of this process.
    """
    dispatcher = make_dispatcher()
    fleet = dispatcher.fleet
    sound = fleet.get('one-1' if broken == 'one-0' else 'one-0')
    for server in fleet.serving('one'):
        server.record_unreachable(NOW_MS, 'silent')
    for call_id in range(0 if other == 'idle' else BUSY_CALLS):
        sound.add_call(-1 - call_id, NOW_MS)
    if other == 'full':
        sound.full_until_ms = NOW_MS + FREED_MS
    driver = RequestDriver.start(dispatcher, path, now_ms=NOW_MS)
    refuse(driver, broken, NOW_MS)
    assert getattr(driver.reply, 'outcome', None) is not Outcome.REFUSED
    if other == 'full':
        driver.tick(NOW_MS + FREED_MS)
        refuse(driver, broken, NOW_MS + FREED_MS)
    (call_id,) = driver.open_ids
    assert driver.calls[call_id].server is sound
    driver.answer(call_id, NOW_MS + 2 * FREED_MS, good(b'body'))
    assert driver.reply.answer.body == b'body'
