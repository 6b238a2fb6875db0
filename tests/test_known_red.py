from tests.known_red import read_known_red


def test_entries_are_read_by_their_test_line():
    text = 'test: a::b\ncommand: make test\nseen: x\n\ntest: c::d[1]\n'
    assert read_known_red(text) == ('a::b', 'c::d[1]')
