"""Gateways agree with the store after kills, losses and cuts in any order."""

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._expiry_hold import StoreOutage
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._peer_wire import decode_message, encode_message
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway.tests.test_store_view import RecordingLog, server
from cowsliploom.members import Member, MembershipTable, MirrorItem
from cowsliploom.members.tests.test_mirror_histories import StoreHistory

SEEDS = range(10)
GATEWAYS = 5
STEPS = 250
STEP_MS = 60
HEAL_STEPS = 250
APPLY_MS = 3000
LOSS_SHARE = 0.15  # of the messages
CUT_STEPS = 20
KEYS = tuple(f'servers/i-{number}' for number in range(8))
ACTIONS = (
    *('write', 'write', 'remove', 'remove', 'remove'),
    *('exchange', 'exchange', 'exchange', 'watch', 'watch', 'watch'),
    *('kill', 'cut', 'lapse'),
)
STORE = Provenance('store')


def registration(key, revision):
    """Return the registration of a server as stored."""
    made = server(key.rpartition('/')[2], revision, sequence=revision)
    return MirrorItem(key, made.content, revision)


@dataclass
class PeerRequest:
    """Request of a peer that keeps its answer."""

    body: bytes
    target: str = '/'
    answers: list[bytes] = field(default_factory=list)

    def answer(self, status, headers, body):
        """Keep the answer."""
        self.answers.append(body)


class Gateway:
    """Store view and peers of one gateway, without sockets."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        member = Member(f'vm-{number}', f'10.0.0.{number}:1', 'ab'[number % 2])
        dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'a', bool)
        self.view = StoreView(dispatcher, RecordingLog(), APPLY_MS)
        known = MembershipTable(member, ('10.0.0.0:1', '10.0.0.1:1'), number)
        self.peers = Peers(
            known, self.view, RecordingLog(), Metrics(), fleet.now_ms, APPLY_MS
        )
        self.peers._calls.call = self.call
        self.address = member.address
        self.needs_list = True

    async def call(self, address, message):
        """Send a message to another gateway, which may be lost on either way."""
        other = self.fleet.reached(self.address, address)
        if other is None:
            return None
        request = PeerRequest(encode_message(message))
        other.peers._handle_request(request)
        if self.fleet.is_lost():
            return None
        return decode_message(request.answers[0])

    async def exchange(self):
        """Exchange with the next partner."""
        address = self.peers.partner()
        if address is not None:
            await self.peers.exchange(address)
        self.peers._refresh_members()

    def watch(self):
        """Take the changes from the store, if this gateway watches it."""
        if not self.peers.watches_store():
            self.needs_list = True
            return
        if self.fleet.is_lost():
            self.needs_list = True
            return
        known_revision = self.view.mirror.revision
        store = self.fleet.store
        batch = store.listing() if self.needs_list else store.since(known_revision)
        self.needs_list = False
        self.peers.watcher_liveness.store_answered(self.fleet.now_ms())
        if self.view.apply(batch, STORE, self.fleet.now_ms()):
            self.peers.updates.propagate(known_revision)


class Fleet:
    """Gateways, the store, and what happens to them."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = StoreHistory(registration)
        self.time_ms = 0
        self.cut_until_step = {}
        self.step_number = 0
        self.loss_share = LOSS_SHARE
        self.gateways = [Gateway(self, number) for number in range(GATEWAYS)]

    def now_ms(self):
        """Return the time."""
        return self.time_ms

    def is_lost(self):
        """Return whether the next message is lost."""
        return self.random.random() < self.loss_share

    def reached(self, sender, address):
        """Return the gateway that a message reaches, or None."""
        for known in (sender, address):
            if self.cut_until_step.get(known, 0) > self.step_number:
                return None
        if self.is_lost():
            return None
        return next(one for one in self.gateways if one.address == address)

    async def step(self, actions):
        """Let one thing happen."""
        self.step_number += 1
        self.time_ms += STEP_MS
        number = self.random.randrange(GATEWAYS)
        gateway = self.gateways[number]
        match self.random.choice(actions):
            case 'write':
                self.store.change(self.random.choice(KEYS), removes=False)
            case 'remove':
                self.store.change(self.random.choice(KEYS), removes=True)
            case 'lapse':
                for key in KEYS:
                    self.store.change(key, removes=True)
                outage = StoreOutage(self.time_ms - 1, self.time_ms)
                gateway.view.note_outage(outage, 'store')
            case 'exchange':
                await gateway.exchange()
            case 'watch':
                gateway.watch()
            case 'kill':
                self.gateways[number] = Gateway(self, number)
            case 'cut':
                self.cut_until_step[gateway.address] = self.step_number + CUT_STEPS
        for _ in range(4):
            await asyncio.sleep(0)
        for each in self.gateways:
            each.view.expire_held_servers(self.time_ms)

    def check(self):
        """Compare each mirror with the store at the mirror's revision."""
        for gateway in self.gateways:
            mirror = gateway.view.mirror
            expected = self.store.contents[mirror.revision]
            for key in KEYS:
                held = mirror.get(key)
                if held is not None and held.revision <= mirror.revision:
                    assert held == expected.get(key), f'{key} at {gateway.address}'

    def check_agreement(self):
        """Check that all gateways know and use the registered servers."""
        content = self.store.contents[-1]
        names = {key.rpartition('/')[2] for key in content}
        for gateway in self.gateways:
            held = gateway.view.mirror.items_with_prefix('')
            assert {each.key: each for each in held} == content, gateway.address
            fleet = gateway.view.dispatcher.fleet
            assert {each.name for each in fleet} == names, gateway.address


@pytest.mark.parametrize('seed', SEEDS)
def test_gateways_agree_with_the_store_once_the_faults_end(seed):
    """Guard against a removed server that a calm gateway keeps for good."""

    async def run():
        fleet = Fleet(seed)
        for _ in range(STEPS):
            await fleet.step(ACTIONS)
            fleet.check()
        fleet.loss_share = 0
        fleet.cut_until_step = {}
        for _ in range(HEAL_STEPS):
            await fleet.step(('exchange', 'watch'))
            fleet.check()
        fleet.check_agreement()

    asyncio.run(run())
