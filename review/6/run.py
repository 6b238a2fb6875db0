"""A controller that was frozen completes a move that the others have vetoed."""

import asyncio
import itertools
import json
import os
import random
import signal
import sys
import time
from collections import Counter, deque
from pathlib import Path

from review.kit2.backend import Backend
from review.kit2.http11 import Message, response
from review.kit2.world import World, ask

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FREEZE_S = 3.5  # for_s of node_freeze in the site file
DURATION_S = 12  # durationS of the order, as in the example of the pages
ROLLBACK_S = 5.0  # rollbackMs
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
STABLE_S = 4.5  # stableWindowMs and a little more
GATEWAYS = {
    'front-a-1': 'a',
    'front-a-2': 'a',
    'front-b-1': 'b',
    'front-b-2': 'b',
    'front-c-1': 'c',
    'front-c-2': 'c',
}
CLIENTS = 5  # of each gateway
LOAD_PER_S = 25.0  # at a backend of the new version, above which it fails
FAILING_SHARE = 0.6
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'book',
            'host': 'h.example',
            'prefix': '/book/',
            'kind': 'unsafe',
            'timeoutMs': 3000,
            'targetLatencyMs': 500,
            'priority': 1,
            'service': 'rota',
            'maxAttempts': 2,
        }
    ],
    'services': [
        {
            'name': 'rota',
            'healthPath': '/health',
            'maxConnections': 110,
            'warmupS': 0,
            'coldPerS': 0,
        }
    ],
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 262144,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
}


class BadUnderLoad(Backend):
    """Backend of a version that fails a part of its requests under load."""

    def __init__(self, name: str, bad_answers: list[float]) -> None:
        super().__init__(name, 'rota', slots=8)
        self.version = 'v2'
        self.bad_answers = bad_answers
        self._recent: deque[float] = deque()
        self._random = random.Random(name)

    async def _answer(self, asked: Message) -> bytes:
        now_s = time.monotonic()
        self._recent.append(now_s)
        while self._recent[0] <= now_s - 1:
            self._recent.popleft()
        is_loaded = len(self._recent) > LOAD_PER_S
        if not (is_loaded and self._random.random() < FAILING_SHARE):
            return await super()._answer(asked)
        request_id = asked.headers.get('request-id', '')
        self.arrivals.append((now_s, request_id))
        self.ran.append(request_id)
        await asyncio.sleep(self.work_s)
        self.bad_answers.append(time.monotonic())
        signature = f'{self.name}.{request_id}'
        headers = {'Request-Id': request_id, 'Response-Signature': signature}
        return response(500, headers, b'failed')


