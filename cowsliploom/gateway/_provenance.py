"""Source and age of store contents."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Provenance:
    """Source and age of store contents.

    Parameters
    ----------
    source : str
        ``'store'`` or the name of a peer.
    age_ms : float
        Time since the store confirmed the contents.
    """

    source: str
    age_ms: float = 0
