"""Concurrency limit of a server during its cold start."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ColdStart:
    """Progress of a cold start.

    Parameters
    ----------
    allowance_first : int
        Concurrent calls allowed at the beginning.
    step_calls : int
        Served calls after which the allowance rises by one.
    slots : int
        Concurrent calls of a warm server; the allowance stops there.
    served : int
        Calls served since the cold start began or the allowance was last exceeded.
    refusing_until_ms : float
        Time until which all calls are refused.
    """

    allowance_first: int
    step_calls: int
    slots: int
    served: int = 0
    refusing_until_ms: float = 0

    @property
    def allowance(self) -> int:
        """Return the concurrent calls currently allowed."""
        return min(self.slots, self.allowance_first + self.served // self.step_calls)

    @property
    def warm(self) -> bool:
        """Return whether the cold start is complete."""
        return self.allowance_first + self.served // self.step_calls > self.slots
