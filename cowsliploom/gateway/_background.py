"""Tasks that run beside the one that starts them."""

import asyncio
from collections.abc import Callable, Coroutine

from cowsliploom.gateway._line_log import LineLog

RESTART_MS = 500.0  # a task that fails at once again doesn't fill the log
MS_PER_S = 1000


class BackgroundTasks:
    """Own tasks until they have ended; their results are passed over."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[bool | None]] = set()

    def start(self, work: Coroutine[None, None, bool | None]) -> None:
        """Start a task on the running loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)


async def keep_running(
    work: Callable[[], Coroutine[None, None, None]], log: LineLog
) -> None:
    """Run work that has no end; after an error tell it and begin again.

    Parameters
    ----------
    work : callable
        Makes the work anew; what it has learnt stands outside of it.
    log : LineLog
        Log of errors.
    """
    while True:
        try:
            await work()
        except Exception as error:
            log.write(
                'daemon', 'task failed', task=work.__qualname__, reason=repr(error)
            )
        await asyncio.sleep(RESTART_MS / MS_PER_S)
