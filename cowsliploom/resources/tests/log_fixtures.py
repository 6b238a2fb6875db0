"""Fault-injecting store, manual clock and helpers for configuration tests."""

import random
from dataclasses import dataclass, field
from typing import Any

from cowsliploom.ports import Unanswered
from cowsliploom.resources import (
    Change,
    ConfigurationLog,
    DataCentreSpec,
    DataCentreState,
    Kind,
    Resource,
    read_configuration,
)
from cowsliploom.standins import MemoryStore

CALL_MS = 50
IN = DataCentreSpec()
OUT = DataCentreSpec(DataCentreState.OUT)
CALL_FAULTS = ('lost_answer', 'lost_request', 'down', 'late')


@dataclass
class ManualClock:
    """Clock that advances only by ``pause`` or assignment."""

    time_ms: float = 0

    def now_ms(self):
        return self.time_ms

    def wall_ms(self):
        return self.time_ms

    def pause(self, wait_ms):
        self.time_ms += wait_ms


class Crash(Exception):
    """Simulated crash of a writer."""


@dataclass
class FaultyStore:
    """Forward calls to a store and inject faults by call number."""

    inner: MemoryStore
    faults: dict[int, str] = field(default_factory=dict)
    calls: int = 0
    late: list[Any] = field(default_factory=list)

    def read(self, key, timeout_ms):
        return self._call('read', key, timeout_ms)

    def swap(self, key, text, expected_version, timeout_ms):
        return self._call('swap', key, text, expected_version, timeout_ms)

    def watch(self, key, after_version, wait_ms):
        return self._call('watch', key, after_version, wait_ms)

    def _call(self, name, *arguments):
        self.calls += 1
        fault = self.faults.get(self.calls)
        if fault == 'late':
            self.late.append((name, arguments))
            return Unanswered(f'store.{name}', 'store', True, 'test')
        if fault in {'down', 'lost_request'}:
            return Unanswered(f'store.{name}', 'store', fault != 'down', 'test')
        outcome = getattr(self.inner, name)(*arguments)
        for pending_name, pending_arguments in self.late:
            getattr(self.inner, pending_name)(*pending_arguments)
        self.late.clear()
        if fault == 'crash':
            raise Crash
        if fault == 'lost_answer':
            return Unanswered(f'store.{name}', 'store', True, 'test')
        return outcome


def open_log(store, clock, seed=1):
    return ConfigurationLog(store, clock, clock.pause, random.Random(seed), CALL_MS)


def data_centre(name, spec=IN, revision=0):
    return Resource(Kind.DATA_CENTRE, name, spec, revision)


def put(change_id, *resources):
    return Change(change_id, resources)


def names_of(store):
    configuration = read_configuration(store, CALL_MS)
    return {resource.name: resource.spec for resource in configuration.resources}
