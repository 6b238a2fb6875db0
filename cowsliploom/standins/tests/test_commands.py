import contextlib
import json
import signal
import socket
import subprocess
import sys

import pytest
import urllib3

from cowsliploom.standins.backend import read_settings_file, settings_from_flags

MODULES = ('cowsliploom.standins.platform', 'cowsliploom.standins.backend')


@contextlib.contextmanager
def start(module, *flags):
    code = f'from {module} import main; main()'
    command = [sys.executable, '-c', code, *flags]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            process.kill()


@pytest.mark.processes
@pytest.mark.parametrize(
    ('module', 'flags', 'path'),
    [
        (MODULES[0], ('--lag-ms', '10'), '/vms'),
        (MODULES[1], ('--leaving-grace-ms', '0'), '/v1/health'),
    ],
)
def test_command_prints_ready_line_and_exits_on_sigterm(module, flags, path):
    with start(module, *flags) as process:
        ready = json.loads(process.stdout.readline())
        status = urllib3.request('GET', f'http://{ready["ready"]}{path}').status
        process.send_signal(signal.SIGTERM)
        assert (status, process.wait(timeout=20)) == (200, 0)


@pytest.mark.processes
@pytest.mark.parametrize(
    ('module', 'flags'),
    [
        (MODULES[0], ('--listen', 'nowhere')),
        (MODULES[1], ('--listen', 'nowhere')),
        (MODULES[1], ('--snapshots', '7')),
        (MODULES[1], ('--slots', '0')),
    ],
)
def test_invalid_flag_exits_with_usage_status(module, flags):
    with start(module, *flags) as process:
        assert process.wait(timeout=20) == 2


def test_flags_are_converted_to_settings():
    settings = settings_from_flags(
        {'server': 'a1', 'service': 'a', 'snapshots': '7:0-10:20 8:0-20:20'}
    )
    assert [info.snapshot for info in settings.snapshots] == [7, 8]


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('[]', 'empty list'),
        ('- {server: a}', 'service'),
        ('- {server: 1}', 'server'),
        ('- {server: a, service: a, slot: 3}', 'slot'),
    ],
)
def test_invalid_servers_file_raises_value_error_with_field(tmp_path, text, problem):
    path = tmp_path / 'servers.yaml'
    path.write_text(text)
    with pytest.raises(ValueError, match=problem):
        read_settings_file(path)


@pytest.mark.processes
@pytest.mark.parametrize('module', MODULES)
def test_address_in_use_exits_with_failure_status(module):
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        with start(module, '--listen', f'127.0.0.1:{port}') as process:
            assert process.wait(timeout=20) == 1
