"""Tasks that run beside the one that starts them."""

import asyncio
from collections.abc import Coroutine


class Background:
    """Own tasks until they have ended; their results are passed over."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[bool | None]] = set()

    def start(self, work: Coroutine[None, None, bool | None]) -> None:
        """Start a task on the running loop."""
        task = asyncio.get_running_loop().create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
