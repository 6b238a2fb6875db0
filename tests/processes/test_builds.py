"""Every second process of a test runs the other checkout, where one is given."""

import sys

import pytest

from tests.processes.builds import HERE, select_build


@pytest.mark.parametrize(('parity', 'numbers'), [('1', (1, 3)), ('0', (2, 4))])
def test_every_second_process_runs_the_other_checkout(
    monkeypatch, tmp_path, parity, numbers
):
    monkeypatch.setenv('OTHER_CHECKOUT', str(tmp_path))
    monkeypatch.setenv('OTHER_PARITY', parity)
    chosen = [number for number in range(1, 5) if select_build(number).folder != HERE]
    assert tuple(chosen) == numbers
    other = select_build(numbers[0])
    assert other.folder == tmp_path.resolve()
    assert other.python == str(tmp_path.resolve() / '.venv' / 'bin' / 'python')


@pytest.mark.parametrize('number', [1, 2])
def test_all_processes_run_this_checkout_where_no_other_is_given(monkeypatch, number):
    monkeypatch.delenv('OTHER_CHECKOUT', raising=False)
    assert select_build(number).folder == HERE
    assert select_build(number).python == sys.executable
