"""Memory and descriptors of a process, sampled while a test runs."""

import os
import threading
from pathlib import Path

MB = 1_000_000
SAMPLE_S = 0.002


def peak_mb(process):
    """Return the highest resident memory of a process so far."""
    for line in Path(f'/proc/{process.pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024 / MB
    raise AssertionError('the process has ended')


def open_files(process):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{process.pid}/fd'))


class DescriptorSampler(threading.Thread):
    """Sample the open descriptors of a process until it is left.

    Parameters
    ----------
    process : asyncio.subprocess.Process
        Process to sample.

    Attributes
    ----------
    peak : int
        Most open descriptors of any sample.
    """

    def __init__(self, process):
        super().__init__(daemon=True)
        self.peak = 0
        self._process = process
        self._is_over = threading.Event()

    def __enter__(self):
        """Start to sample."""
        self.start()
        return self

    def __exit__(self, *_exc):
        """Stop sampling."""
        self._is_over.set()
        self.join()

    def run(self):
        """Sample until the process or the test has ended."""
        while not self._is_over.wait(SAMPLE_S):
            try:
                self.peak = max(self.peak, open_files(self._process))
            except FileNotFoundError:
                return
