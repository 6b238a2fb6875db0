"""A veto that any VM has recorded outranks the steps that were decided without it."""

import asyncio

import msgspec
import pytest

from cowsliploom import platform
from cowsliploom.forwarding import BudgetRules, RequestDispatcher
from cowsliploom.gateway._active_order import ActiveOrder
from cowsliploom.gateway._metrics import Metrics
from cowsliploom.gateway._move_states import MoveStates
from cowsliploom.gateway._peer_wire import Fact
from cowsliploom.gateway._peers import Peers
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._stored_vetoes import StoredVetoes
from cowsliploom.gateway._version_moves import VersionMoves
from cowsliploom.gateway.tests.test_move_tracker import chosen, order
from cowsliploom.gateway.tests.test_store_view import STORE, RecordingLog, server
from cowsliploom.gateway.tests.test_update_propagation import ManualClock
from cowsliploom.members import (
    Batch,
    LivenessRecord,
    Member,
    MembershipTable,
    MirrorItem,
    StoreMirror,
    store_revision,
)
from cowsliploom.ports import Conflict, Swapped
from cowsliploom.rollout import (
    DefectKind,
    MoveState,
    MoveStatus,
    SwapState,
    Veto,
    veto_fact,
)

APPLY_MS = 3000
VETO = Veto('s', 's', 'v2', 0, DefectKind.ERRORS, 'seen')
FINISHED = MoveState(0, 'v2', MoveStatus.FINISHED, 9, 1, 0, 9000, 0)


class ConditionalStore:
    """A store in memory that obeys conditions on revisions."""

    def __init__(self, mirror):
        self.mirror = mirror
        self.revision = 20
        self.items = {}

    async def write(self, expected, writes, timeout_ms):
        """Write all keys if each expected one is at its revision."""
        for each in expected:
            item = self.items.get(each.key, MirrorItem(each.key, b'', 0))
            if item.revision != each.revision:
                return platform.ChangedMeanwhile()
        self.revision += 1
        for write in writes:
            item = MirrorItem(write.key, write.content, self.revision)
            self.items[write.key] = item
        return platform.Written(self.revision)

    async def read(self, key, timeout_ms):
        """Return the item of a key."""
        return self.items.get(key)

    def tell(self, mirror):
        """Let a mirror learn the contents."""
        mirror.apply(Batch(self.revision, tuple(self.items.values())))


async def settled():
    """Let the tasks in the background end."""
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.parametrize('knows_veto', [True, False])
def test_step_that_was_decided_without_a_stored_veto_is_refused(knows_veto):
    async def scenario():
        store = ConditionalStore(StoreMirror())
        others = StoredVetoes(store, StoreMirror(), RecordingLog())
        others.record(VETO, now_ms=0)
        await settled()
        mirror = StoreMirror()
        vetoes = StoredVetoes(store, mirror, RecordingLog())
        if knows_veto:
            store.tell(mirror)
            assert vetoes.read('s') == VETO
        active = ActiveOrder(
            platform.decode_move_order('op/rollout/s', order(5).content, 5), 0
        )
        states = MoveStates(store, mirror, RecordingLog())
        text = msgspec.json.encode(FINISHED).decode()
        answer = await states.write(
            SwapState('s', text, 0), active, vetoes.expected('s')
        )
        assert isinstance(answer, Swapped if knows_veto else Conflict)

    asyncio.run(scenario())


def test_veto_is_written_once_by_those_that_know_it():
    async def scenario():
        store = ConditionalStore(StoreMirror())
        writers = [StoredVetoes(store, StoreMirror(), RecordingLog()) for _ in range(3)]
        for now_ms in (0, 100, 1500):
            for writer in writers:
                writer.record(VETO, now_ms)
            await settled()
        assert store.revision == 21

    asyncio.run(scenario())


def make_moves(clock, log):
    """Return the version moves of a VM, and its view of the store."""
    dispatcher = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', bool)
    store_view = StoreView(dispatcher, log, APPLY_MS)
    servers = (server('old', 5, version='v1'), server('new', 6, version='v2'))
    store_view.apply(Batch(7, (*servers, order(7))), STORE, 0)
    known = MembershipTable(Member('a', 'a:1', 'de'), (), 1)
    peers = Peers(known, store_view, log, Metrics(), clock.read, APPLY_MS)
    store = ConditionalStore(store_view.mirror)
    return VersionMoves(store_view, peers, store, log), store_view, store


def finish(store_view):
    """Let the store report the move as finished."""
    item = MirrorItem('moves/s', msgspec.json.encode(FINISHED), 8)
    store_view.apply(Batch(8, (item,), since=7), STORE, 0)


def hear(moves):
    """Let a VM hear the veto from a peer."""
    fact = veto_fact(VETO)
    moves._receive_fact(Fact(fact.key, fact.generation, fact.blob))


@pytest.mark.parametrize('is_heard_first', [True, False])
def test_veto_outranks_a_finish_that_was_written_without_it(is_heard_first):
    """A version that all others had vetoed received all requests for good."""

    async def scenario():
        clock, log = ManualClock(), RecordingLog()
        moves, store_view, store = make_moves(clock, log)
        moves.tick()
        for hears_veto in (is_heard_first, not is_heard_first):
            hear(moves) if hears_veto else finish(store_view)
            moves.tick()
            await settled()
        for _ in range(20):
            clock.now_ms += 100
            moves.tick()
            await settled()
        assert chosen(store_view) == {'v1'}
        assert 'vetoes/s' in store.items

    asyncio.run(scenario())


def raise_veto(moves):
    """Let a VM find the version bad."""
    moves._rollout.handle_fact(0, *_as_parts(veto_fact(VETO)))
    moves._perform((veto_fact(VETO),))


def _as_parts(fact):
    return fact.key, fact.generation, fact.blob


def test_veto_is_written_again_by_the_vm_that_raised_it_if_no_judge_does():
    """A lost write left the veto out of the store while the judges were frozen."""

    async def scenario():
        clock, log = ManualClock(), RecordingLog()
        moves, store_view, store = make_moves(clock, log)
        moves.tick()
        others = [Member(name, f'{name}:1', 'de') for name in ('b', 'c', 'd', 'e')]
        known = moves._peers.known
        while moves._role.is_judge():
            known.record((LivenessRecord(others.pop(), 0),), clock.now_ms)
        write = store.write
        store.write = unanswered
        raise_veto(moves)
        await settled()
        store.write = write
        for _ in range(12):
            clock.now_ms += 100
            moves.tick()
            await settled()
        assert not moves._role.is_judge()
        assert 'vetoes/s' in store.items

    asyncio.run(scenario())


async def unanswered(expected, writes, timeout_ms):
    """Stand in for a write whose answer is lost before it was done."""
    return platform.StoreUnanswered('store.write', 'store', 'no answer in time')


@pytest.mark.parametrize('era', [0, 1])
def test_condition_on_a_veto_falls_if_a_restored_store_lacks_it(era):
    """Guard against a move that stands still, as no step meets the condition."""
    mirror = StoreMirror()
    vetoes = StoredVetoes(None, mirror, RecordingLog())
    stored = MirrorItem('vetoes/s', msgspec.json.encode(VETO), 9)
    mirror.apply(Batch(9, (stored,), is_whole=True))
    assert vetoes.read('s') == VETO
    if era:
        mirror.apply(Batch(store_revision(era, 5), is_whole=True))
    assert vetoes.read('s') is None
    expected = platform.KeyRevision('vetoes/s', 0 if era else 9)
    assert vetoes.expected('s') == expected
