"""A relay refuses shares that it has no room for, and says that they did not run."""

import asyncio

import pytest

from cowsliploom.dataplane import Admission, RoomLimits
from cowsliploom.forwarding.tests.dispatcher_harness import SHARDS, make_dispatcher
from cowsliploom.gateway._calls import ServerPools
from cowsliploom.gateway._relay_wire import (
    ShareDispatched,
    ShareReport,
    ShareRequest,
    decode_frame,
    encode_frame,
)
from cowsliploom.gateway._relays import Relays
from cowsliploom.gateway.tests.test_store_view import RecordingLog

HEAD = 'GET /wide/x HTTP/1.1'


class FakeConnection:
    """Connection to a requester that records the frames it is sent."""

    def __init__(self):
        self.frames = []

    def send(self, content):
        """Record a frame."""
        self.frames.append(decode_frame(content))


def answers_to(limits, shares):
    """Return the frames that answer so many shares, and the calls that were sent."""

    async def run():
        pools = ServerPools(make_dispatcher(), Admission(limits))
        calls = []
        pools.send = lambda server, call: calls.append(call)
        relays = Relays(pools, '127.0.0.1:0', RecordingLog())
        connection = FakeConnection()
        for share_id in range(shares):
            request = ShareRequest(
                share_id, 'r', 'wide', HEAD, b'', SHARDS, 3, 60_000, 60_000
            )
            relays.listener._on_frame(connection, encode_frame(request))
        return connection.frames, calls

    return asyncio.run(run())


@pytest.mark.parametrize(
    ('limits', 'admitted'),
    [
        (RoomLimits(), 5),
        (RoomLimits(bytes_max=120_000), 2),
        (RoomLimits(descriptors_max=75), 3),
        (RoomLimits(descriptors_max=10), 0),
    ],
)
def test_shares_without_room_are_reported_as_not_run(limits, admitted):
    frames, calls = answers_to(limits, shares=5)
    dispatched = [frame for frame in frames if isinstance(frame, ShareDispatched)]
    refused = [frame.report for frame in frames if isinstance(frame, ShareReport)]
    assert (len(dispatched), len(refused)) == (admitted, 5 - admitted)
    assert bool(calls) is bool(admitted)
    for report in refused:
        assert [part.shard for part in report.parts] == list(SHARDS)
        assert not any(part.may_have_run or part.signature for part in report.parts)
