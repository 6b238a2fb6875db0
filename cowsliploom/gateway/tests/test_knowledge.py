"""What the store and the peers tell is taken whole, upwards, and with its age."""

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
    RequestDispatcher,
    Outcome,
)
from cowsliploom.gateway._background import keep_running
from cowsliploom.gateway._facts import FactBook
from cowsliploom.gateway._provenance import Provenance
from cowsliploom.gateway._store_view import StoreView
from cowsliploom.gateway._line_log import BUFFER_BYTES_MAX, LineLog
from cowsliploom.gateway._peer_wire import (
    Fact,
    NewsError,
    PeerMessage,
    WireSighting,
    decode_message,
    decode_news,
    encode_message,
    encode_news,
)
from cowsliploom.members import (
    MembershipTable,
    Batch,
    Census,
    Member,
    MirrorItem,
    Removal,
    LivenessRecord,
)

STORE = Provenance('store')
PEER = Provenance('peer', age_ms=400)
APPLY_MS = 3000


class RecordingLog:
    """Stand in for the log and keep what was written."""

    def __init__(self):
        self.lines = []

    def write(self, part, event, **fields):
        """Note a line."""
        self.lines.append((part, event, fields))


def make_store_view():
    """Return knowledge with a desk of its own."""
    desk = RequestDispatcher(BudgetRules(0.2, 10, 1000), 1, 'de', lambda server: True)
    return StoreView(desk, RecordingLog(), APPLY_MS)


def configuration(version, revision):
    """Return an operator's configuration as the store holds it."""
    route = {'host': 'h', 'prefix': '/', 'kind': 'safe', 'service': 's'}
    text = msgspec.json.encode({'version': version, 'routes': [route]})
    return MirrorItem('op/config', text, revision)


def server(name, revision, **changes):
    """Return a registration as the store holds it."""
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


def test_a_peer_that_knows_more_confirms_nothing_here():
    """A peer's higher revision without its content hid a version for nine seconds."""
    store_view = make_store_view()
    store_view.take(Batch(5, (configuration(1, 5),)), STORE, 0)
    store_view.confirm(9, PEER, 1000)
    assert store_view.mirror.revision == 5
    assert store_view.confirmed_age_ms(1000) == 1000
    assert store_view.take(Batch(9, (configuration(2, 9),)), STORE, 1100)
    assert store_view.desk.table.version == 2


def test_a_peer_that_knows_as_much_confirms_with_its_age():
    store_view = make_store_view()
    store_view.take(Batch(5, (configuration(1, 5),)), STORE, 0)
    store_view.confirm(5, PEER, 1000)
    assert store_view.confirmed_age_ms(1000) == 400


def test_time_that_the_clock_left_out_makes_what_is_known_older():
    store_view = make_store_view()
    store_view.add_age(5000)
    assert store_view.confirmed_age_ms(0) > 1_000_000
    store_view.take(Batch(5, (configuration(1, 5),)), STORE, 1000)
    store_view.add_age(5000)
    assert store_view.confirmed_age_ms(1000) == 5000


def test_versions_only_go_up():
    store_view = make_store_view()
    store_view.take(Batch(5, (configuration(7, 5),)), STORE, 0)
    store_view.take(Batch(6, (configuration(4, 6),)), STORE, 0)
    assert store_view.desk.table.version == 7


def test_a_configuration_that_cannot_be_read_changes_nothing():
    store_view = make_store_view()
    store_view.take(Batch(5, (configuration(7, 5),)), STORE, 0)
    broken = MirrorItem('op/config', b'{"version": 8', 6)
    store_view.take(Batch(6, (broken,)), STORE, 0)
    assert store_view.desk.table.version == 7
    assert ('configuration', 'unreadable') in [
        line[:2] for line in store_view.log.lines
    ]


def test_many_registrations_at_once_are_logged_as_one_line():
    """Lines of 675 servers pushed the line of a new configuration out of the log."""
    store_view = make_store_view()
    items = tuple(server(f'n{number}', 10 + number) for number in range(60))
    store_view.take(Batch(99, (configuration(1, 5), *items)), STORE, 0)
    assert [line[:2] for line in store_view.log.lines] == [
        ('configuration', 'taken'),
        ('server', 'many changed'),
    ]


