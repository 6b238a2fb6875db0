"""Fakes of the platform's services and of backend servers, for tests and demos."""

from cowsliploom.standins._endless_response import EndlessResponse as EndlessResponse
from cowsliploom.standins._fake_backend import FakeBackendServer as FakeBackendServer
from cowsliploom.standins._fake_store import FakePlatformStore as FakePlatformStore
from cowsliploom.standins._faults import StoreCounters as StoreCounters
from cowsliploom.standins._faults import StoreFaults as StoreFaults
from cowsliploom.standins._faults import StoreMode as StoreMode
from cowsliploom.standins._memory_store import MemoryStore as MemoryStore
from cowsliploom.standins._notice_recorder import NoticeRecorder as NoticeRecorder
from cowsliploom.standins._server_log import RunEntry as RunEntry
from cowsliploom.standins._server_log import RunLog as RunLog
from cowsliploom.standins._server_log import SearchEntry as SearchEntry
from cowsliploom.standins._server_log import ServerCounters as ServerCounters
from cowsliploom.standins._server_settings import ColdReset as ColdReset
from cowsliploom.standins._server_settings import ErrorFault as ErrorFault
from cowsliploom.standins._server_settings import MismatchKind as MismatchKind
from cowsliploom.standins._server_settings import ServerFaults as ServerFaults
from cowsliploom.standins._server_settings import ServerSettings as ServerSettings
from cowsliploom.standins._server_settings import Silence as Silence
from cowsliploom.standins._server_settings import SlowFault as SlowFault
