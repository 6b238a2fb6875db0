"""Decoding validates documents and reports all problems at once."""

import pytest

from cowsliploom.resources import (
    Configuration,
    DataCentreSpec,
    DataCentreState,
    InvalidResources,
    Kind,
    Resource,
    ResourceProblem,
    SearchSpec,
    check_configuration,
    configuration_from_resources,
    decode_configuration,
    decode_document,
    decode_documents,
    decode_json_documents,
    encode_configuration,
)

SERVER = {
    'name': 'shard-1-a',
    'address': '127.0.0.1:9001',
    'data_centre': 'de',
    'version': 'v1',
}
SERVICE_SPEC = {
    'servers': [SERVER],
    'slots': 2,
    'connections_max': 25,
    'connect_cost_ms': 6,
}
SEARCH_SPEC = {'services': ['shard-1'], 'timeout_ms': 300}
MOVE_SPEC = {
    'service': 'shard-1',
    'from_version': 'v1',
    'to_version': 'v2',
    'finish_by': '2030-01-31T18:00:00Z',
}


def service(**changes):
    return {'kind': 'service', 'name': 'shard-1', 'spec': {**SERVICE_SPEC, **changes}}


def service_with_server(**changes):
    return service(servers=[{**SERVER, **changes}])


def search(**changes):
    return {'kind': 'search', 'name': 'cellar', 'spec': {**SEARCH_SPEC, **changes}}


def move(**changes):
    return {'kind': 'versionmove', 'name': 'to-v2', 'spec': {**MOVE_SPEC, **changes}}


def data_centre(name='de', **spec):
    return {'kind': 'datacentre', 'name': name, 'spec': spec}


def problems_of(document):
    try:
        decode_document(document)
    except InvalidResources as invalid:
        return invalid.problems
    return ()


@pytest.mark.parametrize(
    ('document', 'field', 'expected'),
    [
        (service(slots='two'), 'spec.slots', 'a whole number'),
        (service(slots=True), 'spec.slots', 'a whole number'),
        (service(slots=0), 'spec.slots', '1 to 10000'),
        (service(connect_cost_s=6), 'spec.connect_cost_s', 'connect_cost_ms'),
        (service(connect_cost_ms='6ms'), 'spec.connect_cost_ms', 'milliseconds'),
        (service(connect_cost_ms=float('nan')), 'spec.connect_cost_ms', '0 to'),
        (service(servers=[]), 'spec.servers', '1 to 12000 servers'),
        (service(servers='a'), 'spec.servers', 'a list of servers'),
        (service(servers=[7]), 'spec.servers[0]', 'a mapping'),
        (service(servers=[SERVER, SERVER]), 'spec.servers', 'distinct'),
        (service_with_server(address='pub:80'), 'spec.servers[0].address', 'IP number'),
        (service_with_server(address='127.0.0.1:0'), 'spec.servers[0].address', 'port'),
        (service_with_server(address='127.0.0.1'), 'spec.servers[0].address', 'port'),
        (service_with_server(zone='de'), 'spec.servers[0].zone', 'one of name'),
        (service_with_server(version=1.1), 'spec.servers[0].version', 'a string'),
        (search(timeout_s=1), 'spec.timeout_s', 'timeout_ms'),
        (search(timeout_ms=0), 'spec.timeout_ms', '1 to 600000'),
        (search(urgency=10), 'spec.urgency', '1 to 9'),
        (search(services=[]), 'spec.services', 'distinct names'),
        (search(services=['a', 'a']), 'spec.services', 'distinct names'),
        (search(services='a'), 'spec.services', 'a list of strings'),
        (search(hits_max=-1), 'spec.hits_max', '1 to 10000'),
        (move(finish_by='tomorrow'), 'spec.finish_by', 'RFC 3339'),
        (move(finish_by='2030-01-31T18:00:00'), 'spec.finish_by', 'offset'),
        (move(to_version='v1'), 'spec.to_version', 'other than from_version'),
        (move(generation=0), 'spec.generation', '1 to'),
        (data_centre(state='gone'), 'spec.state', 'one of in, out'),
        (data_centre(name='no spaces'), 'name', 'letters'),
        (data_centre(name=''), 'name', 'letters'),
        ({'kind': 'shop', 'name': 'x', 'spec': {}}, 'kind', 'one of service'),
        ({'kind': ['x'], 'name': 'x', 'spec': {}}, 'kind', 'one of service'),
        ({**data_centre(), 'status': {}}, 'status', 'one of kind'),
        ({**data_centre(), 'revision': -1}, 'revision', 'whole number'),
        ({**data_centre(), 'spec': None}, 'spec', 'a mapping'),
        ({'kind': 'search', 'name': 'x', 'spec': {}}, 'spec.services', 'required'),
    ],
)
def test_invalid_field_is_reported_with_expected_values(document, field, expected):
    named = [problem for problem in problems_of(document) if problem.field == field]
    assert len(named) == 1
    assert expected in named[0].expected