def test_an_entry_of_another_writer_harms_no_other():
    store_view = make_store_view()
    bad = MirrorItem('servers/bad', b'\xff\x00', 6)
    store_view.take(Batch(6, (server('good', 5), bad)), STORE, 0)
    fleet = store_view.desk.fleet
    assert [each.name for each in fleet.serving('s')] == ['good']


def test_a_server_that_drains_or_is_gone_gets_nothing_more():
    store_view = make_store_view()
    store_view.take(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    store_view.take(Batch(7, (server('a', 7, state='draining'),)), STORE, 10)
    store_view.take(Batch(8, (), (Removal('servers/b', 8),)), STORE, 20)
    assert not store_view.desk.fleet.has_usable('s', ())


def test_entries_that_lapsed_in_an_outage_hold_until_they_may_be_back():
    store_view = make_store_view()
    store_view.take(Batch(6, (server('a', 5), server('b', 6))), STORE, 0)
    store_view.store_returned(10_000)
    removals = (Removal('servers/a', 7), Removal('servers/b', 8))
    store_view.take(Batch(8, (), removals), STORE, 10_000)
    store_view.expire_held_servers(12_000)
    assert len(store_view.desk.fleet) == 2
    store_view.take(Batch(9, (server('a', 9),)), STORE, 12_100)
    store_view.expire_held_servers(12_400)
    assert [each.name for each in store_view.desk.fleet.serving('s')] == ['a']


def test_many_entries_that_go_at_once_are_held_as_lapsed():
    store_view = make_store_view()
    names = [f'n{number}' for number in range(8)]
    items = tuple(server(name, 5 + at) for at, name in enumerate(names))
    store_view.take(Batch(12, items), STORE, 0)
    gone = tuple(Removal(item.key, 13) for item in items[:6])
    store_view.take(Batch(13, (), gone), STORE, 100)
    assert len(store_view.desk.fleet) == 8
    store_view.expire_held_servers(2500)
    assert len(store_view.desk.fleet) == 2


@pytest.mark.parametrize('adds', [True, False])
def test_evacuations_begin_and_end_with_their_key(adds):
    store_view = make_store_view()
    store_view.take(Batch(5, (MirrorItem('op/evacuate/de', b'{}', 5),)), STORE, 0)
    if not adds:
        store_view.take(Batch(6, (), (Removal('op/evacuate/de', 6),)), STORE, 0)
    assert (store_view.desk.fleet.closed_data_centres == {'de'}) is adds


def test_messages_between_peers_survive_the_wire():
    batch = Batch(9, (MirrorItem('k', b'\x00\xff', 9),), (Removal('l', 8),))
    seen = WireSighting.of(LivenessRecord(Member('a', '10.0.0.1:1', 'de'), 12))
    census = Census(2**63, (0, 12))
    news = encode_news(batch)
    message = PeerMessage('a', '10.0.0.1:1', 'de', 9, 20.0, census, (seen,), news)
    heard = decode_message(encode_message(message))
    assert decode_news(heard.news) == batch
    assert msgspec.structs.replace(heard, news=news) == message
    assert seen.sighting == LivenessRecord(message.sender, 12)


def test_a_message_between_peers_that_know_the_same_members_is_small():
    known = MembershipTable(Member('m0', '10.0.0.1:7000', 'gogledd'), (), 1)
    fleet = (Member(f'm{at}', f'10.0.0.{at}:7000', 'gogledd') for at in range(1, 70))
    known.record((LivenessRecord(member, 1500) for member in fleet), 0)
    message = PeerMessage('m0', '10.0.0.1:7000', 'gogledd', 9, 20.0, known.census(0))
    assert len(encode_message(message)) < 700


@pytest.mark.parametrize(
    ('age_ms', 'outcome'),
    [(0, Outcome.NO_ROUTE), (2300, Outcome.NO_ROUTE), (2500, Outcome.REFUSED)],
)
def test_a_route_that_may_have_been_added_is_not_denied(age_ms, outcome):
    """Callers got 404, which is final, from machines with an old configuration."""
    store_view = make_store_view()
    store_view.take(Batch(4, (configuration(7, 4),)), STORE, 1000)
    caller = CallerRequest('r', 'GET', 'new', '/x', (), b'', 1000 + age_ms, 800)
    reply = store_view.desk.open(caller)
    assert reply.outcome is outcome
    assert (reply.retry_after_ms > 0) is (outcome is Outcome.REFUSED)


@pytest.mark.parametrize('case', ['behind', 'unreadable', 'told on'])
def test_a_route_is_not_denied_where_the_configuration_is_known_to_lag(case):
    """A machine that knew that it lagged still counted as current."""
    store_view = make_store_view()
    store_view.take(Batch(4, (configuration(7, 4),)), STORE, 1000)
    match case:
        case 'behind':
            store_view.confirm(6, PEER, 1100)
        case 'unreadable':
            item = MirrorItem('op/config', b'{', 5)
            store_view.take(Batch(5, (item,), since=4), STORE, 1100)
        case 'told on':
            batch = Batch(5, (MirrorItem('k', b'', 5),), since=4)
            store_view.take(batch, PEER, 6000, is_newest=False)
    arrived_ms = 6000 if case == 'told on' else 1200
    caller = CallerRequest('r', 'GET', 'new', '/x', (), b'', arrived_ms, 800)
    assert store_view.desk.open(caller).outcome is Outcome.REFUSED


def test_a_large_configuration_takes_little_of_a_link():
    """A day with 1,400 more routes held up all links between entry VMs."""
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
    news = encode_news(batch)
    assert len(content) > 200_000
    assert len(news) < len(content) / 5
    assert decode_news(news) == batch


def packed(document):
    """Return a document as news are packed."""
    return zlib.compress(msgspec.msgpack.encode(document))


@pytest.mark.parametrize(
    'news',
    [
        b'[1]',
        packed([1]),
        packed({'revision': 'x'}),
        packed({'items': 3}),
        packed(Batch(9))[:-6],
    ],
)
def test_news_that_cannot_be_read_are_told_with_their_size(news):
    with pytest.raises(NewsError, match=f'{len(news)} bytes'):
        decode_news(news)


def test_no_news_are_none():
    assert decode_news(b'') is None


@pytest.mark.parametrize('text', [b'', b'{}', b'[1]', b'\xff', b'{"name": 3}'])
def test_a_message_that_cannot_be_read_is_passed_over(text):
    assert decode_message(text) is None


def test_a_task_that_fails_says_so_and_begins_again():
    async def play():
        log, runs = RecordingLog(), []

        async def fail():
            runs.append(len(runs))
            raise ValueError('wrong')

        running = asyncio.create_task(keep_running(fail, log))
        while len(runs) < 2:
            await asyncio.sleep(0.05)
        running.cancel()
        return log.lines[0]

    part, event, fields = asyncio.run(asyncio.wait_for(play(), 5))
    assert (part, event) == ('daemon', 'task failed')
    assert fields['reason'] == "ValueError('wrong')"


def test_facts_are_told_on_once_and_only_vetoes_stay():
    book, heard = FactBook(), []
    book.on_fact = heard.append
    veto, evidence = Fact('veto/s/v2/6', 1, b'{}'), Fact('evidence/s/a', 3, b'')
    assert book.take((veto, evidence))
    assert not book.take((veto, evidence))
    assert heard == [veto, evidence, evidence]
    assert book.kept() == (veto,)
    book.forget_unless(lambda fact: False)
    assert not book.kept()


def test_lines_that_nobody_reads_are_counted_and_never_block():
    reading, writing = os.pipe()

    os.set_blocking(reading, False)

    async def play():
        log = LineLog(writing)
        log.start()
        for number in range(50_000):
            log.write('test', 'line', number=number, padding='x' * 200)
        heard = b''
        while b'lines lost' not in heard:
            await asyncio.sleep(0.06)
            heard += os.read(reading, BUFFER_BYTES_MAX)
        return heard

    heard = asyncio.run(asyncio.wait_for(play(), 10))
    lines = [json.loads(line) for line in heard.splitlines() if line.endswith(b'}')]
    assert lines[0]['event'] == 'line'
    (told,) = (line for line in lines if line['event'] == 'lines lost')
    assert told['lines'] + len(lines) - 1 == 50_000
    os.close(reading)
    os.close(writing)
