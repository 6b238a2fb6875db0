"""Exact share of a service's calls for a new version."""

from dataclasses import dataclass

CREDIT_MAX = 4  # calls that a new version may catch up at once after it was full


@dataclass(frozen=True, slots=True)
class ShareCounter:
    """Count a service's calls so that a new version gets at most its share.

    Parameters
    ----------
    to_version : str
        Version whose share is bounded.
    share : float
        Share of the service's calls, from 0 to 1.
    credit : float
        Calls that the new version may still get.

    Examples
    --------
    >>> counter = ShareCounter('v2', share=0.25)
    >>> sent = []
    >>> for _ in range(8):
    ...     sent.append('v2' if counter.allows_new else 'v1')
    ...     counter = count_call(counter, sent[-1])
    >>> sent.count('v2')
    2
    """

    to_version: str
    share: float
    credit: float = 0

    @property
    def allows_new(self) -> bool:
        """Tell whether the next call may go to the new version."""
        return self.share > 0 and self.credit + self.share >= 1

    def includes(self, version: str) -> bool:
        """Tell whether calls may go to a server of this version in their turn."""
        return version != self.to_version or self.share > 0

    def admits(self, version: str) -> bool:
        """Tell whether the next call may go to a server of this version."""
        return version != self.to_version or self.allows_new


def count_call(counter: ShareCounter, version: str) -> ShareCounter:
    """Return the counter after one call, hedges and retries included."""
    credit = min(CREDIT_MAX, counter.credit + counter.share)
    if version == counter.to_version:
        credit -= 1
    return ShareCounter(counter.to_version, counter.share, credit)


def change_share(
    counter: ShareCounter | None, to_version: str, share: float
) -> ShareCounter:
    """Return the counter at a new share; share 0 also drops the credit."""
    same_version = counter is not None and counter.to_version == to_version
    credit = counter.credit if counter and same_version and share > 0 else 0
    return ShareCounter(to_version, share, credit)
