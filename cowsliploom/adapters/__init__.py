"""Thin adapters between the ports and well-known libraries."""

from cowsliploom.adapters._backend_http import BackendServer as BackendServer
from cowsliploom.adapters._backend_http import CallFailure as CallFailure
from cowsliploom.adapters._backend_http import CallOutcome as CallOutcome
from cowsliploom.adapters._backend_http import CallRequest as CallRequest
from cowsliploom.adapters._clock import SystemClock as SystemClock
from cowsliploom.adapters._metrics import Metrics as Metrics
from cowsliploom.adapters._peers import PeerChannels as PeerChannels
from cowsliploom.adapters._peers import PeerServer as PeerServer
from cowsliploom.adapters._peers import PeerUnanswered as PeerUnanswered
from cowsliploom.adapters._store import HttpStore as HttpStore
