"""One holder at a time reports each window once, whatever fails."""

import pytest

from cowsliploom.usage.tests.duty_simulation import (
    RULES,
    Simulation,
    different_reports,
    falling_tokens,
    returns_within_lease,
    shared_tokens,
)

SEEDS = range(60)
STEPS = 1500


@pytest.fixture(scope='module', params=SEEDS)
def simulation(request):
    """Return a simulation of a random history that ends in calm."""
    played = Simulation(request.param)
    played.run(STEPS)
    for member in played.members:
        member.is_cut = False
        member.frozen_until_ms = 0
    played.run(300, has_faults=False)
    return played


@pytest.mark.parametrize('violations', [falling_tokens, shared_tokens])
def test_tokens_only_rise_and_belong_to_one_holder(simulation, violations):
    assert not violations(simulation.calls)


def test_no_two_holders_act_in_turn_within_the_life_of_a_lease(simulation):
    assert not returns_within_lease(simulation.calls)


def test_no_window_is_reported_twice_with_different_counts(simulation):
    assert not different_reports(simulation.calls)


def test_reports_go_on_in_time_once_the_faults_have_ended(simulation):
    reported = max(call.report.window for call in simulation.calls)
    due = RULES.window_at(simulation.now_ms - RULES.window_ms - RULES.late_ms)
    assert reported >= due


def test_calm_reports_each_window_once_and_in_time():
    calm = Simulation(1)
    calm.run(1000, has_faults=False)
    windows = sorted({call.report.window for call in calm.calls})
    assert not different_reports(calm.calls)
    assert windows == list(range(windows[0], windows[0] + len(windows)))
    assert len(windows) >= 16
    for call in calm.calls:
        end_ms = (call.report.window + 1) * RULES.window_ms
        assert end_ms < call.now_ms < end_ms + RULES.late_ms
