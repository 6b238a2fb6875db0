import pytest

from cowsliploom.standins._http import StandinServer


@pytest.fixture(autouse=True)
def short_stop_interval(monkeypatch):
    """Shorten the interval at which servers check for a stop request."""
    monkeypatch.setattr(StandinServer, 'expiration_interval', 0.02)
