"""Package daemons of cowsliploom."""

from cowsliploom.daemons._peer_task import PeerTask as PeerTask
from cowsliploom.daemons._peer_task import PeerTaskSettings as PeerTaskSettings
