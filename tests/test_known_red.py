from tests.known_red import read_known_red


def test_known_red_ids_are_read_from_test_lines():
    text = 'test: a::b\ncommand: make test\nseen: x\n\ntest: c::d[1]\n'
    assert read_known_red(text) == ('a::b', 'c::d[1]')
