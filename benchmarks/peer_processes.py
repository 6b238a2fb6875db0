"""Memory and processor time of real peer tasks, each in a separate process.

Prints JSON. Run: ``python -m benchmarks.peer_processes``.
"""

import asyncio
import json
import resource
import subprocess
import sys
from typing import Any

from cowsliploom.coordination import Member
from cowsliploom.daemons._peer_task import PeerEvent, PeerTask, PeerTaskSettings

PROCESSES = 8
SPAN_S = 20
KB_PER_MB = 1024
PERCENT = 100


def _ignore_event(event: PeerEvent) -> None:
    """Discard an event."""


def _usage() -> resource.struct_rusage:
    return resource.getrusage(resource.RUSAGE_SELF)


async def _serve(number: int) -> None:
    """Run one task: print its address, read all addresses, print a report."""
    member = Member(f'vm-{number}', '', 'dc', incarnation=1)
    task = PeerTask(PeerTaskSettings(member, '127.0.0.1:0'), _ignore_event)
    baseline_kb = _usage().ru_maxrss
    async with task:
        print(task.address, flush=True)
        line = await asyncio.to_thread(sys.stdin.readline)
        task.set_seeds(
            tuple(
                Member(f'vm-{index}', address, 'dc')
                for index, address in enumerate(json.loads(line))
            )
        )
        await asyncio.sleep(SPAN_S / 2)
        before = _usage()
        await asyncio.sleep(SPAN_S)
        after = _usage()
        known = len(task.fleet())
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    report = {
        'members_known': known,
        'processor_percent': round(spent_s / SPAN_S * PERCENT, 2),
        'memory_mb': round(after.ru_maxrss / KB_PER_MB, 1),
        'memory_before_start_mb': round(baseline_kb / KB_PER_MB, 1),
    }
    print(json.dumps(report), flush=True)


def _start(number: int) -> subprocess.Popen[str]:
    command = [sys.executable, '-m', 'benchmarks.peer_processes', str(number)]
    return subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )


def _read(process: subprocess.Popen[str]) -> str:
    if process.stdout is None:
        raise ValueError('process: got no stdout, expected a pipe')
    return process.stdout.readline().strip()


def _write(process: subprocess.Popen[str], line: str) -> None:
    if process.stdin is None:
        raise ValueError('process: got no stdin, expected a pipe')
    process.stdin.write(f'{line}\n')
    process.stdin.flush()


def measure() -> list[dict[str, Any]]:
    """Start the processes, send them all addresses, and return their reports."""
    processes = [_start(number) for number in range(PROCESSES)]
    addresses = [_read(process) for process in processes]
    for process in processes:
        _write(process, json.dumps(addresses))
    reports = [json.loads(_read(child)) for child in processes]
    for process in processes:
        process.wait()
    return reports


def main() -> None:
    """Run one task if its number is given, otherwise start all processes."""
    if len(sys.argv) > 1:
        asyncio.run(_serve(int(sys.argv[1])))
        return
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
