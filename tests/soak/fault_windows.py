"""Time windows in which faults affect gateways."""

from dataclasses import dataclass

from tests.soak.plan import GATEWAY_KINDS, STORE_KINDS, Fault, Kind
from tests.soak.world import GATEWAYS

FAULT_FREE_S = 4.0  # without a fault, before time-bounded invariants hold


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """Kind and time span of one fault."""

    kind: str
    from_s: float
    to_s: float


class FaultWindows:
    """Record the faults that affect each gateway, store faults included."""

    def __init__(self) -> None:
        self._gateways: dict[int, list[FaultWindow]] = {
            number: [] for number in GATEWAYS
        }

    def record(self, fault: Fault, from_s: float, to_s: float) -> None:
        """Record a fault and the time span of its effect."""
        window = FaultWindow(fault.kind, from_s, to_s)
        if fault.kind in STORE_KINDS:
            for windows in self._gateways.values():
                windows.append(window)
        elif fault.kind in GATEWAY_KINDS:
            self._gateways[fault.gateway].append(window)

    def is_fault_free(self, gateway: int, from_s: float, to_s: float) -> bool:
        """Return whether no fault overlaps a span or the FAULT_FREE_S before it."""
        return not _any_overlap(self._gateways[gateway], from_s - FAULT_FREE_S, to_s)

    def is_fault_free_except_stops(
        self, gateway: int, from_s: float, to_s: float
    ) -> bool:
        """Return whether a gateway had no faults except planned stops."""
        unplanned = [
            window for window in self._gateways[gateway] if window.kind != Kind.STOP
        ]
        return not _any_overlap(unplanned, from_s - FAULT_FREE_S, to_s)

    def are_all_fault_free(self, from_s: float, to_s: float) -> bool:
        """Return whether all gateways were fault-free."""
        return all(self.is_fault_free(number, from_s, to_s) for number in GATEWAYS)


def _any_overlap(windows: list[FaultWindow], from_s: float, to_s: float) -> bool:
    return any(window.from_s <= to_s and window.to_s >= from_s for window in windows)
