"""The example deployments are valid, of production size, and up to date."""

import pathlib
import runpy

import pytest

from cowsliploom.resources import Kind, check_configuration, decode_documents

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'


@pytest.mark.parametrize(
    ('name', 'counts'),
    [
        ('wales', {Kind.DATA_CENTRE: 3, Kind.SERVICE: 52, Kind.SEARCH: 3}),
        ('semenanjung', {Kind.DATA_CENTRE: 4, Kind.SERVICE: 52, Kind.SEARCH: 3}),
    ],
)
def test_example_is_valid_and_has_expected_kind_counts(name, counts):
    resources = decode_documents((EXAMPLES / f'{name}.yaml').read_bytes())
    assert not check_configuration(resources)
    kinds = [resource.kind for resource in resources]
    assert {kind: kinds.count(kind) for kind in counts} == counts


def test_example_files_match_generator_output():
    script = runpy.run_path(str(EXAMPLES / 'make_deployments.py'))
    for deployment in (script['WALES'], script['SEMENANJUNG']):
        content = (EXAMPLES / f'{deployment.name}.yaml').read_text()
        assert content == script['render_deployment'](deployment)
