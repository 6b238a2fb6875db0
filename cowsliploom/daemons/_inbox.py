"""Tasks on a thread of their own that take messages from a bounded inbox."""

import queue
import threading
from collections.abc import Callable
from types import TracebackType
from typing import Generic, TypeVar

from cowsliploom.adapters import ComponentLog

Message = TypeVar('Message')

JOIN_S = 1.0  # a task that hangs on a peer is left to end with the process


class InboxTask(Generic[Message]):
    """Act on messages one after the other, on one thread.

    Parameters
    ----------
    name : str
        Name of the thread, and prefix of its logs.
    act : callable
        Takes one message; owns whatever the task owns.
    inbox_max : int
        Messages that may wait.
    """

    def __init__(
        self, name: str, act: Callable[[Message], None], inbox_max: int
    ) -> None:
        self.name = name
        self.act = act
        self._inbox: queue.Queue[Message | None] = queue.Queue(inbox_max)
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def __enter__(self) -> 'InboxTask[Message]':
        """Start the task."""
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the task after the messages that it has."""
        try:
            self._inbox.put(None, timeout=JOIN_S)
        except queue.Full:
            return
        self._thread.join(JOIN_S)

    def offer(self, message: Message) -> bool:
        """Put a message into the inbox; return whether there was room."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def _run(self) -> None:
        message = self._inbox.get()
        while message is not None:
            self._act(message)
            message = self._inbox.get()

    def _act(self, message: Message) -> None:
        """Act on a message; a bug costs its answer and not the task."""
        try:
            self.act(message)
        except Exception as error:
            ComponentLog(self.name).write('Message not handled.', error=repr(error))
