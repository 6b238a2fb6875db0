"""Run the tests and deselect only the failures listed in KNOWN-RED.txt."""

import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def read_known_red(text: str) -> tuple[str, ...]:
    """Return the test ids of the entries; each starts with ``test: ``."""
    prefix = 'test: '
    return tuple(
        line[len(prefix) :].strip()
        for line in text.splitlines()
        if line.startswith(prefix)
    )


def main() -> int:
    """Run pytest with the known failures deselected and printed."""
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    known = read_known_red(text)
    for test_id in known:
        print(f'known red, passed over: {test_id}')
    deselect = [f'--deselect={known_id}' for known_id in known]
    command = [sys.executable, '-m', 'pytest', *deselect, *sys.argv[1:]]
    return subprocess.call(command, cwd=ROOT)


if __name__ == '__main__':
    sys.exit(main())
