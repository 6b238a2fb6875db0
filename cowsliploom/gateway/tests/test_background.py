"""Errors that end tasks and callbacks in the background are logged."""

import asyncio

import pytest

from cowsliploom.gateway._background import BackgroundTasks, LoopErrors
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway.tests.test_store_view import RecordingLog


async def fail():
    """End by an error."""
    raise KeyError('made by the test')


def run(work):
    """Run a function on a loop whose errors are logged; return the log lines."""
    log = RecordingLog()

    async def script():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(LoopErrors(log, Metrics()).handle)
        work(loop)
        await asyncio.sleep(0.01)

    asyncio.run(script())
    return log.lines


def test_error_of_a_background_task_is_logged():
    """Guard against a step that is never tried again, as nobody reads the error."""
    ((part, event, fields),) = run(lambda loop: BackgroundTasks().start(fail()))
    assert (part, event) == ('daemon', 'task failed')
    assert fields == {'task': 'fail failed', 'reason': "KeyError('made by the test')"}


def test_error_of_a_callback_is_logged():
    ((_, event, fields),) = run(lambda loop: loop.call_soon(int, 'x'))
    assert event == 'task failed'
    assert 'ValueError' in fields['reason']


@pytest.mark.parametrize('is_cancelled', [False, True])
def test_task_that_ends_without_an_error_is_not_logged(is_cancelled):
    def start(loop):
        tasks = BackgroundTasks()
        tasks.start(asyncio.sleep(0))
        if is_cancelled:
            for task in tasks._running:
                task.cancel()

    assert not run(start)
