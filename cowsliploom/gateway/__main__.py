"""Start the entry daemon with the settings file that the environment names."""

import gc
import os
import sys
from pathlib import Path

import uvloop

from cowsliploom.gateway import EntryDaemon
from cowsliploom.platform import SETTINGS_VARIABLE, SettingsError

EXIT_SETTINGS = 2


# Requests leave few cycles behind. A collection now and then over what they left is
# short; one over all that was imported would hold up every open request.
COLLECT_AFTER_OBJECTS = 20_000


async def _serve(path: Path) -> None:
    await EntryDaemon(path).run()


def main() -> int:
    """Serve until told to stop; return the exit code."""
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        uvloop.run(_serve(Path(path)))
    except (SettingsError, OSError) as error:
        sys.stderr.write(f'cowsliploom-gateway: {SETTINGS_VARIABLE}={path}: {error}\n')
        return EXIT_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
