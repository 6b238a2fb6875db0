"""Frames arrive whole and in order, however their bytes are cut."""

import asyncio
import time

import pytest

from cowsliploom.dataplane import FrameConnection, FrameListener, open_frame_connection
from cowsliploom.dataplane._frames import FRAME_BYTES_MAX, LENGTH_BYTES

PIECE_BYTES = 200
BUSY_S_MAX = 1
FRAMES = (b'', b'one', b'x' * 70_000, b'last')


def on_wire(frames):
    """Return frames as bytes."""
    return b''.join(len(one).to_bytes(LENGTH_BYTES) + one for one in frames)


@pytest.mark.parametrize('size', [1, 3, 4, 5, 1000, 1_000_000])
def test_frames_are_put_together_from_pieces(size):
    heard = []
    connection = FrameConnection(lambda _, frame: heard.append(frame), print)
    content = on_wire(FRAMES)
    for start in range(0, len(content), size):
        connection.data_received(content[start : start + size])
    assert tuple(heard) == FRAMES


def test_no_frame_is_handed_on_after_the_connection_was_ended():
    heard = []

    def refuse(connection, frame):
        heard.append(frame)
        connection.abort()

    connection = FrameConnection(refuse, print)
    connection.data_received(on_wire((b'',)) * 60_000)
    connection.data_received(on_wire(FRAMES))
    assert heard == [b'']


def test_a_long_frame_in_small_pieces_keeps_the_loop_free():
    """Each piece copied all that had come before it."""
    heard = []
    connection = FrameConnection(lambda _, frame: heard.append(frame), print)
    content = on_wire((bytes(FRAME_BYTES_MAX),))
    started = time.process_time()
    for start in range(0, len(content), PIECE_BYTES):
        connection.data_received(content[start : start + PIECE_BYTES])
    assert time.process_time() - started < BUSY_S_MAX
    assert [len(frame) for frame in heard] == [FRAME_BYTES_MAX]


def play(script):
    """Run a script with a listener that notes what it hears."""

    async def run():
        heard, lost = asyncio.Queue(), asyncio.Event()
        listener = FrameListener(
            '127.0.0.1:0',
            lambda connection, frame: heard.put_nowait((connection, frame)),
            lambda _connection: lost.set(),
        )
        await listener.start()
        await asyncio.wait_for(script(listener, heard, lost), 5)
        await listener.close()

    asyncio.run(run())


def test_frames_go_both_ways_on_one_connection():
    async def script(listener, heard, _lost):
        back = asyncio.Queue()
        connection = await open_frame_connection(
            listener.address, lambda _, frame: back.put_nowait(frame), print
        )
        for frame in FRAMES:
            connection.send(frame)
            asker, told = await heard.get()
            asker.send(told.upper())
            assert await back.get() == frame.upper()
        connection.abort()

    play(script)


def test_a_frame_that_is_too_long_ends_the_connection():
    async def script(listener, _heard, lost):
        host, port = listener.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((FRAME_BYTES_MAX + 1).to_bytes(LENGTH_BYTES))
        assert await reader.read() == b''
        await lost.wait()
        writer.close()

    play(script)


def test_the_owner_hears_of_a_lost_connection_and_of_nobody_there():
    async def script(listener, heard, _lost):
        gone = asyncio.Event()
        connection = await open_frame_connection(
            listener.address, print, lambda _: gone.set()
        )
        connection.send(b'hello')
        asker, _ = await heard.get()
        asker.abort()
        await gone.wait()
        assert not connection.is_open
        connection.send(b'into the void')
        await listener.close()
        with pytest.raises(OSError):
            await open_frame_connection(listener.address, print, print)

    play(script)
