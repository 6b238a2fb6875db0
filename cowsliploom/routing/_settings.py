"""Settings of the router."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Hold the router's settings.

    Parameters
    ----------
    answer_margin_ms : float
        Time kept back from the caller's deadline to merge and answer, in
        milliseconds; at most a tenth of the caller's time limit is taken.
    """

    answer_margin_ms: float = 15.0
