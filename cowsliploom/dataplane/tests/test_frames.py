"""Frames arrive complete and in order, however their bytes are split."""

import asyncio
import time

import pytest

from cowsliploom.dataplane import FrameConnection, FrameListener, open_frame_connection
from cowsliploom.dataplane._frames import FRAME_BYTES_MAX, LENGTH_BYTES

CHUNK_BYTES = 200
BUSY_S_MAX = 1
FRAMES = (b'', b'one', b'x' * 70_000, b'last')


def encode_frames(frames):
    """Return the frames as sent."""
    return b''.join(len(one).to_bytes(LENGTH_BYTES) + one for one in frames)


@pytest.mark.parametrize('size', [1, 3, 4, 5, 1000, 1_000_000])
def test_frames_are_reassembled_from_chunks(size):
    received = []
    connection = FrameConnection(lambda _, frame: received.append(frame), print)
    content = encode_frames(FRAMES)
    for start in range(0, len(content), size):
        connection.receive(content[start : start + size])
    assert tuple(received) == FRAMES


def test_no_frame_is_delivered_after_an_abort():
    received = []

    def abort_on_frame(connection, frame):
        received.append(frame)
        connection.abort()

    connection = FrameConnection(abort_on_frame, print)
    connection.receive(encode_frames((b'',)) * 60_000)
    connection.receive(encode_frames(FRAMES))
    assert received == [b'']


def test_long_frame_in_small_chunks_does_not_block_the_loop():
    """Each chunk copied all bytes received before it."""
    received = []
    connection = FrameConnection(lambda _, frame: received.append(frame), print)
    content = encode_frames((bytes(FRAME_BYTES_MAX),))
    started = time.process_time()
    for start in range(0, len(content), CHUNK_BYTES):
        connection.receive(content[start : start + CHUNK_BYTES])
    assert time.process_time() - started < BUSY_S_MAX
    assert [len(frame) for frame in received] == [FRAME_BYTES_MAX]


def run_with_listener(script):
    """Run a script with a listener that records its frames."""

    async def run():
        received, lost = asyncio.Queue(), asyncio.Event()
        listener = FrameListener(
            '127.0.0.1:0',
            lambda connection, frame: received.put_nowait((connection, frame)),
            lambda _connection: lost.set(),
        )
        await listener.start()
        await asyncio.wait_for(script(listener, received, lost), 5)
        await listener.close()

    asyncio.run(run())


def test_frames_are_sent_in_both_directions_on_one_connection():
    async def script(listener, received, _lost):
        replies = asyncio.Queue()
        connection = await open_frame_connection(
            listener.address, lambda _, frame: replies.put_nowait(frame), print
        )
        for frame in FRAMES:
            connection.send(frame)
            sender, received_frame = await received.get()
            sender.send(received_frame.upper())
            assert await replies.get() == frame.upper()
        connection.abort()

    run_with_listener(script)


def test_frame_above_the_limit_aborts_the_connection():
    async def script(listener, _received, lost):
        host, port = listener.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((FRAME_BYTES_MAX + 1).to_bytes(LENGTH_BYTES))
        assert await reader.read() == b''
        await lost.wait()
        writer.close()

    run_with_listener(script)


def test_owner_is_notified_of_a_lost_connection_and_a_failed_connect():
    async def script(listener, received, _lost):
        connection_lost = asyncio.Event()
        connection = await open_frame_connection(
            listener.address, print, lambda _: connection_lost.set()
        )
        connection.send(b'hello')
        sender, _ = await received.get()
        sender.abort()
        await connection_lost.wait()
        assert not connection.is_open
        connection.send(b'ignored')
        await listener.close()
        with pytest.raises(OSError):
            await open_frame_connection(listener.address, print, print)

    run_with_listener(script)
