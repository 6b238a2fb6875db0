"""What a cold server bears, and when it falls over."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Hold the progress of a cold start.

    Parameters
    ----------
    allowance_first : int
        Calls at once that it bears at the beginning.
    step_calls : int
        Calls served for each further call at once.
    slots : int
        Allowance at which it is warm.
    served : int
        Calls served since it turned cold or fell over.
    fallen_until_ms : float
        Time until which it refuses all.
    """

    allowance_first: int
    step_calls: int
    slots: int
    served: int = 0
    fallen_until_ms: float = 0

    @property
    def allowance(self) -> int:
        """Return the calls at once that it bears now."""
        return min(self.slots, self.allowance_first + self.served // self.step_calls)

    @property
    def warm(self) -> bool:
        """Tell whether the cold start is over."""
        return self.allowance_first + self.served // self.step_calls > self.slots
