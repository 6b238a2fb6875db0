"""Entry and operator daemons, and the tasks that they run."""

from cowsliploom.daemons._claims_task import ClaimsTask as ClaimsTask
from cowsliploom.daemons._peer_task import PeerTask as PeerTask
from cowsliploom.daemons._peer_task import PeerTaskSettings as PeerTaskSettings
from cowsliploom.daemons._rollout_task import RolloutTask as RolloutTask
from cowsliploom.daemons._rollout_task import RolloutView as RolloutView
