import pytest

from cowsliploom.protocol import ServerState
from cowsliploom.standins._reports import ReportHistory, Reports
from cowsliploom.standins._server_model import ServerModel
from cowsliploom.standins._server_settings import ServerFaults, ServerSettings


@pytest.mark.parametrize(
    ('lag_ms', 'reported'), [(0, 'at 30'), (10, 'at 20'), (15, 'at 10'), (99, 'at 10')]
)
def test_returned_report_is_at_least_lag_old(lag_ms, reported):
    reports = ReportHistory()
    reports.record('at 10', lag_ms, 10)
    reports.record('at 20', lag_ms, 20)
    assert reports.record('at 30', lag_ms, 30) == reported


def test_health_lie_changes_health_report_only():
    model = ServerModel(ServerSettings('a1', 'a', cold_start=True), 'one')
    model.faults = ServerFaults(health_lie=ServerState.LIVE)
    assert Reports(model).health(0).state is ServerState.LIVE
    assert model.state is ServerState.COLD


@pytest.mark.parametrize(('hidden', 'allowance'), [(False, 1), (True, 2)])
def test_load_report_has_cold_allowance_unless_hidden(hidden, allowance):
    model = ServerModel(ServerSettings('a1', 'a', cold_start=True), 'one')
    model.faults = ServerFaults(cold_hidden=hidden)
    assert Reports(model).load(0).cold_allowance == allowance
