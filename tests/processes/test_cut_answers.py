"""A gateway before backend servers that break off their answers."""

import pytest

from tests.processes.gateway_world import HOST_PREFIX, ask, play

pytestmark = pytest.mark.processes

CUTS = (b'Server-Load', b'Content-Length', b'\r\n\r\n', b'EEEE')


@pytest.mark.parametrize('cut_before', CUTS)
@pytest.mark.parametrize('path', ['/once/x', '/single/x'])
def test_an_answer_that_ends_in_its_head_is_no_success(tmp_path, path, cut_before):
    """Callers got a 200 with an empty body, framed as whole."""

    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['one'].faults.truncate_before = cut_before
        answer = await ask(f'{HOST_PREFIX}.2:18100', path, 'POST', b'x')
        assert answer.status == 502
        assert 'Response-Signature' not in dict(answer.headers)

    play(tmp_path, script)


@pytest.mark.parametrize('cut_before', [b'Server-Load', b'\r\n\r\n', b'DDDD'])
def test_a_part_that_ends_in_its_head_is_left_out(tmp_path, cut_before):
    async def script(world):
        await world.gateway(2)
        await world.ready(2)
        world.backends['s3'].faults.truncate_before = cut_before
        answer = await ask(f'{HOST_PREFIX}.2:18100', '/wide/x')
        headers = dict(answer.headers)
        assert headers['Missing-Parts'] == '1'
        assert 'i-s3' not in headers['Part-Stamps']
        assert answer.body == b'C' * 16 + b'B' * 16 + b'A' * 16

    play(tmp_path, script)
