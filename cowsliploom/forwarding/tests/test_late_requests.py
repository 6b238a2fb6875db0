"""A request that is handled some time after it has arrived."""

import pytest

from cowsliploom.forwarding.tests.dispatcher_harness import (
    RequestDriver,
    make_dispatcher,
    request,
)

NOW_MS = 1000


@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/wide/x'])
@pytest.mark.parametrize('waited_ms', [0, 90, 150, 900])
def test_request_that_is_handled_late_is_sent_while_servers_have_room(path, waited_ms):
    """Guard against a refusal for lack of capacity of requests that were never tried.

    They waited behind others of their connection, or while this process was paused.
    """
    dispatcher = make_dispatcher()
    driver = RequestDriver(dispatcher.open(request(path, now_ms=NOW_MS)))
    driver.collect(driver.exchange.start(NOW_MS + waited_ms))
    assert driver.reply is None
    assert driver.open_ids
