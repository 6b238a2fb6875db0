"""Faults seeded into each real part are found by the matrix."""

from functools import partial

import pytest

from cowsliploom.coordination.tests.test_ownership import (
    _OwnershipThatNeverGivesUp,
    _OwnershipThatNeverWaits,
    node_type,
)
from cowsliploom.ports import Conflict, Swapped, Unanswered
from cowsliploom.protocol import Ran
from cowsliploom.resources import Accepted, ConfigurationLog, NotAccepted
from cowsliploom.routing import ConfigurationApplied, NaiveRouter, Router
from cowsliploom.routing._tracks import Block
from cowsliploom.routing.tests.test_differential import accept_all, count_twice
from tests.matrix.change_subject import CHANGE, play_change
from tests.matrix.claim_subject import CLAIM, play_claim
from tests.matrix.move_subject import MOVE
from tests.matrix.ownership_subject import OWNERSHIP, SHUTDOWN
from tests.matrix.ownership_subject import play_change as play_ownership
from tests.matrix.query_subject import QUERY, WITHDRAWAL, play_query, play_withdrawal
from tests.matrix.table import Subject


def broken_promises(subject: Subject, play=None, cases=None) -> set[str]:
    """Return the promises that single faults, or the given cases, break."""
    play = play or subject.play
    cases = cases or subject.singles()
    return {finding.promise for case in cases for finding in play(case)}


def only(subject: Subject, *names: str):
    return [case for case in subject.singles() if case[0].fault.name in names]


class _LogThatTrustsSilence(ConfigurationLog):
    def apply(self, change, deadline_ms):
        outcome = super().apply(change, deadline_ms)
        if isinstance(outcome, NotAccepted):
            return Accepted(1)
        return outcome


class _LogThatNeverReadsBack(ConfigurationLog):
    def _write(self, plan, base, maybe):
        outcome = super()._write(plan, base, maybe)
        if isinstance(outcome, Accepted):
            return outcome
        return NotAccepted('config.apply', 'store', 'no answer', maybe=False)


class _LogThatIgnoresConflicts(ConfigurationLog):
    def _write(self, plan, base, maybe):
        store = self.store
        self.store = _StoreWithoutConflicts(store)
        outcome = super()._write(plan, base, maybe)
        self.store = store
        return outcome


class _StoreWithoutConflicts:
    def __init__(self, store):
        self.store = store

    def __getattr__(self, name):
        return getattr(self.store, name)

    def swap(self, key, text, expected_version, timeout_ms):
        answer = self.store.swap(key, text, expected_version, timeout_ms)
        if isinstance(answer, (Conflict, Unanswered)):
            return Swapped(0)
        return answer


@pytest.mark.parametrize(
    ('log_type', 'promise'),
    [
        (_LogThatTrustsSilence, 'accepted is in force'),
        (_LogThatIgnoresConflicts, 'accepted is in force'),
        (_LogThatNeverReadsBack, 'a refusal is true'),
    ],
)
def test_seeded_fault_in_a_change_is_found(log_type, promise):
    play = partial(play_change, log_type=log_type)
    assert promise in broken_promises(CHANGE, play)


def test_store_without_fence_is_found_by_claims():
    play = partial(play_claim, fenced=False)
    assert 'runs at most once' in broken_promises(CLAIM, play)


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('_claims_pending.may_claim', lambda record, request: True),
        ('_claims_segment.CLAIM_TTL_MS', 1),
    ],
)
def test_seeded_fault_in_claims_is_found(name, broken, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.coordination.{name}', broken)
    assert 'runs at most once' in broken_promises(CLAIM)


@pytest.mark.parametrize(
    ('name', 'broken', 'fault', 'promise'),
    [
        ('_query_calls._mismatch', accept_all, 'mixed-snapshots', 'one snapshot'),
        ('_query_calls._mismatch', accept_all, 'crossed-replies', 'coverage is true'),
        ('_queries.measure_coverage', count_twice, 'short-replies', 'coverage is true'),
    ],
)
def test_seeded_fault_in_a_query_is_found(name, broken, fault, promise, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.routing.{name}', broken)
    assert promise in broken_promises(QUERY, cases=only(QUERY, fault))


@pytest.mark.parametrize('kind', [_OwnershipThatNeverGivesUp, _OwnershipThatNeverWaits])
def test_seeded_fault_in_ownership_is_found(kind):
    play = partial(play_ownership, node_type=node_type(kind))
    assert 'one owner' in broken_promises(OWNERSHIP, play)


def test_seeded_fault_in_a_shutdown_is_found():
    play = partial(
        play_ownership, leaves=True, node_type=node_type(_OwnershipThatNeverGivesUp)
    )
    assert 'one owner' in broken_promises(SHUTDOWN, play)


@pytest.mark.parametrize(
    ('name', 'broken', 'fault', 'promise'),
    [
        ('_move_trial.MOVE_ALPHA', 1e-200, 'fails', 'bad version is taken back'),
        ('_baseline_rates.SLOW_MARGIN', 0.9, 'slows', 'bad version is taken back'),
        ('_move_trial.MOVE_ALPHA', 1000, 'cold', 'good version finishes'),
    ],
)
def test_seeded_fault_in_a_move_is_found(name, broken, fault, promise, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', broken)
    assert promise in broken_promises(MOVE, cases=only(MOVE, fault))


class _RouterThatKeepsItsFirstConfiguration(Router):
    def step(self, event):
        if isinstance(event, ConfigurationApplied) and event.configuration.revision > 1:
            return ()
        return super().step(event)


def test_data_centre_out_that_is_ignored_is_found():
    play = partial(play_withdrawal, router_type=_RouterThatKeepsItsFirstConfiguration)
    cases = only(WITHDRAWAL, 'straggler')
    assert 'withdrawn gets no new work' in broken_promises(WITHDRAWAL, play, cases)


class _RouterThatForgetsLeaving(Router):
    def step(self, event):
        for server in self._fleet.servers.values():
            server.blocks.discard(Block.LEAVING)
        return super().step(event)


def test_leaving_server_that_is_forgotten_is_found():
    play = partial(play_withdrawal, router_type=_RouterThatForgetsLeaving)
    cases = only(WITHDRAWAL, 'straggler')
    assert 'withdrawn gets no new work' in broken_promises(WITHDRAWAL, play, cases)


def test_router_without_cold_allowance_is_found():
    play = partial(play_withdrawal, router_type=NaiveRouter)
    cases = only(WITHDRAWAL, 'cold', 'cold-lying')
    assert 'cold gets what it bears' in broken_promises(WITHDRAWAL, play, cases)


@pytest.mark.parametrize('promise', ['runs at most once', 'not run is true'])
def test_run_sent_again_after_an_unknown_end_is_found(promise, monkeypatch):
    monkeypatch.setattr('cowsliploom.routing._runs.read_ran', lambda event: Ran.NO)
    cases = only(QUERY, 'reset', 'lost-replica', 'freeze-server')
    assert promise in broken_promises(QUERY, play_query, cases)
