"""Background tasks of the daemon."""

import asyncio
from collections.abc import Callable, Coroutine

from cowsliploom.gateway._line_log import LineLog

RESTART_DELAY_MS = 500.0  # keeps a task that fails immediately from flooding the log
MS_PER_S = 1000


class BackgroundTasks:
    """Hold references to running tasks until they end; results are discarded."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[bool | None]] = set()

    def start(self, work: Coroutine[None, None, bool | None]) -> None:
        """Schedule a coroutine as a task on the running loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)


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
