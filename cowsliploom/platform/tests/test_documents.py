"""Decoding and validation of the platform's documents, settings and headers."""

from functools import partial

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowsliploom.dataplane import AnswerOrigin, HttpAnswer
from cowsliploom.forwarding import (
    ErrorReply,
    FanOut,
    LoadReport,
    MergedAnswer,
    Outcome,
    ServerState,
    WeightedService,
)
from cowsliploom.platform import (
    DocumentError,
    SettingsError,
    answer_origin,
    decode_configuration,
    decode_server,
    evacuated_data_centres,
    read_answer,
    read_request,
    render_call,
    render_call_head,
    render_error,
    render_forwarded,
    render_merged,
)
from cowsliploom.platform._settings import parse_settings

SERVER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'de',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldRemainingMs': 250,
    'sequence': 4,
    'born': 1700,
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'prefix': '/p/',
    'kind': 'unsafe',
    'timeoutMs': 800,
    'targetLatencyMs': 56,
    'priority': 2,
    'service': 's',
    'maxAttempts': 2,
}
SETTINGS = """node=front-1
zone=de
listen.front=10.1.0.9:8104
listen.ready=10.1.0.9:8108
listen.control=10.1.0.9:8106
internalPorts=7380,7395
seeds=10.1.0.9:8106,10.2.0.21:8106
platform.address=10.200.1.7:8102
bounds.retryBudgetRatio=0.2
bounds.retryBudgetExtra=56
bounds.retryWindowS=10
bounds.graceS=6
something.new=7
"""
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def configuration(**changes):
    """Return a configuration with one route."""
    return msgspec.json.encode({'version': 7, 'routes': [{**ROUTE, **changes}]})


def test_registration_is_decoded_into_typed_fields():
    record = decode_server('servers/i-1', msgspec.json.encode(SERVER))
    assert record.name == 'i-1'
    assert (record.data_centre, record.state) == ('de', ServerState.READY)
    assert (record.cold_ms, record.born_ms, record.sequence) == (250, 1700, 4)


@pytest.mark.parametrize('field', [name for name in SERVER if name != 'born'])
def test_registration_with_a_missing_field_is_rejected(field):
    incomplete = {name: content for name, content in SERVER.items() if name != field}
    with pytest.raises(DocumentError, match='servers/i-1'):
        decode_server('servers/i-1', msgspec.json.encode(incomplete))


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'gone'},
        {'slots': 0},
        {'slots': '2'},
        {'slots': True},
        {'address': '10.0.0.1'},
        {'address': ':80'},
        {'address': '10.0.0.1:http'},
        {'service': ''},
        {'sequence': 1.5},
        {'coldRemainingMs': None},
    ],
)
def test_registration_with_an_invalid_field_is_rejected(changes):
    with pytest.raises(DocumentError):
        decode_server('servers/i-1', msgspec.json.encode({**SERVER, **changes}))


@given(st.sampled_from(sorted(SERVER)), JSON)
def test_field_of_any_type_is_decoded_or_rejected(field, content):
    text = msgspec.json.encode({**SERVER, field: content})
    try:
        record = decode_server('servers/i-1', text)
    except DocumentError:
        return
    assert record.service and record.slots > 0


@given(st.binary(max_size=60) | st.integers(0, 160))
def test_arbitrary_bytes_are_decoded_or_rejected(source):
    complete = msgspec.json.encode(SERVER)
    text = complete[:source] if isinstance(source, int) else source
    for decode in (partial(decode_server, 'servers/i'), decode_configuration):
        try:
            decode(text)
        except DocumentError as error:
            assert error.reason


def test_only_routes_of_kind_safe_are_repeatable():
    (route,) = decode_configuration(configuration()).routes
    assert not route.repeatable
    assert (route.timeout_ms, route.target_ms, route.rank) == (800, 56, 2)
    assert route.services == (WeightedService('s', 1),)
    (safe,) = decode_configuration(configuration(kind='safe')).routes
    assert safe.repeatable


def test_fanout_route_is_repeatable_whatever_its_kind():
    text = configuration(
        service='', fanoutServices=['a', 'b'], topK=5, minShardShare=0.75
    )
    (route,) = decode_configuration(text).routes
    assert route.repeatable
    assert route.fan_out == FanOut(('a', 'b'), 5, 0.75)
    assert not route.services


def test_weighted_services_keep_their_weights():
    parts = [{'service': 'a', 'weight': 9}, {'service': 'b', 'weight': 1}]
    (route,) = decode_configuration(configuration(weightedServices=parts)).routes
    assert [part.weight for part in route.services] == [9, 1]


def test_evacuated_data_centres_are_the_keys_with_their_prefix():
    keys = ('op/config', 'op/evacuate/de', 'op/rollout/s')
    assert evacuated_data_centres(keys) == frozenset(('de',))


def test_settings_are_decoded_and_unknown_ones_ignored():
    settings = parse_settings(SETTINGS)
    assert settings.seeds == ('10.1.0.9:8106', '10.2.0.21:8106')
    assert (settings.grace_ms, settings.budget.window_ms) == (6000, 10_000)


