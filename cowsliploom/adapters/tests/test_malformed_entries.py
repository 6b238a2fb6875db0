"""A malformed VM entry or address affects neither other entries nor other calls."""

import queue

import msgspec
import pytest

from cowsliploom.adapters import (
    BackendServer,
    CallRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    HttpStore,
    SystemClock,
)
from cowsliploom.adapters.tests.test_truncated_responses import CALL
from cowsliploom.protocol import Ran

TIMEOUT_MS = 2000
VALID = {
    'name': 'vm-1',
    'role': 'backend',
    'address': '127.0.0.1:8100',
    'data_centre': 'de',
    'state': 'leaving',
}
DEEP = b'[' * 100_000 + b']' * 100_000
MALFORMED = {
    'nested': b'{"name":' + DEEP + b'}',
    'port': msgspec.json.encode({**VALID, 'address': '127.0.0.1:99999'}),
    'number': msgspec.json.encode({**VALID, 'address': 10**30}),
    'state': msgspec.json.encode({**VALID, 'state': 'asleep'}),
}


@pytest.mark.parametrize('case', MALFORMED)
def test_malformed_vm_entry_leaves_other_entries_readable(case):
    valid = msgspec.json.encode(VALID)
    body = b'{"vms":[' + MALFORMED[case] + b',' + valid + b'],"store_ms":1}'
    response = HttpResponse(200, body)
    settings = HttpServerSettings()
    with HttpServer('127.0.0.1:0', lambda _: response, settings) as server:
        with HttpStore(server.address) as store:
            listed = store.list_vms(TIMEOUT_MS)
    assert [vm.name for vm in listed.vms] == ['vm-1']
    assert len(listed.unreadable) == 1


@pytest.mark.parametrize('address', ['127.0.0.1:99999', '127.0.0.1:x', 'é:80', ''])
def test_call_to_invalid_address_fails_at_once_and_has_not_run(address):
    clock, outcomes = SystemClock(), queue.SimpleQueue()
    with BackendServer(
        'b', address, lambda *reported: outcomes.put(reported), clock
    ) as server:
        for number in range(2):
            call = CallRequest(f'c-{number}', CALL, clock.now_ms() + TIMEOUT_MS)
            server.call(call, 1)
            assert outcomes.get(timeout=1)[-1].ran is Ran.NO
