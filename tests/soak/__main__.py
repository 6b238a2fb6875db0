"""Run the soak by hand: ``python -m tests.soak --seeds 1-50 --jobs 2``.

Each seed is played in a process of its own. Logs of seeds that broke a promise stay.
"""

import asyncio
import pathlib
import shutil
import sys

import click

from tests.soak.plan import make_plan
from tests.soak.run import Run


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition('-')
    return list(range(int(first), int(last or first) + 1))


async def _play_all(seeds: list[int], jobs: int, seconds: float, logs: str) -> int:
    limit = asyncio.Semaphore(jobs)

    async def play(seed: int) -> int:
        async with limit:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak',
                f'--seeds={seed}',
                f'--seconds={seconds}',
                f'--logs={logs}',
                '--alone',
            )
            return await process.wait()

    codes = await asyncio.gather(*(play(seed) for seed in seeds))
    return sum(code != 0 for code in codes)


def _play_one(seed: int, seconds: float, logs: str) -> int:
    folder = pathlib.Path(logs) / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    seen = asyncio.run(_run(seed, seconds, folder))
    kinds = ', '.join(
        f'{fault.kind} {fault.at_s:.1f}' for fault in make_plan(seed, seconds)
    )
    click.echo(f'seed {seed}: {len(seen)} broken ({kinds})')
    for line in seen[:10]:
        click.echo(f'  {line}')
    if not seen:
        shutil.rmtree(folder)
    return int(bool(seen))


async def _run(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    return await Run(seed, seconds, folder).play()


@click.command()
@click.option('--seeds', default='1-50', help='First and last seed.')
@click.option('--jobs', default=2, help='Seeds at a time.')
@click.option('--seconds', default=12.0, help='Time in which faults begin.')
@click.option('--logs', default='.soak', help='Folder of the logs.')
@click.option('--alone', is_flag=True, help='Play one seed in this process.')
def main(seeds: str, jobs: int, seconds: float, logs: str, alone: bool) -> None:
    """Play seeds and say which promises they broke."""
    wanted = _seeds(seeds)
    if alone:
        sys.exit(_play_one(wanted[0], seconds, logs))
    failed = asyncio.run(_play_all(wanted, jobs, seconds, logs))
    click.echo(f'{len(wanted)} seeds, {failed} broke a promise')
    sys.exit(int(failed > 0))


if __name__ == '__main__':
    main()
