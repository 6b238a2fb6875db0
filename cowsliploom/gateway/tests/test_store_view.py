"""The store view applies batches of the store and of peers, with their age."""

import asyncio
import json
import os
import random
import zlib

import msgspec
import pytest

from cowsliploom.forwarding import (
    BudgetRules,
    CallerRequest,
    Outcome,
    RequestDispatcher,
)
from cowsliploom.gateway._background import keep_running
from cowsliploom.gateway._expiry_hold import StoreOutage
from cowsliploom.gateway._facts import FactRegistry
from cowsliploom.gateway._line_log import BUFFER_BYTES_MAX, LineLog
from cowsliploom.gateway._peer_wire import (
    Fact,
    PeerMessage,
    UpdatesError,
    WireLivenessRecord,
    decode_message,
    decode_updates,
    encode_message,
    encode_updates,
)
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.members import (
    Batch,
    Census,
    LivenessRecord,
    Member,
    MembershipTable,
    MirrorItem,
    Removal,
    store_revision,
)

STORE = Provenance('store')
PEER = Provenance('peer', age_ms=400)
APPLY_MS = 3000


class RecordingLog:
    """Stand in for the log and record the lines."""

    def __init__(self):
        self.lines = []

    def write(self, part, event, **fields):
        """Record a line."""
        self.lines.append((part, event, fields))


def make_store_view():
    """Return a store view with a new dispatcher."""
    dispatcher = RequestDispatcher(
        BudgetRules(0.2, 10, 1000), 1, 'de', lambda server: True
    )
    return StoreView(dispatcher, RecordingLog(), APPLY_MS)


def configuration(version, revision):
    """Return an operator's configuration as stored."""
    route = {'host': 'h', 'prefix': '/', 'kind': 'safe', 'service': 's'}
    text = msgspec.json.encode({'version': version, 'routes': [route]})
    return MirrorItem('op/config', text, revision)


def server(name, revision, **changes):
    """Return a registration as stored."""
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'de',
        'version': 'v1',
        'slots': 2,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        **changes,
    }
    return MirrorItem(f'servers/{name}', msgspec.json.encode(fields), revision)


def test_peer_at_higher_revision_does_not_confirm_local_revision():
    """A peer's higher revision without its content hid a version for nine seconds."""
    store_view = make_store_view()
    store_view.apply(Batch(5, (configuration(1, 5),)), STORE, 0)
    store_view.confirm(9, PEER, 1000)
    assert store_view.mirror.revision == 5
    assert store_view.confirmed_age_ms(1000) == 1000
    assert store_view.apply(Batch(9, (configuration(2, 9),)), STORE, 1100)
    assert store_view.dispatcher.table.version == 2


def test_peer_at_same_revision_confirms_with_its_age():
    store_view = make_store_view()
    store_view.apply(Batch(5, (configuration(1, 5),)), STORE, 0)
    store_view.confirm(5, PEER, 1000)
    assert store_view.confirmed_age_ms(1000) == 400


def test_time_missed_by_the_clock_is_added_to_the_confirmed_age():
    store_view = make_store_view()
    store_view.add_age(5000)
    assert store_view.confirmed_age_ms(0) > 1_000_000
    store_view.apply(Batch(5, (configuration(1, 5),)), STORE, 1000)
    store_view.add_age(5000)
    assert store_view.confirmed_age_ms(1000) == 5000


def test_lower_configuration_version_is_not_applied():
    store_view = make_store_view()
    store_view.apply(Batch(5, (configuration(7, 5),)), STORE, 0)
    store_view.apply(Batch(6, (configuration(4, 6),)), STORE, 0)
    assert store_view.dispatcher.table.version == 7


def test_unreadable_configuration_changes_nothing():
    store_view = make_store_view()
    store_view.apply(Batch(5, (configuration(7, 5),)), STORE, 0)
    broken = MirrorItem('op/config', b'{"version": 8', 6)
    store_view.apply(Batch(6, (broken,)), STORE, 0)
    assert store_view.dispatcher.table.version == 7
    assert ('configuration', 'unreadable') in [
        line[:2] for line in store_view.log.lines
    ]


def test_many_new_registrations_are_logged_as_one_line():
    """Lines of 675 servers pushed the line of a new configuration out of the log."""
    store_view = make_store_view()
    items = tuple(server(f'n{number}', 10 + number) for number in range(60))
    store_view.apply(Batch(99, (configuration(1, 5), *items)), STORE, 0)
    assert [line[:2] for line in store_view.log.lines] == [
        ('configuration', 'taken'),
        ('server', 'many changed'),
    ]


def test_unreadable_registration_does_not_affect_others():
    store_view = make_store_view()
    bad = MirrorItem('servers/bad', b'\xff\x00', 6)
    store_view.apply(Batch(6, (server('good', 5), bad)), STORE, 0)
    fleet = store_view.dispatcher.fleet
    assert [each.name for each in fleet.serving('s')] == ['good']


