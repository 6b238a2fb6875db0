"""Invalid settings are reported together."""

import click
import pytest

from cowsliploom.daemons._settings import SettingsChecker


@pytest.mark.parametrize(
    ('check', 'arguments', 'expected'),
    [
        ('check_address', ('--store', '127.0.0.1:80'), '127.0.0.1:80'),
        ('check_address', ('--store', '[::1]:80'), '[::1]:80'),
        ('check_listen_address', ('--listen', '127.0.0.1:0'), '127.0.0.1:0'),
        ('check_addresses', ('--entry', ('127.0.0.1:1',)), ('127.0.0.1:1',)),
        ('check_name', ('--name', 'entry-1'), 'entry-1'),
        ('check_positive_ms', ('--wait-ms', '0.5'), 0.5),
        ('check_not_negative_ms', ('--wait-ms', '0'), 0),
        ('check_count', ('--threads', '8', 1, 64), 8),
    ],
)
def test_valid_value_is_returned(check, arguments, expected):
    checker = SettingsChecker()
    assert getattr(checker, check)(*arguments) == expected
    checker.raise_problems()


@pytest.mark.parametrize(
    ('check', 'arguments'),
    [
        ('check_address', ('--store', 'store:80')),
        ('check_address', ('--store', '127.0.0.1:0')),
        ('check_address', ('--store', '')),
        ('check_listen_address', ('--listen', '127.0.0.1:70000')),
        ('check_listen_address', ('--listen', ':0')),
        ('check_name', ('--name', 'no spaces')),
        ('check_positive_ms', ('--wait-ms', '0')),
        ('check_positive_ms', ('--wait-ms', 'nan')),
        ('check_positive_ms', ('--wait-ms', 'inf')),
        ('check_positive_ms', ('--wait-ms', '5s')),
        ('check_not_negative_ms', ('--wait-ms', '-1')),
        ('check_count', ('--threads', '0', 1, 64)),
        ('check_count', ('--threads', '65', 1, 64)),
        ('check_count', ('--threads', '1.5', 1, 64)),
    ],
)
def test_invalid_value_is_reported_by_name(check, arguments):
    checker = SettingsChecker()
    getattr(checker, check)(*arguments)
    assert [problem.name for problem in checker.problems] == [arguments[0]]


def test_all_invalid_values_are_reported_in_one_error():
    checker = SettingsChecker()
    checker.check_address('--store', 'nowhere')
    checker.check_positive_ms('--read-timeout-ms', 'soon')
    with pytest.raises(click.UsageError) as caught:
        checker.raise_problems()
    assert caught.value.exit_code == 2
    assert caught.match("--store: got 'nowhere', expected host:port")
    assert caught.match("--read-timeout-ms: got 'soon', expected a number")
