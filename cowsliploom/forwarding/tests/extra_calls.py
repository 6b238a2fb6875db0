"""By how much extra calls exceed their bound in the worst window."""

from bisect import bisect_left
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExtraBound:
    """Bound on the extra calls of a service, all entry VMs together.

    Parameters
    ----------
    ratio : float
        Extra calls for each request of the window, the window before it, or the one
        half a window before it, whichever has most requests.
    constant : float
        Extra calls beyond these.
    window : float
        Length of a window, in the unit of the times.
    """

    ratio: float
    constant: float
    window: float

    def excess(self, requests, extra):
        """Return the worst excess over all windows; negative where none has any."""
        requests, extra = sorted(requests), sorted(extra)
        return max(
            (
                self._excess_from(start, requests, extra)
                for start in dict.fromkeys(extra)
            ),
            default=-self.constant,
        )

    def most(self, extra):
        """Return the most extra calls in a window."""
        extra = sorted(extra)
        return max(self._count(extra, start) for start in dict.fromkeys(extra))

    def _excess_from(self, start, requests, extra):
        paying = max(
            self._count(requests, start - earlier)
            for earlier in (0, self.window / 2, self.window)
        )
        return self._count(extra, start) - self.ratio * paying - self.constant

    def _count(self, times, start):
        end = bisect_left(times, start + self.window)
        return end - bisect_left(times, start)


def extra_arrivals(arrivals):
    """Return when calls beyond the first of each request arrived.

    Parameters
    ----------
    arrivals : iterable of tuple
        Time and request id of each call.
    """
    seen = set()
    extra = []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            extra.append(at)
        seen.add(request_id)
    return extra
