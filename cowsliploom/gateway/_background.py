"""Background tasks of the daemon."""

import asyncio
from collections.abc import Callable, Coroutine

from cowsliploom.gateway._line_log import LineLog
from cowsliploom.gateway._metrics import Metrics

RESTART_DELAY_MS = 500.0  # keeps a task that fails immediately from flooding the log
MS_PER_S = 1000


class BackgroundTasks:
    """Hold references to running tasks until they end; results are discarded.

    An error that ends a task goes to the exception handler of the event loop.
    """

    def __init__(self) -> None:
        self._running: set[asyncio.Task[bool | None]] = set()

    def start(self, work: Coroutine[None, None, bool | None]) -> None:
        """Schedule a coroutine as a task on the running loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task[bool | None]) -> None:
        self._running.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            name = getattr(task.get_coro(), '__qualname__', '')
            task.get_loop().call_exception_handler(
                {'message': f'{name} failed', 'exception': error, 'task': task}
            )


class LoopErrors:
    """Log what the event loop catches: errors of tasks and callbacks nobody awaits.

    Parameters
    ----------
    log : LineLog
        Receives a line for each error.
    metrics : Metrics
        Counter of the errors.
    """

    def __init__(self, log: LineLog, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    def handle(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an error; the exception handler of the loop."""
        self._metrics.count('loop_errors')
        error = context.get('exception')
        reason = '' if error is None else repr(error)
        task = str(context.get('message', ''))
        self._log.write('daemon', 'task failed', task=task, reason=reason)


async def keep_running(
    work: Callable[[], Coroutine[None, None, None]], log: LineLog
) -> None:
    """Run a coroutine function in a loop; log its errors and restart it.

    Parameters
    ----------
    work : callable
        Called again for each run. State that must survive a restart is kept outside
        the coroutine.
    log : LineLog
        Receives errors.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log.write(
                'daemon', 'task failed', task=work.__qualname__, reason=repr(error)
            )
        await asyncio.sleep(RESTART_DELAY_MS / MS_PER_S)
