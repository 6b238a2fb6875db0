"""Configuration and facts: everywhere within seconds, whole, never down."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowsliploom.coordination import (
    Dissemination,
    Fact,
    FactAnnounced,
    FetchReply,
    FetchRequest,
    Node,
    chosen_watchers,
)
from cowsliploom.coordination.tests.configuration_store import (
    ConfigurationStore,
    RevisionChecker,
    blob_of,
)
from cowsliploom.coordination.tests.fleet_loop import FleetLoop, start_fleet

BOUND_MS = 8000
PLACES = ('gogledd',) * 3 + ('canolbarth',) * 3 + ('de',) * 2


def served(places=PLACES, seed=1, **options):
    loop = start_fleet(FleetLoop(seed, **options), places)
    store = ConfigurationStore(loop)
    judge = RevisionChecker(loop)
    loop.run(15_000)
    store.write()
    loop.run_until(lambda: judge.in_force(1), BOUND_MS)
    return loop, store, judge


def watchers(loop, data_centre):
    members = [vm.me for vm in loop.running().values()]
    return chosen_watchers(members, data_centre)


def write_until_in_force(loop, store, judge):
    store.write()
    return loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)


@pytest.mark.parametrize('size', [4, 8, 16, 32, 64])
def test_change_is_in_force_everywhere_within_bound(size):
    loop, store, judge = served(('gogledd',) * (size // 2) + ('de',) * (size // 2))
    for _ in range(10):
        assert write_until_in_force(loop, store, judge) <= BOUND_MS
        loop.run(700)
    assert not judge.went_down()
    assert judge.blobs_are_whole()


def calls_a_minute(size, seed=1):
    loop, store, _ = served(('de',) * size, seed)
    loop.run(60_000)
    store.counts.clear()
    for _ in range(8):
        loop.run(30_000)
        store.write()
    return store.counts.total() / 4


def test_calls_on_the_store_stay_nearly_flat():
    counted = {size: calls_a_minute(size) for size in (4, 8, 16, 32)}
    assert counted[32] <= 1.5 * counted[8]
    assert counted[32] <= 30


def test_change_spreads_while_store_is_out_after_one_read():
    loop, store, judge = served()
    chosen = watchers(loop, 'de')
    others = [name for name in loop.vms if name not in chosen]
    for name in others:
        loop.freeze(name)
    store.write()
    loop.run(500)
    store.is_out = True
    for name in others:
        loop.wake(name)
    loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)


def test_new_vm_gets_the_configuration_from_peers_in_an_outage():
    loop, store, judge = served()
    store.is_out = True
    vm = loop.start('vm-9', 'de', seeds=loop.listed())
    store.serve(vm)
    assert loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS) < 3000
    assert judge.revisions('vm-9') == [store.revision]


def test_frozen_watchers_are_replaced_within_bound():
    loop, store, judge = served()
    for name in watchers(loop, 'gogledd'):
        loop.freeze(name)
    assert write_until_in_force(loop, store, judge) <= BOUND_MS


def test_woken_watcher_takes_no_older_configuration_into_force():
    loop, store, judge = served()
    chosen = watchers(loop, 'gogledd')
    for name in chosen:
        loop.freeze(name)
    for _ in range(6):
        store.write()
        loop.run(5000)
    for name in chosen:
        loop.wake(name)
    loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)
    assert not judge.went_down()


def test_cut_data_centre_reads_by_its_own_watchers():
    loop, store, judge = served()
    here = [name for name, vm in loop.vms.items() if vm.me.data_centre == 'de']
    loop.cut(here, [name for name in loop.vms if name not in here])
    for _ in range(5):
        assert write_until_in_force(loop, store, judge) <= BOUND_MS
        loop.run(4000)


def test_data_centre_that_missed_the_change_hears_through_the_others():
    loop, store, judge = served()
    chosen = [*watchers(loop, 'de'), *watchers(loop, 'gogledd')]
    for name in chosen:
        loop.freeze(name)
    loop.run(500)
    store.write()
    loop.run(100)
    store.is_out = True
    for name in chosen:
        loop.wake(name)
    loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)


faults = st.lists(
    st.tuples(
        st.integers(100, 6000),
        st.sampled_from(['write', 'freeze', 'outage', 'slow', 'cut', 'kill']),
        st.integers(0, 7),
        st.integers(500, 15_000),
    ),
    max_size=12,
)


def play_fault(loop, store, fault):
    kind, number, span_ms = fault
    name = f'vm-{number}'
    match kind:
        case 'write':
            if not store.is_out:
                store.write()
        case 'freeze':
            loop.freeze(name)
            loop.at(span_ms, loop.wake, name)
        case 'outage':
            store.is_out = True
            loop.at(span_ms, setattr, store, 'is_out', False)
        case 'slow':
            store.is_slow = True
            loop.at(span_ms, setattr, store, 'is_slow', False)
        case 'cut':
            loop.cut([name], [other for other in loop.vms if other != name])
            loop.at(span_ms, loop.heal)
        case 'kill':
            home = loop.vms[name].me.data_centre
            loop.kill(name)
            store.serve(loop.start(name, home, seeds=loop.listed()))


def play(seed, drawn, **options):
    loop, store, judge = served(seed=seed, **options)
    for wait_ms, *fault in drawn:
        loop.run(wait_ms)
        play_fault(loop, store, fault)
    loop.run(20_000)
    return loop, store, judge


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 10_000), faults)
def test_revisions_follow_a_sequential_register(seed, drawn):
    """Compare with one register: no VM goes down, all end at its revision."""
    loop, store, judge = play(seed, drawn)
    assert not judge.went_down()
    assert judge.blobs_are_whole()
    loop.run_until(lambda: judge.in_force(store.revision), 30_000)


class _TakesAnyRevision(Dissemination):
    def announce_configuration(self, revision, blob):
        if revision != self.revision:
            self.revision = 0
        return super().announce_configuration(revision, blob)


class _FaultyNode(Node):
    def __init__(self, self_member, membership_settings, seed):
        super().__init__(self_member, membership_settings, seed)
        self.news = _TakesAnyRevision()


def test_seeded_fault_in_dissemination_is_caught():
    drawn = [(500, 'slow', 0, 30_000), *((300, 'write', 0, 0) for _ in range(20))]
    found = 0
    for seed in range(5):
        assert not play(seed, drawn)[2].went_down()
        found += play(seed, drawn, node_type=_FaultyNode)[2].went_down()
    assert found


def test_fact_is_heard_by_all_and_only_rises():
    loop, _, _ = served()
    loop.feed('vm-0', FactAnnounced, Fact('veto/x', 2, b'two'))
    loop.run_until(
        lambda: all(
            vm.node.news.find_fact('veto/x') == Fact('veto/x', 2, b'two')
            for vm in loop.vms.values()
        ),
        3000,
    )
    loop.feed('vm-7', FactAnnounced, Fact('veto/x', 1, b'one'))
    loop.run(5000)
    facts = {vm.node.news.find_fact('veto/x') for vm in loop.vms.values()}
    assert facts == {Fact('veto/x', 2, b'two')}


def fact_digests(loop):
    return {vm.node.news.fact_digest for vm in loop.vms.values()}


def test_many_facts_reach_a_new_member_and_a_cut_one():
    loop, _, _ = served()
    loop.cut(['vm-0'], [name for name in loop.vms if name != 'vm-0'])
    for number in range(50):
        loop.feed('vm-3', FactAnnounced, Fact(f'key-{number}', 1, b'x'))
    loop.run(30_000)
    loop.heal()
    loop.start('vm-9', 'de', seeds=loop.listed())
    loop.run_until(lambda: len(fact_digests(loop)) == 1, 20_000)


def test_missing_fact_is_fetched_with_few_others():
    holders = (Dissemination(), Dissemination())
    for number in range(320):
        for holder in holders:
            holder.announce_fact(Fact(f'key-{number}', 1))
    source, target = holders
    source.announce_fact(Fact('key-7', 2))
    ask = FetchRequest(0, wants_facts=True, fact_sums=target.ask_sums())
    answer = source.answer(ask)
    assert len(answer.facts) < 40
    assert [heard.fact for heard in target.take(answer)] == [Fact('key-7', 2)]
    assert target.fact_digest == source.fact_digest


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (b'', b'x'),
        (b'aaa', b'aa'),
        (b'aa', b'aaa'),
        (b'abc', b'abc'),
        (b'abcXdef', b'abcYdef'),
        (b'abcdef', b''),
        (b'abab', b'ababab'),
    ],
)
def test_change_to_a_held_configuration_is_rebuilt(old, new):
    source = Dissemination()
    target = Dissemination()
    for holder in (source, target):
        holder.announce_configuration(1, old)
    source.announce_configuration(2, new)
    answer = source.answer(FetchRequest(after_revision=1))
    assert answer.base_revision == 1
    assert target.take(answer)[0].blob == new


def test_change_of_one_line_is_small():
    blob = b'\n'.join(str(number).encode() for number in range(100_000))
    source = Dissemination()
    source.announce_configuration(1, blob)
    source.announce_configuration(2, blob.replace(b'\n5000\n', b'\n5000 x\n'))
    assert len(source.answer(FetchRequest(1)).middle) < 10


@pytest.mark.parametrize(
    'answer',
    [
        FetchReply(2, 0, 0, 0, blob_of(2), digest=1),
        FetchReply(2, 9, 0, 0, b'', digest=1),
        FetchReply(1, 0, 0, 0, blob_of(1), digest=1),
    ],
)
def test_answer_that_is_not_whole_or_not_higher_changes_nothing(answer):
    target = Dissemination()
    target.announce_configuration(1, b'one')
    assert not target.take(answer)
    assert target.revision == 1
