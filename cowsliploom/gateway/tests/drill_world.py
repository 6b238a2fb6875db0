"""One store, its writers and several gateways, on a clock that skips idle time."""

import asyncio
import random
import re
import selectors
from dataclasses import dataclass, field
from urllib.parse import urlsplit

import msgspec

from cowsliploom import platform
from cowsliploom.dataplane import HttpAnswer
from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_wire import Fact, decode_message, encode_message
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._store_watch import StoreWatch
from cowsliploom.gateway._version_moves import VersionMoves
from cowsliploom.gateway.tests.test_store_view import (
    RecordingLog,
    configuration,
    server,
)
from cowsliploom.members import Member, MembershipTable
from cowsliploom.rollout import DefectKind, Veto, veto_fact
from cowsliploom.standins import FakePlatformStore

GATEWAYS = 4
APPLY_MS = 3000
HEARTBEAT_S = 1.2
TICK_S = 0.1
MOVED, TO_VERSION = 's', 'v2'
MOVE_S = 12
LOST_SHARE = 0.04  # of the calls and messages, in troubled times
SERVERS = ('i-a', 'i-b', 'i-new-a', 'i-new-b')


class SkippingSelector(selectors.DefaultSelector):
    """Advance a clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        """Return what is ready, and skip the time until the next timer."""
        assert timeout is not None, 'all tasks wait for each other'
        self.now_s += max(0, timeout)
        return super().select(0)


class SkippingLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of its selector."""

    def __init__(self):
        self.clock = SkippingSelector()
        super().__init__(self.clock)

    def time(self):
        """Return the time of the selector."""
        return self.clock.now_s


def run_skipping(script):
    """Run a coroutine on a loop that skips idle time."""
    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        return runner.run(script)


@dataclass
class Request:
    """Request of a client that keeps its answer."""

    target: str
    body: bytes
    done: asyncio.Future[HttpAnswer] = field(default_factory=asyncio.Future)

    def answer(self, status, headers, body):
        """Keep the answer."""
        if not self.done.done():
            self.done.set_result(HttpAnswer(status, headers, body))


