"""Start daemons as separate processes on loopback, and stop them by process id."""

import contextlib
import json
import os
import queue
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from types import TracebackType
from typing import IO, Any

from tests.processes.builds import select_build

READY_TIMEOUT_S = 20  # interpreter start on a busy machine takes about a second
STOP_TIMEOUT_S = 15
POLL_S = 0.02


class WaitTimeoutError(AssertionError):
    """Report a condition that did not come true in time."""


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s: float = READY_TIMEOUT_S
) -> Any:
    """Poll a condition until it is true and return its value."""
    give_up = time.monotonic() + timeout_s
    while time.monotonic() < give_up:
        seen = condition()
        if seen:
            return seen
        time.sleep(POLL_S)
    raise WaitTimeoutError(f'{what} did not happen within {timeout_s} s')


def _read_lines(stream: IO[str], lines: 'queue.SimpleQueue[str]') -> None:
    for line in stream:
        lines.put(line)


@dataclass
class Daemon:
    """One process; ``ready`` is the line that it prints once it listens."""

    name: str
    process: 'subprocess.Popen[str]'
    ready: dict[str, Any] = field(default_factory=dict)

    @property
    def address(self) -> str:
        """Main address, host:port."""
        return str(self.ready['ready'])

    def send_signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process by SIGKILL."""
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process by SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Resume a frozen process by SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def terminate(self) -> int:
        """Ask the process to drain and return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)


class Fleet:
    """Start daemons and stop all of them on exit."""

    def __init__(self, log_dir: str) -> None:
        self.log_dir = log_dir
        self.daemons: list[Daemon] = []

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for daemon in self.daemons:
            daemon.wake()
            daemon.process.kill()
        for ended in self.daemons:
            with contextlib.suppress(subprocess.TimeoutExpired):
                ended.process.wait(STOP_TIMEOUT_S)
            if ended.process.stdout is not None:
                ended.process.stdout.close()

    def start(self, module: str, name: str, *arguments: str) -> Daemon:
        """Start a program by its module and wait for its ready line."""
        log = os.path.join(self.log_dir, f'{name}.log')
        build = select_build(len(self.daemons))
        with open(log, 'a') as errors:
            process = subprocess.Popen(
                [build.python, '-c', _launcher(module), *arguments],
                cwd=build.folder,
                stdout=subprocess.PIPE,
                stderr=errors,
                text=True,
            )
        daemon = Daemon(name, process)
        self.daemons.append(daemon)
        lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        threading.Thread(
            target=_read_lines, args=(process.stdout, lines), daemon=True
        ).start()
        try:
            daemon.ready = json.loads(lines.get(timeout=READY_TIMEOUT_S))
        except queue.Empty:
            with open(log) as written:
                tail = written.read()[-2000:]
            raise WaitTimeoutError(f'{name} is not ready: {tail}') from None
        return daemon


def _launcher(module: str) -> str:
    return f'from {module} import main; main()'
