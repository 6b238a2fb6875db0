"""Small fakes of the platform's service and of a backend server."""

from cowsliploom.standins._faults import StoreCounters as StoreCounters
from cowsliploom.standins._faults import StoreFaults as StoreFaults
from cowsliploom.standins._faults import StoreMode as StoreMode
from cowsliploom.standins._memory_store import MemoryStore as MemoryStore
from cowsliploom.standins._server_log import RunEntry as RunEntry
from cowsliploom.standins._server_log import RunLog as RunLog
from cowsliploom.standins._server_log import SearchEntry as SearchEntry
from cowsliploom.standins._server_log import ServerCounters as ServerCounters
from cowsliploom.standins._server_settings import ColdTurn as ColdTurn
from cowsliploom.standins._server_settings import Crossing as Crossing
from cowsliploom.standins._server_settings import ErrorFault as ErrorFault
from cowsliploom.standins._server_settings import ServerFaults as ServerFaults
from cowsliploom.standins._server_settings import ServerSettings as ServerSettings
from cowsliploom.standins._server_settings import Silence as Silence
from cowsliploom.standins._server_settings import SlowFault as SlowFault
from cowsliploom.standins._endless import EndlessResponse as EndlessResponse
from cowsliploom.standins._users_backend import FakeBackendServer as FakeBackendServer
from cowsliploom.standins._users_store import FakePlatformStore as FakePlatformStore
