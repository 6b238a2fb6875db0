"""Where knowledge came from."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Provenance:
    """Say where knowledge came from and how old it was.

    Parameters
    ----------
    source : str
        ``'store'`` or the name of a peer.
    age_ms : float
        Time since the store confirmed it.
    """

    source: str
    age_ms: float = 0
