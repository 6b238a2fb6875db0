"""Operator daemon and command-line tool as processes, under kills and outages."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest
import urllib3

from tests.processes.builds import select_build

pytestmark = pytest.mark.processes

DAEMON, TOOL = 1, 2  # process numbers; each may run a different checkout

FILE = '{kind: datacentre, name: de, spec: {state: out}}'
PATH = '/v1/resources/datacentre/de'


def start(module, *flags):
    build = select_build(DAEMON)
    process = subprocess.Popen(
        [build.python, '-c', f'from {module} import main; main()', *flags],
        cwd=build.folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    drained = threading.Thread(target=process.stderr.read, daemon=True)
    drained.start()
    process.ready = json.loads(process.stdout.readline())
    return process, process.ready['ready']


@contextlib.contextmanager
def running(module, *flags):
    process, address = start(module, *flags)
    with contextlib.ExitStack() as stack:
        stack.callback(process.stdout.close)
        stack.callback(process.wait, 10)
        stack.callback(process.kill)
        yield process, address


@pytest.fixture
def store():
    with running('cowsliploom.standins.platform') as (_, address):
        yield address


@contextlib.contextmanager
def operator(store, *flags):
    base = ('--store', store, '--listen', '127.0.0.1:0')
    place = ('--data-centre', 'de', '--name', 'op-1', '--shutdown-notice-ms', '200')
    with running('cowsliploom.daemons.operator', *base, *place, *flags) as started:
        yield started


@pytest.fixture
def http():
    with urllib3.PoolManager(retries=False, timeout=15) as pool:
        yield pool


def put(http, address, headers=None):
    return http.request(
        'PUT', f'http://{address}{PATH}', body=b'{"spec":{}}', headers=headers
    )


def ctl(*arguments, stdin=None):
    code = 'from cowsliploom.cli.ctl import main; main()'
    build = select_build(TOOL)
    return subprocess.run(
        [build.python, '-c', code, *arguments],
        cwd=build.folder,
        input=stdin,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def set_faults(http, store, **faults):
    body = json.dumps(faults)
    answer = http.request('PUT', f'http://{store}/admin/faults', body=body)
    assert answer.status == 200


def test_accepted_change_survives_daemon_kill(store, http):
    with operator(store) as (process, address):
        assert put(http, address).status == 200
        process.send_signal(signal.SIGKILL)
        process.wait(10)
    with operator(store) as (_, address):
        found = http.request('GET', f'http://{address}{PATH}')
        assert json.loads(found.data)['spec'] == {'state': 'in'}


def test_tool_completes_change_on_next_daemon_after_kill(store, http):
    set_faults(http, store, mode='slow', delay_ms=400, key_prefix='config/head')
    with operator(store) as (killed, first), operator(store) as (_, second):
        servers = ('--server', first, '--server', second, '--output', 'json')
        threading.Timer(1, killed.kill).start()
        ended = ctl(*servers, 'apply', '-f', '-', stdin=FILE)
        assert ended.returncode == 0, ended.stderr
        set_faults(http, store, mode='ok')
        accepted = json.loads(ended.stdout)
        listed = json.loads(http.request('GET', f'http://{second}/v1/resources').data)
        assert listed['revision'] == accepted['revision'] == 1


def test_store_outage_is_reported_and_change_succeeds_after_recovery(store, http):
    with operator(store, '--write-timeout-ms', '1000') as (_, address):
        set_faults(http, store, mode='down')
        refused = put(http, address)
        assert refused.status in {503, 504}
        set_faults(http, store, mode='ok')
        change_id = json.loads(refused.data)['change_id']
        assert put(http, address, {'Change-Id': change_id}).status == 200


def test_sigterm_drains_and_exits_with_zero(store, http):
    with operator(store) as (process, address):
        answers = []
        set_faults(http, store, mode='slow', delay_ms=500, key_prefix='config/head')
        caller = threading.Thread(target=lambda: answers.append(put(http, address)))
        caller.start()
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        assert process.wait(15) == 0
        caller.join(5)
        assert [answer.status for answer in answers] == [200]


def test_second_sigterm_exits_at_once(store, http):
    with operator(store, '--shutdown-notice-ms', '30000') as (process, address):
        assert http.request('GET', f'http://{address}/readyz').status == 200
        process.send_signal(signal.SIGTERM)
        wait_until(
            lambda: http.request('GET', f'http://{address}/readyz').status == 503
        )
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 1


def wait_until(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_tool_skips_stopped_daemon(store):
    with operator(store) as (stopped, first), operator(store) as (_, second):
        os.kill(stopped.pid, signal.SIGSTOP)
        servers = ('--server', first, '--server', second)
        ended = ctl(
            *servers, '--attempt-timeout-ms', '700', 'apply', '-f', '-', stdin=FILE
        )
        os.kill(stopped.pid, signal.SIGCONT)
        assert (ended.returncode, ended.stdout) == (0, 'accepted at revision 1\n')
        again = ctl('--server', first, 'status')
        assert again.stdout.splitlines()[1].split()[0] == '1'


def test_applied_file_is_in_force_on_all_entry_vms_in_time(store, http):
    with contextlib.ExitStack() as stack:
        entries = [stack.enter_context(entry(store, name)) for name in ENTRY_NAMES]
        publish_vms(http, store, entries)
        flags = [flag for each in entries for flag in ('--entry', each['ready'])]
        _, address = stack.enter_context(operator(store, *flags))
        server = ('--server', address)
        assert ctl(*server, 'apply', '-f', 'examples/wales.yaml').returncode == 0
        waited = ctl(*server, 'wait', 'revision', '--for-ms', '8000')
        assert (waited.returncode, 'in force on all 3' in waited.stdout) == (0, True)


ENTRY_NAMES = ('entry-1', 'entry-2', 'entry-3')


@contextlib.contextmanager
def entry(store, name):
    flags = ('--store', store, '--data-centre', 'de', '--name', name)
    module = 'cowsliploom.daemons.entry'
    with running(module, *flags, '--drain-notice-ms', '0') as (process, _):
        yield {**process.ready, 'name': name}


def publish_vms(http, store, entries):
    vms = [
        {
            'name': each['name'],
            'role': 'entry',
            'address': each['peer'],
            'data_centre': 'de',
            'state': 'live',
        }
        for each in entries
    ]
    body = json.dumps({'vms': vms, 'store_ms': 0})
    answer = http.request('PUT', f'http://{store}/admin/vms', body=body)
    assert answer.status == 200


@pytest.mark.parametrize(
    ('flags', 'reported'),
    [
        (('--threads', '0', '--store', 'x'), ('--threads', '--store', '--name')),
        (('--entry', 'x', '--heartbeat-ms', '-1'), ('--entry', '--heartbeat-ms')),
    ],
)
def test_all_invalid_settings_are_reported_together(flags, reported):
    command = 'from cowsliploom.daemons.operator import main; main()'
    ended = subprocess.run(
        [sys.executable, '-c', command, *flags],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert ended.returncode == 2
    assert all(f'{name}: got' in ended.stderr for name in reported)
