"""Tasks that handle messages from a bounded inbox on their own thread."""

import queue
import threading
from collections.abc import Callable
from types import TracebackType
from typing import Generic, TypeVar

from cowsliploom.adapters import ComponentLog

Message = TypeVar('Message')

JOIN_TIMEOUT_S = 1.0  # a task blocked on a peer ends with the process instead


class InboxTask(Generic[Message]):
    """Handle messages one at a time, on one thread.

    Parameters
    ----------
    name : str
        Name of the thread, and the part that its log lines name.
    handle : callable
        Handles one message; owns the state of the task.
    inbox_max : int
        Largest number of queued messages.
    """

    def __init__(
        self, name: str, handle: Callable[[Message], None], inbox_max: int
    ) -> None:
        self.name = name
        self.handle = handle
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
        """Stop the task after the messages that are queued."""
        try:
            self._inbox.put(None, timeout=JOIN_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(JOIN_TIMEOUT_S)

    def offer(self, message: Message) -> bool:
        """Queue a message without waiting; return whether there was room."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            return False
        return True

    def _run(self) -> None:
        message = self._inbox.get()
        while message is not None:
            self._handle(message)
            message = self._inbox.get()

    def _handle(self, message: Message) -> None:
        """Handle a message; an exception is logged and does not stop the task."""
        try:
            self.handle(message)
        except Exception as error:
            ComponentLog(self.name).write(
                'Handling a message failed.', error=repr(error)
            )