def test_all_problems_of_a_file_are_reported_together():
    text = """
kind: service
name: shard-1
spec: {slots: 0, servers: [{name: a}]}
---
kind: search
name: cellar
spec: {services: [shard-1], timeout: 3}
"""
    with pytest.raises(InvalidResources) as caught:
        decode_documents(text, 'wales.yaml')
    assert {(problem.document, problem.field) for problem in caught.value.problems} == {
        ('service/shard-1', 'spec.connect_cost_ms'),
        ('service/shard-1', 'spec.connections_max'),
        ('service/shard-1', 'spec.servers[0].address'),
        ('service/shard-1', 'spec.servers[0].data_centre'),
        ('service/shard-1', 'spec.servers[0].version'),
        ('search/cellar', 'spec.timeout'),
        ('search/cellar', 'spec.timeout_ms'),
    }


@pytest.mark.parametrize(
    'text',
    [
        b'\xff\xfe\x00',
        'kind: [',
        '{"kind": "search", "kind": "service"}',
        '[' * 100_000,
        'just a text',
    ],
)
def test_invalid_yaml_document_is_rejected(text):
    with pytest.raises(InvalidResources):
        decode_documents(text)


@pytest.mark.parametrize(
    'text', [b'\xff', b'{', b'[' * 1_000_000, b'7', b'"x"', b'{"kind": 1}']
)
def test_invalid_json_document_is_rejected(text):
    with pytest.raises(InvalidResources):
        decode_json_documents(text)


def test_nested_yaml_aliases_give_bounded_message():
    levels = ['l0: &l0 [x, x]']
    levels.extend(
        f'l{level}: &l{level} [*l{level - 1}, *l{level - 1}]' for level in range(1, 30)
    )
    text = '\n'.join(levels)
    with pytest.raises(InvalidResources) as caught:
        decode_documents(f'kind: datacentre\nname: de\nspec: {{}}\n{text}')
    assert max(len(problem.got) for problem in caught.value.problems) < 2000


def test_unquoted_yaml_timestamp_is_decoded_as_string():
    text = """
kind: versionmove
name: to-v2
spec:
  service: shard-1
  from_version: v1
  to_version: v2
  finish_by: 2030-01-31T18:00:00Z
"""
    assert decode_documents(text)[0].spec.finish_by == '2030-01-31T18:00:00Z'


def test_duplicate_resource_is_rejected():
    with pytest.raises(InvalidResources) as caught:
        decode_json_documents(
            b'[{"kind":"datacentre","name":"de","spec":{}},'
            b'{"kind":"datacentre","name":"de","spec":{"state":"out"}}]'
        )
    assert caught.value.problems[0].field == 'name'


def test_omitted_fields_get_defaults():
    assert decode_document(search()) == Resource(
        Kind.SEARCH, 'cellar', SearchSpec(('shard-1',), 300)
    )


VALID_DOCUMENTS = (data_centre(), service(), search())


@pytest.mark.parametrize(
    ('documents', 'document', 'field'),
    [
        (VALID_DOCUMENTS[1:], 'service/shard-1', 'spec.servers[0].data_centre'),
        ((VALID_DOCUMENTS[0], VALID_DOCUMENTS[2]), 'search/cellar', 'spec.services[0]'),
        ((*VALID_DOCUMENTS, move(service='x')), 'versionmove/to-v2', 'spec.service'),
        ((*VALID_DOCUMENTS, move()), 'versionmove/to-v2', 'spec.to_version'),
        (
            (*VALID_DOCUMENTS, move(from_version='v0', to_version='v1')),
            'versionmove/to-v2',
            'spec.from_version',
        ),
        (
            (*VALID_DOCUMENTS, {**service(), 'name': 'shard-2'}),
            'service/shard-2',
            'spec.servers[0].name',
        ),
    ],
)
def test_dangling_reference_is_reported(documents, document, field):
    resources = [decode_document(found) for found in documents]
    problems = check_configuration(resources)
    assert [(problem.document, problem.field) for problem in problems] == [
        (document, field)
    ]


def test_valid_references_give_no_problems():
    assert not check_configuration(map(decode_document, VALID_DOCUMENTS))


def test_encoding_is_independent_of_resource_order():
    resources = [decode_document(found) for found in VALID_DOCUMENTS]
    one = configuration_from_resources(3, resources)
    other = configuration_from_resources(3, reversed(resources))
    assert encode_configuration(one) == encode_configuration(other)
    assert decode_configuration(encode_configuration(one)) == one


def test_unknown_stored_field_is_ignored():
    encoded = (
        b'{"revision":2,"later":1,"resources":[{"kind":"datacentre","name":"de",'
        b'"spec":{"state":"out","later":1},"revision":2}]}'
    )
    assert decode_configuration(encoded) == Configuration(
        2,
        (Resource(Kind.DATA_CENTRE, 'de', DataCentreSpec(DataCentreState.OUT), 2),),
    )


def test_problem_without_value_is_formatted():
    assert str(ResourceProblem('search/x', 'spec.urgency', '', 'a number')) == (
        'search/x: spec.urgency: got nothing, expected a number'
    )