class StorePool:
    """Stand in for the connections of one gateway to the store."""

    def __init__(self, world, gateway):
        self.world = world
        self.gateway = gateway

    async def ask(self, content, timeout_ms):
        """Return the answer of the store, or None after the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._ask(content)
        except TimeoutError:
            return None

    async def _ask(self, content):
        head, _, body = content.partition(b'\r\n\r\n')
        target = head.decode().split(' ')[1]
        target = re.sub('waitMs=[0-9]+', 'waitMs=0', target)
        request = Request(target, body)
        await self.gateway.awake.wait()
        if 'kv-watch' in target:
            await self._wait_for_event(target)
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
        if self.gateway.is_cut or self.world.is_lost():
            if 'kv-txn' in target and self.world.random.choice((True, False)):
                self.world.execute_late(request)
            return await asyncio.Future()
        while self.world.is_down:
            await asyncio.sleep(0.05)
        self.world.store._dispatch(request)
        answer = await request.done
        await self.gateway.awake.wait()
        if self.gateway.is_cut or self.world.is_lost():
            return await asyncio.Future()
        return answer

    async def _wait_for_event(self, target):
        after = int(re.search('after=([0-9]+)', urlsplit(target).query)[1])
        for _ in range(14):
            if self.world.store.revision != after:
                break
            await asyncio.sleep(0.05)


class Gateway:
    """The modules of one gateway that know the store, and their tasks."""

    def __init__(self, world, number, start=0):
        self.world = world
        self.awake = asyncio.Event()
        self.awake.set()
        self.is_cut = False
        self.log = RecordingLog()
        dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'a', bool)
        self.view = StoreView(dispatcher, self.log, APPLY_MS)
        self.member = Member(f'vm-{number}', f'10.0.0.{number}:1', 'ab'[number % 2])
        known = MembershipTable(self.member, ('10.0.0.0:1', '10.0.0.1:1'), number)
        self.peers = Peers(known, self.view, self.log, Metrics(), self.now_ms, APPLY_MS)
        self.peers._calls.call = self.call
        self.store = platform.PlatformStore('store:1')
        self.store._pool = StorePool(world, self)
        self.watch = StoreWatch(self.store, self.view, self.log, self.peers, number)
        self.moves = None
        self.versions = []
        self.revisions = []
        runs = (self.peers.run, self.watch.run, self.tick)
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(run()) for run in runs]

    def now_ms(self):
        """Return the time of the skipping clock."""
        return asyncio.get_running_loop().time() * 1000

    @property
    def split(self):
        """Split of the moved service, or None."""
        splits = self.view.dispatcher.fleet._splits
        return splits._splits.get(MOVED)

    async def tick(self):
        """Run the periodic steps of the daemon."""
        while True:
            await asyncio.sleep(TICK_S)
            await self.awake.wait()
            self.watch.pauses.tick()
            self.view.expire_held_servers(self.now_ms())
            if self.moves is None and self.view.orders:
                self.moves = VersionMoves(self.view, self.peers, self.store, self.log)
            if self.moves is not None:
                self.moves.tick()
            self.versions.append(self.view.dispatcher.table.version)
            self.revisions.append(self.view.mirror.revision)

    async def call(self, address, message):
        """Send a message to another gateway, which may be lost on either way."""
        await self.awake.wait()
        other = self.world.reached(self, address)
        await asyncio.sleep(0.002)
        if other is None or not other.awake.is_set() or self.world.is_lost():
            await asyncio.sleep(0.4)
            return None
        request = Request('/', encode_message(message))
        other.peers._handle_request(request)
        answer = await request.done
        await self.awake.wait()
        return None if self.world.is_lost() else decode_message(answer.body)

    def raise_veto(self):
        """Find the new version bad."""
        fact = veto_fact(Veto(MOVED, MOVED, TO_VERSION, 0, DefectKind.ERRORS, 'seen'))
        wire = Fact(fact.key, fact.generation, fact.blob)
        self.peers.broadcast_fact(wire)
        self.moves._receive_fact(wire)

    def stop(self):
        """Kill the process."""
        for task in self.tasks:
            task.cancel()


class DrillWorld:
    """The store, its other writers, the gateways, and what happens to them.

    Parameters
    ----------
    seed : int
        Seed of all that is drawn.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = FakePlatformStore()
        self.is_down = False
        self.is_troubled = False
        self.version = 0
        self.declared = {}
        self.sequences = dict.fromkeys(SERVERS, 0)
        self.copies = []
        self.statuses = []
        self.configure()
        for name in SERVERS:
            self.report(name)
        self.gateways = [Gateway(self, number) for number in range(GATEWAYS)]
        self._late = set()
        loop = asyncio.get_running_loop()
        runs = (self.report_all, self.keep_copies)
        self.tasks = [loop.create_task(run()) for run in runs]

    # The store's other writers.

    def declare(self, key, content):
        """Let the operator write a key."""
        self.declared[key] = content
        self.store.put(key, content)

    def configure(self):
        """Let the operator write the next version of the configuration."""
        self.version += 1
        self.declare('op/config', configuration(self.version, 0).content)

    def order(self):
        """Let the operator order the move."""
        order = {'service': MOVED, 'targetVersion': TO_VERSION, 'durationS': MOVE_S}
        self.declare(f'op/rollout/{MOVED}', msgspec.json.encode(order))

    def report(self, name):
        """Let a backend server report."""
        self.sequences[name] += 1
        version = TO_VERSION if 'new' in name else 'v1'
        made = server(name, 0, sequence=self.sequences[name], version=version)
        self.store.put(made.key, made.content)

    async def report_all(self):
        """Let all backend servers report until cancelled."""
        while True:
            for name in SERVERS:
                await asyncio.sleep(HEARTBEAT_S / len(SERVERS))
                while self.is_down:
                    await asyncio.sleep(0.05)
                self.report(name)

    async def keep_copies(self):
        """Keep copies of the store, and note the status of the move."""
        while True:
            self.copies.append(self.store.copy())
            status = self.store.get(f'status/rollout/{MOVED}')
            self.statuses.append(msgspec.json.decode(status)['state'] if status else '')
            await asyncio.sleep(0.1)

    # What happens.

    def is_lost(self):
        """Return whether the next call or message is lost."""
        return self.is_troubled and self.random.random() < LOST_SHARE

    def reached(self, sender, address):
        """Return the gateway that a message reaches, or None."""
        other = next(one for one in self.gateways if one.member.address == address)
        return None if sender.is_cut or other.is_cut else other

    def execute_late(self, request):
        """Execute a write whose sender has given up."""

        async def execute():
            await asyncio.sleep(self.random.uniform(0.1, 4))
            self.store._dispatch(request)

        task = asyncio.get_running_loop().create_task(execute())
        self._late.add(task)

    async def drill(self, age_s, down_s, again_s=0.3):
        """Take the store down, and let it come back from an older copy."""
        copy = self.copies[-1 - min(round(age_s * 10), len(self.copies) - 1)]
        self.is_down = True
        await asyncio.sleep(down_s)
        self.store.restore(copy)
        self.copies = self.copies[-1:]
        self.is_down = False
        await asyncio.sleep(again_s)
        for key, content in self.declared.items():
            if self.store.get(key) != content:
                self.store.put(key, content)

    async def freeze(self, number, for_s):
        """Stop a gateway's process for a while."""
        gateway = self.gateways[number]
        gateway.awake.clear()
        await asyncio.sleep(for_s)
        gateway.awake.set()

    async def cut(self, number, for_s):
        """Cut a gateway off from the store and the others."""
        gateway = self.gateways[number]
        gateway.is_cut = True
        await asyncio.sleep(for_s)
        gateway.is_cut = False

    async def kill(self, number, down_s):
        """Kill a gateway and start it anew."""
        killed = self.gateways[number]
        killed.stop()
        killed.is_cut = True
        await asyncio.sleep(down_s)
        self.gateways[number] = Gateway(self, number)

    async def settle(self):
        """Let the reports end, and all that is on its way arrive."""
        for task in self.tasks:
            task.cancel()
        await asyncio.sleep(APPLY_MS / 1000)

    def close(self):
        """Stop all tasks."""
        for task in (*self.tasks, *self._late):
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
