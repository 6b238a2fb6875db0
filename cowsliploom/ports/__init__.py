"""Interfaces between the decision logic and the adapters."""

from cowsliploom.ports._clock import Clock as Clock
from cowsliploom.ports._store import Absent as Absent
from cowsliploom.ports._store import Conflict as Conflict
from cowsliploom.ports._store import Store as Store
from cowsliploom.ports._store import Swapped as Swapped
from cowsliploom.ports._store import Unanswered as Unanswered
from cowsliploom.ports._store import Unchanged as Unchanged
