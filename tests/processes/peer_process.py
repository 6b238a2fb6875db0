"""A process that runs one peer task and logs each action it takes as owner.

Arguments: name, directory. Addresses are read from files in the directory, which
replace the platform's list; actions are appended to ``<name>.acts``.
"""

import asyncio
import json
import pathlib
import sys

from cowsliploom.adapters import SystemClock
from cowsliploom.coordination import Member, MembershipSettings, WatchedServer
from cowsliploom.daemons import PeerTask, PeerTaskSettings

SETTINGS = MembershipSettings(
    probe_interval_ms=100,
    suspicion_ms=1000,
    quiet_ms=1000,
    dissemination_ms=1000,
    request_max_ms=300,
)
SERVERS = tuple(WatchedServer(f'server-{number}', 'de') for number in range(6))
ACT_INTERVAL_S = 0.01
LIST_INTERVAL_S = 0.2


def _listed(directory: pathlib.Path) -> tuple[Member, ...]:
    return tuple(
        Member(file.stem, file.read_text(), 'de')
        for file in directory.glob('*.address')
        if file.read_text()
    )


async def _keep_listing(task: PeerTask, directory: pathlib.Path) -> None:
    while True:
        task.set_seeds(_listed(directory))
        await asyncio.sleep(LIST_INTERVAL_S)


async def _act(task: PeerTask, acts: pathlib.Path) -> None:
    """Check ownership, then log the time of the action, as a sender would."""
    clock = SystemClock()
    with acts.open('a') as log:
        while True:
            for watched in SERVERS:
                if task.owns(watched.server):
                    log.write(f'{watched.server} {clock.now_ms()}\n')
            log.flush()
            await asyncio.sleep(ACT_INTERVAL_S)


async def _run(name: str, directory: pathlib.Path) -> None:
    incarnation = int(SystemClock().wall_ms())
    member = Member(name, '', 'de', incarnation)
    settings = PeerTaskSettings(member, '127.0.0.1:0', SETTINGS)
    async with PeerTask(settings, lambda event: None) as task:
        task.watch_servers(SERVERS)
        (directory / f'{name}.address').write_text(task.address)
        print(json.dumps({'ready': task.address}), flush=True)
        await asyncio.gather(
            _keep_listing(task, directory), _act(task, directory / f'{name}.acts')
        )


def main() -> None:
    """Run until killed."""
    asyncio.run(_run(sys.argv[1], pathlib.Path(sys.argv[2])))
