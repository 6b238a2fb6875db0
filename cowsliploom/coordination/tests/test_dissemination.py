"""Dissemination of configuration and facts: bounded delay, intact, monotonic."""

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


def start_fleet_with_store(places=PLACES, seed=1, **options):
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
    loop, store, judge = start_fleet_with_store(
        ('gogledd',) * (size // 2) + ('de',) * (size // 2)
    )
    for _ in range(10):
        assert write_until_in_force(loop, store, judge) <= BOUND_MS
        loop.run(700)
    assert not judge.went_down()
    assert judge.blobs_are_whole()


def store_calls_per_minute(size, seed=1):
    loop, store, _ = start_fleet_with_store(('de',) * size, seed)
    loop.run(60_000)
    store.counts.clear()
    for _ in range(8):
        loop.run(30_000)
        store.write()
    return store.counts.total() / 4


def test_store_calls_do_not_grow_with_fleet():
    counted = {size: store_calls_per_minute(size) for size in (4, 8, 16, 32)}
    assert counted[32] <= 1.5 * counted[8]
    assert counted[32] <= 30


def test_change_read_before_store_outage_spreads():
    loop, store, judge = start_fleet_with_store()
    chosen = watchers(loop, 'de')
    others = [name for name in loop.vms if name not in chosen]
    for name in others:
        loop.freeze(name)
    store.write()
    loop.run(500)
    store.is_out = True
    for name in others:
        loop.resume(name)
    loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)


def test_new_vm_gets_configuration_from_peers_in_store_outage():
    loop, store, judge = start_fleet_with_store()
    store.is_out = True
    vm = loop.start('vm-9', 'de', seeds=loop.listed())
    store.serve(vm)
    assert loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS) < 3000
    assert judge.revisions('vm-9') == [store.revision]


def test_frozen_watchers_are_replaced_within_bound():
    loop, store, judge = start_fleet_with_store()
    for name in watchers(loop, 'gogledd'):
        loop.freeze(name)
    assert write_until_in_force(loop, store, judge) <= BOUND_MS


def test_resumed_watcher_applies_no_older_configuration():
    loop, store, judge = start_fleet_with_store()
    chosen = watchers(loop, 'gogledd')
    for name in chosen:
        loop.freeze(name)
    for _ in range(6):
        store.write()
        loop.run(5000)
    for name in chosen:
        loop.resume(name)
    loop.run_until(lambda: judge.in_force(store.revision), BOUND_MS)
    assert not judge.went_down()


def test_partitioned_data_centre_reads_through_its_own_watchers():
    loop, store, judge = start_fleet_with_store()
    here = [name for name, vm in loop.vms.items() if vm.me.data_centre == 'de']
    loop.cut(here, [name for name in loop.vms if name not in here])
    for _ in range(5):
        assert write_until_in_force(loop, store, judge) <= BOUND_MS
        loop.run(4000)


def test_data_centre_that_missed_a_change_receives_it_from_others():
    loop, store, judge = start_fleet_with_store()
    chosen = [*watchers(loop, 'de'), *watchers(loop, 'gogledd')]
    for name in chosen:
        loop.freeze(name)
    loop.run(500)
    store.write()
    loop.run(100)
    store.is_out = True
    for name in chosen:
        loop.resume(name)
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
            loop.at(span_ms, loop.resume, name)
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
    loop, store, judge = start_fleet_with_store(seed=seed, **options)
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


class _DisseminationWithoutRevisionCheck(Dissemination):
    def announce_configuration(self, revision, blob):
        if revision != self.revision:
            self.revision = 0
        return super().announce_configuration(revision, blob)


class _FaultyNode(Node):
    def __init__(self, self_member, membership_settings, seed):
        super().__init__(self_member, membership_settings, seed)
        self.dissemination = _DisseminationWithoutRevisionCheck()


def test_seeded_dissemination_fault_is_detected():
    drawn = [(500, 'slow', 0, 30_000), *((300, 'write', 0, 0) for _ in range(20))]
    found = 0
    for seed in range(5):
        assert not play(seed, drawn)[2].went_down()
        found += play(seed, drawn, node_type=_FaultyNode)[2].went_down()
    assert found


def test_fact_reaches_all_and_generation_never_decreases():
    loop, _, _ = start_fleet_with_store()
    loop.feed('vm-0', FactAnnounced, Fact('veto/x', 2, b'two'))
    loop.run_until(
        lambda: all(
            vm.node.dissemination.find_fact('veto/x') == Fact('veto/x', 2, b'two')
            for vm in loop.vms.values()
        ),
        3000,
    )
    loop.feed('vm-7', FactAnnounced, Fact('veto/x', 1, b'one'))
    loop.run(5000)
    facts = {vm.node.dissemination.find_fact('veto/x') for vm in loop.vms.values()}
    assert facts == {Fact('veto/x', 2, b'two')}


def fact_digests(loop):
    return {vm.node.dissemination.fact_digest for vm in loop.vms.values()}


def test_many_facts_reach_new_and_partitioned_members():
    loop, _, _ = start_fleet_with_store()
    loop.cut(['vm-0'], [name for name in loop.vms if name != 'vm-0'])
    for number in range(50):
        loop.feed('vm-3', FactAnnounced, Fact(f'key-{number}', 1, b'x'))
    loop.run(30_000)
    loop.heal()
    loop.start('vm-9', 'de', seeds=loop.listed())
    loop.run_until(lambda: len(fact_digests(loop)) == 1, 20_000)


def test_missing_fact_is_fetched_with_few_other_facts():
    holders = (Dissemination(), Dissemination())
    for number in range(320):
        for holder in holders:
            holder.announce_fact(Fact(f'key-{number}', 1))
    source, target = holders
    source.announce_fact(Fact('key-7', 2))
    request = FetchRequest(0, wants_facts=True, fact_sums=target.bucket_sums())
    answer = source.answer(request)
    assert len(answer.facts) < 40
    assert [received.fact for received in target.apply_reply(answer)] == [
        Fact('key-7', 2)
    ]
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
def test_delta_against_held_configuration_is_applied(old, new):
    source = Dissemination()
    target = Dissemination()
    for holder in (source, target):
        holder.announce_configuration(1, old)
    source.announce_configuration(2, new)
    answer = source.answer(FetchRequest(after_revision=1))
    assert answer.base_revision == 1
    assert target.apply_reply(answer)[0].blob == new


def test_delta_of_one_line_is_small():
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
def test_corrupt_or_older_reply_is_ignored(answer):
    target = Dissemination()
    target.announce_configuration(1, b'one')
    assert not target.apply_reply(answer)
    assert target.revision == 1
