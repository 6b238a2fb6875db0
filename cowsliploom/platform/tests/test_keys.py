"""Keys of callers, on the wire and in the operator's configuration."""

import msgspec
import pytest

from cowsliploom.forwarding import NO_TENANT, ErrorReply, Outcome, Tenant
from cowsliploom.platform import (
    DocumentError,
    decode_configuration,
    read_request,
    render_call_head,
    render_error,
)

ADA = Tenant('ada')


def head_of(headers, tenant, has_tenants=True):
    """Return what a backend server gets of a request with these headers."""
    request = read_request(
        'GET', '/x', [('Host', 'h'), *headers], b'', 0, has_tenants=has_tenants
    )
    return render_call_head(request, tenant), request.key


@pytest.mark.parametrize(
    ('headers', 'tenant', 'key', 'sent'),
    [
        ([('Key', 'k')], ADA, 'k', ['tenant: ada']),
        ([('KEY', 'k'), ('tenant', 'bea')], ADA, 'k', ['tenant: ada']),
        ([('Tenant', 'bea')], NO_TENANT, '', []),
        ([('Key', 'k'), ('key', 'l')], NO_TENANT, '', []),
        ([('Key', 'k'), ('Connection', 'tenant')], ADA, 'k', ['tenant: ada']),
    ],
)
def test_backend_server_gets_the_tenant_and_never_the_key(headers, tenant, key, sent):
    head, read_key = head_of(headers, tenant)
    lines = head.lower().split('\r\n')
    assert read_key == key
    assert [each for each in lines if each.startswith(('key:', 'tenant:'))] == sent


def test_without_tenants_headers_pass_as_before():
    head, key = head_of([('Key', 'k'), ('Tenant', 'b')], NO_TENANT, has_tenants=False)
    assert (key, 'Key: k' in head, 'Tenant: b' in head) == ('', True, True)


@pytest.mark.parametrize(
    ('outcome', 'status'), [(Outcome.NO_KEY, 401), (Outcome.NOT_ALLOWED, 403)]
)
def test_denials_have_their_status(outcome, status):
    assert render_error('r', ErrorReply(outcome, 'x')).status == status


def configuration(*tenants):
    """Return a configuration with tenants, as written."""
    return msgspec.json.encode({'version': 1, 'routes': [], 'tenants': tenants})


def test_tenants_are_found_by_their_keys_only():
    text = configuration(
        {'name': 'ada', 'apiKeys': ['k-1', 'k-2'], 'priority': 1},
        {'name': 'bea', 'apiKeys': []},
    )
    table = decode_configuration(text).tenants
    assert table.find('k-2') == Tenant('ada', rank=1)
    assert table.find('') is None
    assert 'k-1' not in repr(table)


@pytest.mark.parametrize(
    ('tenants', 'reason'),
    [
        (
            [{'name': 'a', 'apiKeys': ['k']}, {'name': 'b', 'apiKeys': ['k']}],
            'the same key',
        ),
        ([{'name': 'a\r\nx: y', 'apiKeys': ['k']}], 'tenant name'),
        ([{'name': '', 'apiKeys': ['k']}], 'tenant name'),
        ([{'name': 'a', 'apiKeys': ['\u20ac']}], 'no header can hold'),
    ],
)
def test_tenants_that_can_not_be_told_apart_are_refused(tenants, reason):
    with pytest.raises(DocumentError, match=reason):
        decode_configuration(configuration(*tenants))
