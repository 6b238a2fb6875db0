"""The matrix detects faults seeded into each component."""

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
from tests.matrix.change_subject import CHANGE, run_change
from tests.matrix.claim_subject import CLAIM, run_claim
from tests.matrix.move_subject import MOVE
from tests.matrix.ownership_subject import OWNERSHIP, SHUTDOWN
from tests.matrix.ownership_subject import run_change as run_ownership
from tests.matrix.query_subject import QUERY, WITHDRAWAL, run_query, run_withdrawal
from tests.matrix.table import Subject


def violated_invariants(subject: Subject, run=None, cases=None) -> set[str]:
    """Return the invariants violated by single faults, or by the given cases."""
    run = run or subject.run
    cases = cases or subject.singles()
    return {finding.invariant for case in cases for finding in run(case)}


def cases_with_faults(subject: Subject, *names: str):
    return [case for case in subject.singles() if case[0].fault.name in names]


class _LogThatAcceptsUnconfirmedWrites(ConfigurationLog):
    def apply(self, change, deadline_ms):
        outcome = super().apply(change, deadline_ms)
        if isinstance(outcome, NotAccepted):
            return Accepted(1)
        return outcome


class _LogThatNeverVerifiesWrites(ConfigurationLog):
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
    ('log_type', 'invariant'),
    [
        (_LogThatAcceptsUnconfirmedWrites, 'accepted change is applied'),
        (_LogThatIgnoresConflicts, 'accepted change is applied'),
        (_LogThatNeverVerifiesWrites, 'rejected change is not applied'),
    ],
)
def test_seeded_configuration_log_fault_is_detected(log_type, invariant):
    run = partial(run_change, log_type=log_type)
    assert invariant in violated_invariants(CHANGE, run)


def test_store_without_fencing_is_detected_by_claims():
    run = partial(run_claim, fenced=False)
    assert 'runs at most once' in violated_invariants(CLAIM, run)


@pytest.mark.parametrize(
    ('name', 'broken'),
    [
        ('_claims_pending.may_claim', lambda record, request: True),
        ('_claims_segment.CLAIM_TTL_MS', 1),
    ],
)
def test_seeded_claim_fault_is_detected(name, broken, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.coordination.{name}', broken)
    assert 'runs at most once' in violated_invariants(CLAIM)


@pytest.mark.parametrize(
    ('name', 'broken', 'fault', 'invariant'),
    [
        ('_query_calls._mismatch', accept_all, 'mixed-snapshots', 'single snapshot'),
        (
            '_query_calls._mismatch',
            accept_all,
            'crossed-replies',
            'coverage is correct',
        ),
        (
            '_queries.measure_coverage',
            count_twice,
            'empty-replies',
            'coverage is correct',
        ),
    ],
)
def test_seeded_query_fault_is_detected(name, broken, fault, invariant, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.routing.{name}', broken)
    assert invariant in violated_invariants(
        QUERY, cases=cases_with_faults(QUERY, fault)
    )


@pytest.mark.parametrize(
    'ownership_type', [_OwnershipThatNeverGivesUp, _OwnershipThatNeverWaits]
)
def test_seeded_ownership_fault_is_detected(ownership_type):
    run = partial(run_ownership, node_type=node_type(ownership_type))
    assert 'at most one owner' in violated_invariants(OWNERSHIP, run)


def test_seeded_shutdown_fault_is_detected():
    run = partial(
        run_ownership, is_graceful=True, node_type=node_type(_OwnershipThatNeverGivesUp)
    )
    assert 'at most one owner' in violated_invariants(SHUTDOWN, run)


@pytest.mark.parametrize(
    ('name', 'broken', 'fault', 'invariant'),
    [
        ('_move_trial.MOVE_ALPHA', 1e-200, 'fails', 'bad version is rolled back'),
        ('_baseline_rates.SLOW_MARGIN', 0.9, 'slows', 'bad version is rolled back'),
        ('_move_trial.MOVE_ALPHA', 1000, 'cold', 'good version move finishes'),
    ],
)
def test_seeded_move_fault_is_detected(name, broken, fault, invariant, monkeypatch):
    monkeypatch.setattr(f'cowsliploom.rollout.{name}', broken)
    assert invariant in violated_invariants(MOVE, cases=cases_with_faults(MOVE, fault))


class _RouterThatIgnoresLaterConfigurations(Router):
    def step(self, event):
        if isinstance(event, ConfigurationApplied) and event.configuration.revision > 1:
            return ()
        return super().step(event)


def test_ignored_data_centre_withdrawal_is_detected():
    run = partial(run_withdrawal, router_type=_RouterThatIgnoresLaterConfigurations)
    cases = cases_with_faults(WITHDRAWAL, 'straggler')
    assert 'withdrawn servers get no new calls' in violated_invariants(
        WITHDRAWAL, run, cases
    )


class _RouterThatIgnoresLeavingServers(Router):
    def step(self, event):
        for server in self._fleet.servers.values():
            server.blocks.discard(Block.LEAVING)
        return super().step(event)


def test_ignored_leaving_server_is_detected():
    run = partial(run_withdrawal, router_type=_RouterThatIgnoresLeavingServers)
    cases = cases_with_faults(WITHDRAWAL, 'straggler')
    assert 'withdrawn servers get no new calls' in violated_invariants(
        WITHDRAWAL, run, cases
    )


def test_router_without_cold_allowance_is_detected():
    run = partial(run_withdrawal, router_type=NaiveRouter)
    cases = cases_with_faults(WITHDRAWAL, 'cold', 'cold-reports-live')
    assert 'cold servers are not overloaded' in violated_invariants(
        WITHDRAWAL, run, cases
    )


@pytest.mark.parametrize(
    'invariant', ['runs at most once', 'refused as not run did not run']
)
def test_retried_run_of_unknown_outcome_is_detected(invariant, monkeypatch):
    monkeypatch.setattr('cowsliploom.routing._runs.read_ran', lambda event: Ran.NO)
    cases = cases_with_faults(QUERY, 'reset', 'lost-replica', 'freeze-server')
    assert invariant in violated_invariants(QUERY, run_query, cases)