@pytest.mark.parametrize(
    ('line', 'name'),
    [
        ('node=', 'node'),
        ('listen.front=10.1.0.9', 'listen.front'),
        ('platform.address=', 'platform.address'),
        ('bounds.graceS=soon', 'bounds.graceS'),
        ('bounds.graceS=-1', 'bounds.graceS'),
        ('bounds.retryBudgetRatio=nan', 'bounds.retryBudgetRatio'),
    ],
)
def test_error_of_an_invalid_setting_names_it(line, name):
    with pytest.raises(SettingsError, match=name):
        parse_settings(SETTINGS + line)


def test_request_is_forwarded_without_hop_by_hop_headers():
    request = read_request(
        'GET',
        '/p/x?y=1',
        [
            ('Host', 'h'),
            ('Request-Id', 'abc'),
            ('deadline', '600'),
            ('Connection', 'keep-alive, X-Hop'),
            ('X-Hop', '1'),
            ('X-Kept', '2'),
            ('Transfer-Encoding', 'chunked'),
            ('Target-Instance', 'forged'),
        ],
        b'body',
        5,
    )
    assert (request.request_id, request.host, request.patience_ms) == ('abc', 'h', 600)
    assert request.headers == (('Request-Id', 'abc'), ('X-Kept', '2'))
    head = render_call_head(request)
    text = render_call(head, 'i-1', 412.7).decode()
    assert text.startswith('GET /p/x?y=1 HTTP/1.1\r\nHost: h\r\n')
    assert 'Deadline: 412\r\n' in text
    assert 'Target-Instance: i-1\r\n' in text
    assert text.count('Target-Instance') == 1
    assert text.count('Content-Length: 4\r\n') == 1
    assert text.endswith('\r\n\r\n')


@pytest.mark.parametrize('header', ['', 'soon', '-5', '1e99', 'nan'])
def test_invalid_timeout_is_clamped(header):
    request = read_request('GET', '/', [('Deadline', header)], b'', 0)
    assert 0 <= request.patience_ms <= 600_000


@pytest.mark.parametrize(
    ('header', 'load'),
    [
        ('3,0,8', LoadReport(3, 0, 8)),
        (' 3, 1 ,8', LoadReport(3, 1, 8)),
        ('3,0,8,100', LoadReport(3, 0, 8, 100)),
        ('3, 2, 8, 340', LoadReport(3, 2, 8, 340)),
        ('3,0,8,x', None),
        ('3,0,8,-1', None),
        ('3,0,8,100,1', None),
        ('3,0', None),
        ('a,b,c', None),
        ('-1,0,2', None),
        ('', None),
        ('٣,0,8', None),
        (f'{"9" * 309},0,8', None),
        (f'0,{"9" * 5000},8', None),
    ],
)
def test_load_report_is_decoded_or_ignored(header, load):
    answer = read_answer(HttpAnswer(200, [('Server-Load', header)], b''))
    assert answer.load == load


@pytest.mark.parametrize(
    ('status', 'headers', 'ran', 'wrong_server'),
    [
        (503, [('Not-Executed', '1')], False, False),
        (503, [], True, False),
        (421, [('Instance-Id', 'i-2')], False, True),
        (500, [('Response-Signature', 's')], True, False),
    ],
)
def test_request_counts_as_run_unless_the_server_denies_it(
    status, headers, ran, wrong_server
):
    answer = read_answer(HttpAnswer(status, headers, b''))
    assert (answer.ran, answer.wrong_server) == (ran, wrong_server)


@pytest.mark.parametrize(
    ('headers', 'origin'),
    [
        ([('request-id', 'a')], AnswerOrigin.THIS_CALL),
        ([('Request-Id', 'b')], AnswerOrigin.OTHER_CALL),
        ([('Request-Id', '')], AnswerOrigin.OTHER_CALL),
        ([('X', 'a')], AnswerOrigin.UNNAMED),
    ],
)
def test_origin_of_an_answer_is_told_by_its_request_id(headers, origin):
    assert answer_origin('a', HttpAnswer(200, headers, b'')) is origin


def test_merged_answer_lists_signatures_and_missing_parts():
    reply = render_merged('r', MergedAnswer(('s1', 's2'), 3, b'x'))
    assert dict(reply.headers)['Part-Stamps'] == 's1, s2'
    assert dict(reply.headers)['Missing-Parts'] == '3'


@pytest.mark.parametrize(
    ('outcome', 'status'),
    [
        (Outcome.NO_ROUTE, 404),
        (Outcome.REFUSED, 503),
        (Outcome.FAILED, 502),
        (Outcome.TIMED_OUT, 504),
    ],
)
def test_only_a_refusal_has_the_error_status_that_means_not_run(outcome, status):
    assert render_error('r', ErrorReply(outcome, 'why')).status == status


def test_refusal_has_retry_after_in_seconds():
    reply = render_error('r', ErrorReply(Outcome.REFUSED, 'why', 250))
    assert dict(reply.headers)['Retry-After'] == '0.250'


def test_answer_is_forwarded_without_hop_by_hop_headers():
    headers = [('Keep-Alive', 'timeout=5'), ('Connection', 'X-Hop'), ('X-Hop', '1')]
    headers += [('Transfer-Encoding', 'chunked'), ('Response-Signature', 'sig')]
    reply = render_forwarded(read_answer(HttpAnswer(200, headers, b'body')))
    assert reply.headers == [('Response-Signature', 'sig')]
    assert reply.body == b'body'
