"""Thin adapters between the ports and well-known libraries."""

from cowsliploom.adapters._clock import SystemClock as SystemClock
from cowsliploom.adapters._store import HttpStore as HttpStore
