"""Small fakes of the platform's service and of a backend server."""

from cowsliploom.standins._faults import StoreCounters as StoreCounters
from cowsliploom.standins._faults import StoreFaults as StoreFaults
from cowsliploom.standins._faults import StoreMode as StoreMode
from cowsliploom.standins._memory_store import MemoryStore as MemoryStore
