"""Thin adapters between the ports and well-known libraries."""

from cowsliploom.adapters._clock import SystemClock as SystemClock
from cowsliploom.adapters._store import HttpStore as HttpStore
from cowsliploom.adapters._peers import PeerChannels as PeerChannels
from cowsliploom.adapters._peers import PeerServer as PeerServer
from cowsliploom.adapters._peers import PeerUnanswered as PeerUnanswered
