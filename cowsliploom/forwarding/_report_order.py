"""Order of the reports that backend servers register under one name."""

from collections import OrderedDict
from enum import Enum

from cowsliploom.forwarding._servers import ServerRecord

REMOVED_MAX = 2048  # removed servers whose latest reports are kept


class ReportOrder(Enum):
    """How a report relates to the latest one that is known."""

    OLDER = 'older'
    FOLLOWS = 'same or newer report of the same start'
    NEW_START = 'report of a later start'


def report_order(known: ServerRecord, record: ServerRecord) -> ReportOrder:
    """Return how a report relates to the latest one that is known of its name.

    The time of the start tells a new start, and the sequence orders the reports of
    one. Only where a report does not state its start, a count that begins anew does.

    Parameters
    ----------
    known, record : ServerRecord
        Latest known report, and the one to place.
    """
    states_start = bool(known.born_ms and record.born_ms)
    if record.born_ms > known.born_ms:
        return ReportOrder.NEW_START
    if states_start and record.born_ms < known.born_ms:
        return ReportOrder.OLDER
    if record.sequence < known.sequence:
        return ReportOrder.OLDER if states_start else ReportOrder.NEW_START
    if (known.address, known.service) != (record.address, record.service):
        return ReportOrder.NEW_START
    return ReportOrder.FOLLOWS


class ReportHistory:
    """Reports that stay the latest known, and the older ones that were ignored.

    A report that the store takes late may register a server again that has left; it
    tells nothing that was not known before the removal.
    """

    def __init__(self) -> None:
        self._removed: OrderedDict[str, ServerRecord] = OrderedDict()
        self._ignored: dict[str, ServerRecord] = {}

    def keep(self, record: ServerRecord) -> None:
        """Keep the latest report of a server that is removed."""
        self._removed[record.name] = record
        self._removed.move_to_end(record.name)
        if len(self._removed) > REMOVED_MAX:
            self._removed.popitem(last=False)

    def order_removed(self, record: ServerRecord) -> ReportOrder:
        """Return how a report relates to the latest one before the removal."""
        known = self._removed.get(record.name)
        return ReportOrder.NEW_START if known is None else report_order(known, record)

    def ignore(self, record: ServerRecord) -> bool:
        """Record that a report is ignored; return whether it is so for the first time.

        It stays in the store, and is seen again with each change of other servers.
        """
        is_first = self._ignored.get(record.name) != record
        self._ignored[record.name] = record
        return is_first

    def forget(self, name: str) -> None:
        """Forget a server that is registered again."""
        self._removed.pop(name, None)
        self._ignored.pop(name, None)