class Case:
    """The world of one run, and what was seen."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, int] = {}
        self.bad_answers: list[float] = []
        self.states: list[tuple[float, str, str, float]] = []
        self.frozen = ''
        self.thawed_s = 0.0
        self.old = [Backend(f'i-old{n}', 'rota', slots=8) for n in range(3)]
        self.new = [BadUnderLoad(f'i-new{n}', self.bad_answers) for n in range(3)]
        self.ordered_s = 0.0
        self.completed_s: float | None = None
        self.is_over = False
        self._share = 0.0
        world.store.on_write = self.record_write

    def record_write(self, caller: str, key: str, content: bytes) -> None:
        """Record a written state; freeze the machine that moves all requests."""
        document = json.loads(content)
        if key.startswith('moves/'):
            self._share = document['share']
        if key == 'status/rollout/rota':
            at_s = time.monotonic() - self.ordered_s
            self.states.append((at_s, caller, document['state'], self._share))
            if TROUBLE and self._share >= 1 and not self.frozen:
                self.frozen = caller
                loop = asyncio.get_running_loop()
                loop.call_later(0.05, lambda: loop.create_task(self.freeze(caller)))

    async def freeze(self, name: str) -> None:
        """Let a machine stand still."""
        process = self.world.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)
        self.thawed_s = time.monotonic()

    async def call(self, name: str, ids) -> None:
        """Post one request after the other at a gateway."""
        while not self.is_over:
            request_id = f'q{next(ids)}'
            self.sent[request_id] = (time.monotonic(), name)
            headers = {'Request-Id': request_id, 'Deadline': '3000'}
            address = self.world.front(name)
            try:
                answer = await ask(address, '/book/1', headers, 'POST', b'van', 4)
                self.answers[request_id] = answer.status if answer else 0
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.answers[request_id] = 0
            await asyncio.sleep(random.uniform(0.05, 0.15))

    async def obey_status(self) -> None:
        """Stop the old backends at once when the status says completed."""
        while not self.is_over:
            status = self.world.store.get('status/rollout/rota')
            if status and status['state'] == 'completed' and self.completed_s is None:
                self.completed_s = time.monotonic()
                for backend in self.old:
                    backend.crash()
                    self.world.store.delete(f'servers/{backend.name}')
            await asyncio.sleep(0.02)

    async def play(self) -> None:
        """Order the move and let clients ask until after its end."""
        world = self.world
        for backend in self.old:
            await backend.start(world.store_host)
            world.store.put(f'servers/{backend.name}', backend.entry())
        world.store.put('op/config', CONFIGURATION)
        for name in GATEWAYS:
            await world.start(name)
        await world.wait_ready(*GATEWAYS)
        await asyncio.sleep(STABLE_S)
        ids = itertools.count(1)
        tasks = [
            asyncio.create_task(self.call(name, ids))
            for name in GATEWAYS
            for _ in range(CLIENTS)
        ]
        tasks.append(asyncio.create_task(self.obey_status()))
        await asyncio.sleep(2)
        self.ordered_s = time.monotonic()
        order = {'service': 'rota', 'targetVersion': 'v2', 'durationS': DURATION_S}
        world.store.put('op/rollout/rota', order)
        for backend in self.new:
            await backend.start(world.store_host)
            world.store.put(f'servers/{backend.name}', backend.entry())
        await asyncio.sleep(DURATION_S + 14)
        self.is_over = True
        await asyncio.gather(*tasks)

    def is_in_touch(self, name: str, at_s: float) -> bool:
        """Return whether a machine ran undisturbed for stableWindowMs."""
        begin_s = self.thawed_s - FREEZE_S
        return name != self.frozen or not begin_s <= at_s <= self.thawed_s + 4

    def late(self) -> int:
        """Count requests to the bad version that were sent too late."""
        if len(self.bad_answers) < 50:
            return 0
        limit_s = sorted(self.bad_answers)[49] + ROLLBACK_S
        return sum(
            self.sent[request_id][0] > limit_s
            and self.is_in_touch(self.sent[request_id][1], self.sent[request_id][0])
            for backend in self.new
            for _, request_id in backend.arrivals
        )

    def exposed(self) -> tuple[int, float]:
        """Return the bad version's requests until the deadline, and the bound."""
        end_s = self.ordered_s + DURATION_S
        counts = [
            sum(
                self.ordered_s <= at_s <= end_s
                and self.is_in_touch(self.sent[request_id][1], at_s)
                for backend in backends
                for at_s, request_id in backend.arrivals
            )
            for backends in (self.new, self.old)
        ]
        return counts[0], EXPOSURE_SHARE * sum(counts) + EXPOSURE_SLACK

    def vetoes(self) -> list[str]:
        """Return what the gateways logged about vetoes, for the record only."""
        found = []
        for name in GATEWAYS:
            for line in self.world.log(name).splitlines():
                if '"event":"vetoed"' in line or '"event":"veto heard"' in line:
                    at_s = json.loads(line)['now_ms'] / 1000 - self.ordered_s
                    what = json.loads(line)['event']
                    found.append(f'{at_s:6.2f} s {name} {what}')
        return sorted(found)

    def record(self) -> list[str]:
        """Return what was seen."""
        steps = [
            f'{at_s:6.2f} s {caller} {state} share {share}'
            for at_s, caller, state, share in self.states
        ]
        bad_s = (sorted(self.bad_answers) + [None] * 50)[49]
        bad_s = bad_s and round(bad_s - self.ordered_s, 2)
        running = [one for backend in self.old for one in backend.lost_in_crash]
        lost = [one for one in running if self.answers.get(one) != 200]
        return [
            f'disruption: {TROUBLE}; frozen: {self.frozen} for {FREEZE_S} s',
            'states written, in s after the order:',
            *steps,
            'vetoes in the logs, in s after the order (not judged):',
            *self.vetoes(),
            f'answers by status (0: closed): {dict(Counter(self.answers.values()))}',
            f'bad answers: {len(self.bad_answers)}; the 50th at {bad_s} s',
            f'requests to the bad version until the deadline, bound: {self.exposed()}',
            f'requests to the bad version later than rollbackMs: {self.late()}',
            f'run by stopped old backends, and lost: {len(lost)}',
        ]


async def play() -> tuple[bool, list[str]]:
    """Play the case; return whether the rule was broken, and the record."""
    async with World(GATEWAYS) as world:
        case = Case(world)
        await case.play()
        exposed, bound = case.exposed()
        is_broken = case.late() > 0 or exposed > bound
        verdict = 'EXPOSURE broken' if is_broken else 'held'
        return is_broken, [*case.record(), f'verdict: {verdict}']


def main() -> int:
    """Play, write the record, and return the exit code."""
    try:
        is_broken, record = asyncio.run(asyncio.wait_for(play(), 110))
    except Exception as error:
        is_broken, record = None, [f'could not run: {error!r}']
    text = '\n'.join(record) + '\n'
    Path(__file__).with_name('record.txt').write_text(text)
    sys.stdout.write(text)
    return 2 if is_broken is None else int(is_broken)


if __name__ == '__main__':
    sys.exit(main())
