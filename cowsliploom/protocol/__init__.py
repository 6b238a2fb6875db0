"""Wire messages of the systems that cowsliploom meets."""

from cowsliploom.protocol._backend import CallRefusal as CallRefusal
from cowsliploom.protocol._backend import CancelCall as CancelCall
from cowsliploom.protocol._backend import DocRange as DocRange
from cowsliploom.protocol._backend import HealthReport as HealthReport
from cowsliploom.protocol._backend import Hit as Hit
from cowsliploom.protocol._backend import LoadReport as LoadReport
from cowsliploom.protocol._backend import Ran as Ran
from cowsliploom.protocol._backend import RefusalReason as RefusalReason
from cowsliploom.protocol._backend import RunCall as RunCall
from cowsliploom.protocol._backend import RunReply as RunReply
from cowsliploom.protocol._backend import SearchCall as SearchCall
from cowsliploom.protocol._backend import SearchReply as SearchReply
from cowsliploom.protocol._backend import ServerState as ServerState
from cowsliploom.protocol._backend import SnapshotInfo as SnapshotInfo
from cowsliploom.protocol._platform import LeaseCall as LeaseCall
from cowsliploom.protocol._platform import LeaseResult as LeaseResult
from cowsliploom.protocol._platform import PutResult as PutResult
from cowsliploom.protocol._platform import PutValue as PutValue
from cowsliploom.protocol._platform import StoredValue as StoredValue
from cowsliploom.protocol._platform import VmInfo as VmInfo
from cowsliploom.protocol._platform import VmList as VmList
from cowsliploom.protocol._platform import VmState as VmState
