"""Where a request would go is told by the code that decides, and changes nothing."""

import pytest

from cowsliploom.forwarding import (
    CallerRequest,
    LoadReport,
    ServerNotice,
    ServerState,
    explain_request,
)
from cowsliploom.forwarding._server_choice import CallLimits
from cowsliploom.forwarding.tests.dispatcher_harness import make_dispatcher, record
from cowsliploom.forwarding.tests.test_access import KEYS, dispatcher_with

NOW_MS = 1000


def ask(dispatcher, path, key=''):
    """Return the explanation of a request."""
    caller = CallerRequest('r', 'GET', 'h', path, (), b'', NOW_MS, 800, key=key)
    return explain_request(dispatcher, caller)


def standings(explanation):
    """Return the standing of each server."""
    return {
        candidate.server: candidate.standing
        for destination in explanation.destinations
        for candidate in destination.candidates
    }


def chosen(dispatcher):
    """Return the servers that are chosen for calls."""
    limits = CallLimits(10, 100)
    picks = (dispatcher.fleet.choose('one', (), NOW_MS, limits) for _ in range(30))
    return [pick.name for pick in picks]


def test_each_server_is_told_with_its_standing():
    dispatcher = make_dispatcher(servers=0)
    fleet = dispatcher.fleet
    changes = {
        'good': {},
        'cold': {'cold_ms': 9000},
        'draining': {'state': ServerState.DRAINING},
        'paused': {},
        'leaving': {},
        'full': {},
        'away': {'data_centre': 'gogledd'},
        'shut': {'data_centre': 'cymoedd'},
    }
    fleet.update([record(name, 'one', **some) for name, some in changes.items()], 0)
    fleet.closed_data_centres = frozenset(('cymoedd',))
    fleet.apply_notice(fleet.get('paused'), ServerNotice(pause_ms=5000), 0)
    fleet.apply_notice(fleet.get('leaving'), ServerNotice(is_leaving=True), 0)
    fleet.get('full').full_until_ms = 2000
    fleet.get('good').update_load(LoadReport(1, 0, 2), NOW_MS - 40)
    explanation = ask(dispatcher, '/safe/x')
    assert standings(explanation) == {
        **dict.fromkeys(('good', 'away'), 'usable'),
        **{name: name for name in ('cold', 'draining', 'paused', 'leaving', 'full')},
        'shut': 'data centre closed',
    }
    first = explanation.destinations[0].candidates[0]
    assert (first.server, first.load_age_ms) == ('good', 40)


@pytest.mark.parametrize(
    ('path', 'key', 'outcome', 'workspace'),
    [
        ('/all/x', 'k-ada', '', 'ada'),
        ('/all/x', 'k-no', 'no key', ''),
        ('/ada/x', 'k-bea', 'not allowed', ''),
        ('/none/x', '', 'no route', ''),
    ],
)
def test_denials_are_told_without_the_key(path, key, outcome, workspace):
    explanation = ask(dispatcher_with(KEYS), path, key)
    assert (explanation.outcome, explanation.workspace) == (outcome, workspace)
    assert key not in repr(explanation) or not key


@pytest.mark.parametrize('path', ['/safe/x', '/wide/x', '/once/x'])
def test_asking_changes_nothing(path):
    asked, other = make_dispatcher(), make_dispatcher()
    for _ in range(5):
        ask(asked, path)
    assert chosen(asked) == chosen(other)
    assert asked.fleet.leaving.counts == other.fleet.leaving.counts
