"""Run the soak by hand: ``python -m tests.soak --seeds 1-50 --jobs 2``.

Each seed runs in its own process. Logs of seeds with violations are kept.
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


async def _run_all(seeds: list[int], jobs: int, seconds: float, logs: str) -> int:
    limit = asyncio.Semaphore(jobs)

    async def run(seed: int) -> int:
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

    codes = await asyncio.gather(*(run(seed) for seed in seeds))
    return sum(code != 0 for code in codes)


def _run_one(seed: int, seconds: float, logs: str) -> int:
    folder = pathlib.Path(logs) / f'seed-{seed}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    violations = asyncio.run(_run(seed, seconds, folder))
    kinds = ', '.join(
        f'{fault.kind} {fault.start_s:.1f}' for fault in make_plan(seed, seconds)
    )
    click.echo(f'seed {seed}: {len(violations)} violations ({kinds})')
    for line in violations[:10]:
        click.echo(f'  {line}')
    if not violations:
        shutil.rmtree(folder)
    return int(bool(violations))


async def _run(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    return await Run(seed, seconds, folder).run()


@click.command()
@click.option('--seeds', default='1-50', help='First and last seed.')
@click.option('--jobs', default=2, help='Number of seeds run in parallel.')
@click.option('--seconds', default=12.0, help='Time span in which faults start.')
@click.option('--logs', default='.soak', help='Folder of the logs.')
@click.option('--alone', is_flag=True, help='Run one seed in this process.')
def main(seeds: str, jobs: int, seconds: float, logs: str, alone: bool) -> None:
    """Run seeds and print the invariants they violate."""
    selected = _seeds(seeds)
    if alone:
        sys.exit(_run_one(selected[0], seconds, logs))
    failed = asyncio.run(_run_all(selected, jobs, seconds, logs))
    click.echo(f'{len(selected)} seeds, {failed} violated an invariant')
    sys.exit(int(failed > 0))


if __name__ == '__main__':
    main()
