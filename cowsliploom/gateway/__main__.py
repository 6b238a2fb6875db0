"""Start the entry daemon with the settings file named by the environment."""

import gc
import os
import sys
from pathlib import Path

import uvloop

from cowsliploom.gateway import EntryDaemon
from cowsliploom.platform import SETTINGS_VARIABLE, SettingsError

EXIT_SETTINGS = 2


# Requests leave few reference cycles behind, so a rare collection of these is short.
# gc.freeze() excludes the imported objects: collecting them delays every open request.
GC_THRESHOLD_OBJECTS = 20_000


async def _serve(path: Path) -> None:
    await EntryDaemon(path).run()


def main() -> int:
    """Run the daemon until it is signalled to stop; return the exit code."""
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)
    path = os.environ.get(SETTINGS_VARIABLE, '')
    try:
        uvloop.run(_serve(Path(path)))
    except (SettingsError, OSError) as error:
        sys.stderr.write(f'cowsliploom-gateway: {SETTINGS_VARIABLE}={path}: {error}\n')
        return EXIT_SETTINGS
    return 0


if __name__ == '__main__':
    sys.exit(main())
