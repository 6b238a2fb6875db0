"""A gateway treats truncated answers of backend servers as failures."""

import pytest

from tests.processes.addresses import HOST_PREFIX
from tests.processes.gateway_world import ask, run_script

pytestmark = pytest.mark.processes

CUTS = (b'Server-Load', b'Content-Length', b'\r\n\r\n', b'EEEE')


@pytest.mark.parametrize('cut_before', CUTS)
@pytest.mark.parametrize('path', ['/once/x', '/single/x'])
def test_truncated_answer_becomes_bad_gateway(tmp_path, path, cut_before):
    """Guard against a 200 with an empty body that is framed as complete."""

    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.truncate_before = cut_before
        answer = await ask(f'{HOST_PREFIX}.2:18100', path, 'POST', b'x')
        assert answer.status == 502
        assert 'Response-Signature' not in dict(answer.headers)

    run_script(tmp_path, script)


@pytest.mark.parametrize('cut_before', [b'Server-Load', b'\r\n\r\n', b'DDDD'])
def test_truncated_part_counts_as_missing(tmp_path, cut_before):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['s3'].faults.truncate_before = cut_before
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x')
        headers = dict(answer.headers)
        assert headers['Missing-Parts'] == '1'
        assert 'i-s3' not in headers['Part-Stamps']
        assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16

    run_script(tmp_path, script)