def test_draining_or_removed_server_is_not_usable():
    store_view = make_store_view()
    store_view.apply(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    store_view.apply(Batch(7, (server('a', 7, state='draining'),)), STORE, 10)
    store_view.apply(Batch(8, (), (Removal('servers/b', 8),)), STORE, 20)
    assert not store_view.dispatcher.fleet.has_usable('s', (), 20)


def test_registrations_expired_in_an_outage_are_held():
    store_view = make_store_view()
    store_view.apply(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    store_view.note_outage(StoreOutage(6000, 10_000), 'store')
    removals = (Removal('servers/a', 7), Removal('servers/b', 8))
    store_view.apply(Batch(8, (), removals), STORE, 10_000)
    store_view.expire_held_servers(12_000)
    assert len(store_view.dispatcher.fleet) == 2
    store_view.apply(Batch(9, (server('a', 9),)), STORE, 12_100)
    store_view.expire_held_servers(12_400)
    assert [each.name for each in store_view.dispatcher.fleet.serving('s')] == ['a']


@pytest.mark.parametrize('confirmed_ms', [100, 2100], ids=['at-once', 'late'])
@pytest.mark.parametrize('removed', [3, 6, 8])
def test_registrations_removed_while_the_store_answers_are_gone_at_once(
    removed, confirmed_ms
):
    """Guard against servers that left together and were used for 2.3 s more."""
    store_view = make_store_view()
    names = [f'n{number}' for number in range(8)]
    items = tuple(server(name, 5 + at) for at, name in enumerate(names))
    store_view.apply(Batch(12, items), STORE, 0)
    gone = tuple(Removal(item.key, 13) for item in items[:removed])
    store_view.apply(Batch(13, (), gone), PEER, confirmed_ms)
    assert len(store_view.dispatcher.fleet) == 8 - removed


@pytest.mark.parametrize(
    ('lost_ms', 'is_held'),
    [(1500, True), (500, False)],
    ids=['down-for-all', 'lost-by-one'],
)
def test_outage_that_a_peer_noticed_holds_only_if_the_store_answered_nobody(
    lost_ms, is_held
):
    store_view = make_store_view()
    store_view.apply(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    store_view.confirm(6, STORE, 1000)
    store_view.note_outage(StoreOutage(lost_ms, 9000), 'peer')
    store_view.apply(Batch(8, (), (Removal('servers/a', 8),)), PEER, 10_500)
    assert len(store_view.dispatcher.fleet) == 1 + is_held
    store_view.expire_held_servers(11_300)
    assert len(store_view.dispatcher.fleet) == 1


@pytest.mark.parametrize('adds', [True, False])
def test_data_centre_is_closed_while_its_evacuation_key_exists(adds):
    store_view = make_store_view()
    store_view.apply(Batch(5, (MirrorItem('op/evacuate/de', b'{}', 5),)), STORE, 0)
    if not adds:
        store_view.apply(Batch(6, (), (Removal('op/evacuate/de', 6),)), STORE, 0)
    assert (store_view.dispatcher.fleet.closed_data_centres == {'de'}) is adds


def test_peer_message_round_trip():
    batch = Batch(9, (MirrorItem('k', b'\x00\xff', 9),), (Removal('l', 8),))
    seen = WireLivenessRecord.of(LivenessRecord(Member('a', '10.0.0.1:1', 'de'), 12))
    census = Census(2**63, (0, 12))
    updates = encode_updates(batch)
    message = PeerMessage('a', '10.0.0.1:1', 'de', 9, 20.0, census, (seen,), updates)
    decoded = decode_message(encode_message(message))
    assert decode_updates(decoded.news) == batch
    assert msgspec.structs.replace(decoded, news=updates) == message
    assert seen.liveness_record == LivenessRecord(message.sender, 12)


def test_message_to_peer_with_same_members_is_small():
    known = MembershipTable(Member('m0', '10.0.0.1:7000', 'gogledd'), (), 1)
    fleet = (Member(f'm{at}', f'10.0.0.{at}:7000', 'gogledd') for at in range(1, 70))
    known.record((LivenessRecord(member, 1500) for member in fleet), 0)
    message = PeerMessage('m0', '10.0.0.1:7000', 'gogledd', 9, 20.0, known.census(0))
    assert len(encode_message(message)) < 700


@pytest.mark.parametrize(
    ('age_ms', 'outcome'),
    [(0, Outcome.NO_ROUTE), (2300, Outcome.NO_ROUTE), (2500, Outcome.REFUSED)],
)
def test_unknown_route_is_not_denied_while_configuration_is_stale(age_ms, outcome):
    """Callers received 404, which is final, from VMs with an old configuration."""
    store_view = make_store_view()
    store_view.apply(Batch(4, (configuration(7, 4),)), STORE, 1000)
    caller = CallerRequest('r', 'GET', 'new', '/x', (), b'', 1000 + age_ms, 800)
    reply = store_view.dispatcher.open(caller)
    assert reply.outcome is outcome
    assert (reply.retry_after_ms > 0) is (outcome is Outcome.REFUSED)


@pytest.mark.parametrize('case', ['behind', 'unreadable', 'forwarded'])
def test_unknown_route_is_not_denied_if_configuration_is_known_to_lag(case):
    """A VM that knew of a newer revision was still treated as current."""
    store_view = make_store_view()
    store_view.apply(Batch(4, (configuration(7, 4),)), STORE, 1000)
    match case:
        case 'behind':
            store_view.confirm(6, PEER, 1100)
        case 'unreadable':
            item = MirrorItem('op/config', b'{', 5)
            store_view.apply(Batch(5, (item,), since=4), STORE, 1100)
        case 'forwarded':
            batch = Batch(5, (MirrorItem('k', b'', 5),), since=4)
            store_view.apply(batch, PEER, 6000, is_newest=False)
    arrived_ms = 6000 if case == 'forwarded' else 1200
    caller = CallerRequest('r', 'GET', 'new', '/x', (), b'', arrived_ms, 800)
    assert store_view.dispatcher.open(caller).outcome is Outcome.REFUSED


def test_large_configuration_is_compressed():
    """A configuration with 1,400 more routes congested the links between entry VMs."""
    word = random.Random(1).randbytes
    routes = [
        {
            'name': f'r-{word(4).hex()}',
            'host': f'{word(3).hex()}.example',
            'prefix': f'/{word(4).hex()}/',
            'kind': 'safe',
            'timeoutMs': 1500,
            'targetLatencyMs': 100,
            'maxAttempts': 3,
            'service': f's{number % 9}',
        }
        for number in range(1450)
    ]
    content = json.dumps({'version': 7, 'routes': routes}).encode()
    batch = Batch(9, (MirrorItem('op/config', content, 9),), since=8)
    updates = encode_updates(batch)
    assert len(content) > 200_000
    assert len(updates) < len(content) / 5
    assert decode_updates(updates) == batch


def compressed(document):
    """Return a document encoded and compressed like updates."""
    return zlib.compress(msgspec.msgpack.encode(document))


@pytest.mark.parametrize(
    'updates',
    [
        b'[1]',
        compressed([1]),
        compressed({'revision': 'x'}),
        compressed({'items': 3}),
        compressed(Batch(9))[:-6],
    ],
)
def test_unreadable_updates_raise_an_error_with_their_size(updates):
    with pytest.raises(UpdatesError, match=f'{len(updates)} bytes'):
        decode_updates(updates)


def test_empty_updates_decode_to_none():
    assert decode_updates(b'') is None


@pytest.mark.parametrize('text', [b'', b'{}', b'[1]', b'\xff', b'{"name": 3}'])
def test_malformed_message_decodes_to_none(text):
    assert decode_message(text) is None


def test_failed_task_is_logged_and_restarted():
    async def scenario():
        log, runs = RecordingLog(), []

        async def fail():
            runs.append(len(runs))
            raise ValueError('wrong')

        running = asyncio.create_task(keep_running(fail, log))
        while len(runs) < 2:
            await asyncio.sleep(0.05)
        running.cancel()
        return log.lines[0]

    part, event, fields = asyncio.run(asyncio.wait_for(scenario(), 5))
    assert (part, event) == ('daemon', 'task failed')
    assert fields['reason'] == "ValueError('wrong')"


def test_known_veto_is_not_reported_again_and_only_vetoes_persist():
    registry, reported = FactRegistry(), []
    registry.on_fact = reported.append
    veto, evidence = Fact('veto/s/v2/6', 1, b'{}'), Fact('evidence/s/a', 3, b'')
    assert registry.receive((veto, evidence))
    assert not registry.receive((veto, evidence))
    assert reported == [veto, evidence, evidence]
    assert registry.persistent() == (veto,)
    registry.retain(lambda fact: False)
    assert not registry.persistent()


def test_log_does_not_block_and_counts_lost_lines_without_a_reader():
    reading, writing = os.pipe()

    os.set_blocking(reading, False)

    async def scenario():
        log = LineLog(writing)
        log.start()
        for number in range(50_000):
            log.write('test', 'line', number=number, padding='x' * 200)
        received = b''
        while b'lines lost' not in received:
            await asyncio.sleep(0.06)
            received += os.read(reading, BUFFER_BYTES_MAX)
        return received

    received = asyncio.run(asyncio.wait_for(scenario(), 10))
    lines = [json.loads(line) for line in received.splitlines() if line.endswith(b'}')]
    assert lines[0]['event'] == 'line'
    (lost,) = (line for line in lines if line['event'] == 'lines lost')
    assert lost['lines'] + len(lines) - 1 == 50_000
    os.close(reading)
    os.close(writing)


def test_contents_of_an_earlier_era_are_not_current():
    """Guard against a 404 by routes that a restored store may have replaced."""
    store_view = make_store_view()
    batch = Batch(5, (configuration(1, 5),), is_whole=True)
    store_view.apply(batch, STORE, 0)
    assert store_view.is_current(100)
    store_view.note_restored(1)
    assert not store_view.is_current(100)
    store_view.confirm(5, PEER, 200)
    assert not store_view.is_current(200)
    revision = store_revision(1, 4)
    listing = Batch(revision, (configuration(1, revision),), is_whole=True)
    store_view.apply(listing, STORE, 300)
    assert store_view.is_current(400)
