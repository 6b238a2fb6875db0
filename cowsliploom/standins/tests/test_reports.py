import pytest

from cowsliploom.protocol import ServerState
from cowsliploom.standins._reports import LaggingReport, Reports
from cowsliploom.standins._server_model import ServerModel
from cowsliploom.standins._server_settings import ServerFaults, ServerSettings


@pytest.mark.parametrize(
    ('lag_ms', 'seen'), [(0, 'at 30'), (10, 'at 20'), (15, 'at 10'), (99, 'at 10')]
)
def test_report_lags(lag_ms, seen):
    reports = LaggingReport()
    reports.give('at 10', lag_ms, 10)
    reports.give('at 20', lag_ms, 20)
    assert reports.give('at 30', lag_ms, 30) == seen


def test_health_lies_while_replies_do_not():
    model = ServerModel(ServerSettings('a1', 'a', cold_start=True), 'one')
    model.faults = ServerFaults(health_lie=ServerState.LIVE)
    assert Reports(model).health(0).state is ServerState.LIVE
    assert model.state is ServerState.COLD


@pytest.mark.parametrize(('hidden', 'allowance'), [(False, 1), (True, 2)])
def test_load_report_tells_the_cold_allowance_unless_hidden(hidden, allowance):
    model = ServerModel(ServerSettings('a1', 'a', cold_start=True), 'one')
    model.faults = ServerFaults(cold_hidden=hidden)
    assert Reports(model).load(0).cold_allowance == allowance
