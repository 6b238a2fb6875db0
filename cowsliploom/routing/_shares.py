"""Traffic share of a new version within the calls to a service."""

from dataclasses import dataclass

CREDIT_MAX = 4  # burst of calls a new version may get after it had no room


@dataclass(frozen=True, slots=True)
class ShareCounter:
    """Credit counter that holds a new version to its share of a service's calls.

    Parameters
    ----------
    to_version : str
        New version.
    share : float
        Maximum share of the service's calls, from 0 to 1.
    credit : float
        Calls that the new version has earned and not yet received.

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
        """Return whether the next call may go to the new version."""
        return self.share > 0 and self.credit + self.share >= 1

    def includes(self, version: str) -> bool:
        """Return whether servers of this version may get calls at all."""
        return version != self.to_version or self.share > 0

    def admits(self, version: str) -> bool:
        """Return whether the next call may go to a server of this version."""
        return version != self.to_version or self.allows_new


def count_call(counter: ShareCounter, version: str) -> ShareCounter:
    """Return the counter after one call; hedges and retries count too."""
    credit = min(CREDIT_MAX, counter.credit + counter.share)
    if version == counter.to_version:
        credit -= 1
    return ShareCounter(counter.to_version, counter.share, credit)


def change_share(
    counter: ShareCounter | None, to_version: str, share: float
) -> ShareCounter:
    """Return the counter with a new share; a share of 0 also resets the credit."""
    same_version = counter is not None and counter.to_version == to_version
    credit = counter.credit if counter and same_version and share > 0 else 0
    return ShareCounter(to_version, share, credit)
