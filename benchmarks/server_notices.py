"""What reaches servers that leave, or ask for a pause, beside a wave of either."""

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from cowsliploom.standins import NoticeRecorder
from tests.processes.gateway_world import World
from tests.processes.notice_world import apply_load, start

SERVERS = 4
WAVE_S = 6.0
SLACK_S = 0.5  # after a server's word, for calls that were on their way
PAUSES_S = ('0.2', '1', '2.5')


@dataclass(frozen=True, slots=True)
class ServerResult:
    """What one server received.

    Parameters
    ----------
    wave : str
        What the servers of the wave asked for.
    server : str
        Name of the server.
    arrivals : int
        All requests.
    late_after_leaving : int
        Requests over ``SLACK_S`` after their gateway had been told.
    most_in_a_pause : int
        Most requests of a gateway in a pause, without its first ``SLACK_S``.
    """

    wave: str
    server: str
    arrivals: int
    late_after_leaving: int
    most_in_a_pause: int


def leave(server: NoticeRecorder, number: int) -> None:
    """Let a server say that it leaves."""
    server.faults.is_leaving = True


def ask_for_pause(server: NoticeRecorder, number: int) -> None:
    """Let a server reject all requests, and ask for a pause."""
    server.faults.pause_text = PAUSES_S[number % len(PAUSES_S)]
    server.faults.sheds = True


WAVES = {'leaving': leave, 'overload': ask_for_pause}


async def play(
    wave: str, change: Callable[[NoticeRecorder, int], None], folder: Path
) -> list[ServerResult]:
    """Change all servers but one in turn, under load."""
    async with World(folder) as world:
        servers = await start(world, SERVERS)
        loading = asyncio.create_task(apply_load(WAVE_S))
        for number, server in enumerate(servers[1:]):
            await asyncio.sleep(WAVE_S / (SERVERS + 1))
            change(server, number)
        await loading
        return [
            ServerResult(
                wave,
                each.name,
                len(each.arrivals),
                sum(each.late_after_leaving(SLACK_S).values()),
                each.most_in_a_pause(SLACK_S),
            )
            for each in servers
        ]


def main() -> None:
    """Play both waves and print one JSON line for each server."""
    for wave, change in WAVES.items():
        with tempfile.TemporaryDirectory() as folder:
            outcomes = asyncio.run(play(wave, change, Path(folder)))
        for outcome in outcomes:
            print(msgspec.json.encode(outcome).decode())


if __name__ == '__main__':
    main()
