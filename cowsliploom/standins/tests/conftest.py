import pytest

from cowsliploom.standins._http import StandinServer


@pytest.fixture(autouse=True)
def quick_stop(monkeypatch):
    """Let servers notice a stop soon; they look once an interval."""
    monkeypatch.setattr(StandinServer, 'expiration_interval', 0.02)
