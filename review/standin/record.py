"""Record of what was sent, answered and run."""

import json
import time
from pathlib import Path


class Record:
    """Lines of JSON in a file, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._file = path.open('w')

    def write(self, event: str, **fields) -> None:
        """Write one line."""
        at_s = round(time.monotonic() - self._start, 4)
        line = json.dumps({'at_s': at_s, 'event': event, **fields})
        self._file.write(f'{line}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()
