"""Which gateways had no trouble for how long."""

from dataclasses import dataclass

from tests.soak.plan import GATEWAY_KINDS, STORE_KINDS, Fault, Kind
from tests.soak.world import GATEWAYS

CALM_S = 4.0  # without trouble, before promises with a time bound hold


@dataclass(frozen=True, slots=True)
class Trouble:
    """Hold from when to when something was harmed."""

    kind: str
    from_s: float
    to_s: float


class Touch:
    """Remember the troubles of each gateway, those of the store included."""

    def __init__(self) -> None:
        self._gateways: dict[int, list[Trouble]] = {number: [] for number in GATEWAYS}

    def note(self, fault: Fault, from_s: float, to_s: float) -> None:
        """Note a fault that begins now and ends later."""
        trouble = Trouble(fault.kind, from_s, to_s)
        if fault.kind in STORE_KINDS:
            for troubles in self._gateways.values():
                troubles.append(trouble)
        elif fault.kind in GATEWAY_KINDS:
            self._gateways[fault.gateway].append(trouble)

    def is_calm(self, gateway: int, from_s: float, to_s: float) -> bool:
        """Tell whether a gateway was without trouble from before a time to another."""
        return not _any_in(self._gateways[gateway], from_s - CALM_S, to_s)

    def is_calm_but_for_stops(self, gateway: int, from_s: float, to_s: float) -> bool:
        """Tell whether a gateway had no trouble but planned stops."""
        unplanned = [one for one in self._gateways[gateway] if one.kind != Kind.STOP]
        return not _any_in(unplanned, from_s - CALM_S, to_s)

    def are_all_calm(self, from_s: float, to_s: float) -> bool:
        """Tell whether all gateways were without trouble."""
        return all(self.is_calm(number, from_s, to_s) for number in GATEWAYS)


def _any_in(troubles: list[Trouble], from_s: float, to_s: float) -> bool:
    return any(
        trouble.from_s <= to_s and trouble.to_s >= from_s for trouble in troubles
    )
