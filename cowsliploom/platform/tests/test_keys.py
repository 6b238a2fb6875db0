"""Keys of callers, on the wire and in the operator's configuration."""

import msgspec
import pytest

from cowsliploom.forwarding import NO_WORKSPACE, ErrorReply, Outcome, Workspace
from cowsliploom.platform import (
    DocumentError,
    decode_configuration,
    read_request,
    render_call_head,
    render_error,
)

ADA = Workspace('ada')


def head_of(headers, workspace, has_workspaces=True):
    """Return what a backend server gets of a request with these headers."""
    request = read_request(
        'GET', '/x', [('Host', 'h'), *headers], b'', 0, has_workspaces=has_workspaces
    )
    return render_call_head(request, workspace), request.key


@pytest.mark.parametrize(
    ('headers', 'workspace', 'key', 'sent'),
    [
        ([('Key', 'k')], ADA, 'k', ['tenant: ada']),
        ([('KEY', 'k'), ('tenant', 'bea')], ADA, 'k', ['tenant: ada']),
        ([('Tenant', 'bea')], NO_WORKSPACE, '', []),
        ([('Key', 'k'), ('key', 'l')], NO_WORKSPACE, '', []),
        ([('Key', 'k'), ('Connection', 'tenant')], ADA, 'k', ['tenant: ada']),
    ],
)
def test_backend_server_gets_the_workspace_and_never_the_key(
    headers, workspace, key, sent
):
    head, read_key = head_of(headers, workspace)
    lines = head.lower().split('\r\n')
    assert read_key == key
    assert [each for each in lines if each.startswith(('key:', 'tenant:'))] == sent


def test_without_workspaces_headers_pass_as_before():
    head, key = head_of(
        [('Key', 'k'), ('Tenant', 'b')], NO_WORKSPACE, has_workspaces=False
    )
    assert (key, 'Key: k' in head, 'Tenant: b' in head) == ('', True, True)


@pytest.mark.parametrize(
    ('outcome', 'status'), [(Outcome.NO_KEY, 401), (Outcome.NOT_ALLOWED, 403)]
)
def test_denials_have_their_status(outcome, status):
    assert render_error('r', ErrorReply(outcome, 'x')).status == status


def configuration(*workspaces):
    """Return a configuration with workspaces, as written."""
    return msgspec.json.encode({'version': 1, 'routes': [], 'tenants': workspaces})


def test_workspaces_are_found_by_their_keys_only():
    text = configuration(
        {'name': 'ada', 'apiKeys': ['k-1', 'k-2'], 'priority': 1},
        {'name': 'bea', 'apiKeys': []},
    )
    table = decode_configuration(text).workspaces
    assert table.find('k-2') == Workspace('ada', rank=1)
    assert table.find('') is None
    assert 'k-1' not in repr(table)


@pytest.mark.parametrize(
    ('workspaces', 'reason'),
    [
        (
            [{'name': 'a', 'apiKeys': ['k']}, {'name': 'b', 'apiKeys': ['k']}],
            'the same key',
        ),
        ([{'name': 'a\r\nx: y', 'apiKeys': ['k']}], 'workspace name'),
        ([{'name': '', 'apiKeys': ['k']}], 'workspace name'),
        ([{'name': 'a', 'apiKeys': ['\u20ac']}], 'no header can hold'),
    ],
)
def test_workspaces_that_can_not_be_told_apart_are_refused(workspaces, reason):
    with pytest.raises(DocumentError, match=reason):
        decode_configuration(configuration(*workspaces))
