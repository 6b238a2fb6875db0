"""Requests are served as the workspace's that holds their key, or not at all."""

import pytest

from cowsliploom.forwarding import (
    NO_WORKSPACE,
    AccessRules,
    CallerRequest,
    Exchange,
    Outcome,
    Route,
    RouteTable,
    WeightedService,
    Workspace,
    WorkspaceTable,
    key_digest,
)
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher

ADA, BEA = Workspace('ada', rank=2), Workspace('bea')
KEYS = {'k-ada': ADA, 'k-ada-2': ADA, 'k-bea': BEA}


def route(prefix, **changes):
    """Return a route."""
    services = (WeightedService('one', 1),)
    return Route(prefix, 'h', prefix, True, 2, 800, 50, services=services, **changes)


ROUTES = (
    route('/all/'),
    route('/open/', is_public=True),
    route('/ada/', workspaces=frozenset(('ada',))),
)


def dispatcher_with(keys, is_current=True, age_ms=0, is_strict=False):
    """Return a dispatcher whose workspaces hold keys."""
    dispatcher = make_dispatcher()
    by_digest = {key_digest(key): KEYS[key] for key in keys}
    workspaces = WorkspaceTable(by_digest)
    dispatcher.apply_table(RouteTable(4, ROUTES, workspaces=workspaces))
    dispatcher.access.is_current = lambda now_ms: is_current
    dispatcher.access.confirmed_age_ms = lambda now_ms: age_ms
    dispatcher.access.rules = AccessRules(is_strict, revoke_ms=5000)
    return dispatcher


def ask(dispatcher, key='', path='/all/x'):
    """Open a request with a key."""
    caller = CallerRequest('r', 'GET', 'h', path, (), b'', 0, 800, key=key)
    return dispatcher.open(caller)


@pytest.mark.parametrize(
    ('path', 'key', 'expected'),
    [
        ('/all/x', 'k-ada', ADA),
        ('/all/x', 'k-ada-2', ADA),
        ('/all/x', 'k-bea', BEA),
        ('/all/x', '', Outcome.NO_KEY),
        ('/all/x', 'k-ad', Outcome.NO_KEY),
        ('/open/x', '', NO_WORKSPACE),
        ('/open/x', 'unknown', NO_WORKSPACE),
        ('/open/x', 'k-bea', BEA),
        ('/ada/x', 'k-ada', ADA),
        ('/ada/x', 'k-bea', Outcome.NOT_ALLOWED),
        ('/none/x', 'k-bea', Outcome.NO_ROUTE),
    ],
)
def test_request_is_served_as_its_workspaces_or_denied(path, key, expected):
    opened = ask(dispatcher_with(KEYS), key, path)
    found = opened.workspace if isinstance(opened, Exchange) else opened.outcome
    assert found == expected


@pytest.mark.parametrize('key', ['', 'new-key'])
def test_key_is_not_denied_for_good_while_the_configuration_may_be_old(key):
    reply = ask(dispatcher_with(KEYS, is_current=False), key)
    assert reply.outcome is Outcome.REFUSED
    assert reply.retry_after_ms > 0


@pytest.mark.parametrize(
    ('is_strict', 'age_ms', 'is_served'),
    [(False, 60_000, True), (True, 4999, True), (True, 5001, False)],
)
def test_strict_rules_accept_no_key_that_may_be_withdrawn(is_strict, age_ms, is_served):
    opened = ask(dispatcher_with(KEYS, age_ms=age_ms, is_strict=is_strict), 'k-ada')
    assert isinstance(opened, Exchange) is is_served
    assert is_served or opened.outcome is Outcome.REFUSED


def test_withdrawn_key_is_denied_from_the_next_version_on():
    dispatcher = dispatcher_with(KEYS)
    assert isinstance(ask(dispatcher, 'k-ada'), Exchange)
    left = WorkspaceTable({key_digest('k-bea'): BEA})
    dispatcher.apply_table(RouteTable(5, ROUTES, workspaces=left))
    assert ask(dispatcher, 'k-ada').outcome is Outcome.NO_KEY
    assert isinstance(ask(dispatcher, 'k-bea'), Exchange)


def test_without_workspaces_no_key_is_needed():
    assert ask(dispatcher_with({})).workspace is NO_WORKSPACE


def test_key_is_not_part_of_the_representation_of_a_request():
    assert 'k-ada' not in repr(
        CallerRequest('r', 'GET', 'h', '/', (), b'', 0, 1, key='k-ada')
    )


@pytest.mark.parametrize(
    ('unreachable', 'is_served'), [((), True), (('/all/',), False), (('/ada/',), True)]
)
def test_route_out_of_reach_is_refused_at_once(unreachable, is_served):
    """Requests waited until their deadline in a data centre that was cut off."""
    dispatcher = dispatcher_with(KEYS)
    dispatcher.access.unreachable = frozenset(unreachable)
    opened = ask(dispatcher, 'k-ada')
    assert isinstance(opened, Exchange) is is_served
    assert is_served or opened.outcome is Outcome.REFUSED
    assert is_served or opened.retry_after_ms > 0
