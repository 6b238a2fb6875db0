"""Forwarding of requests along routes to backend servers; sans-IO."""

from cowsliploom.forwarding._access import AccessRules as AccessRules
from cowsliploom.forwarding._budget import Allowance as Allowance
from cowsliploom.forwarding._budget import BudgetReport as BudgetReport
from cowsliploom.forwarding._budget import ExtraBudget as ExtraBudget
from cowsliploom.forwarding._budgets import BudgetRules as BudgetRules
from cowsliploom.forwarding._budgets import ConstantShare as ConstantShare
from cowsliploom.forwarding._budgets import ServiceBudgets as ServiceBudgets
from cowsliploom.forwarding._call_history import CallHistory as CallHistory
from cowsliploom.forwarding._call_history import CompletedCall as CompletedCall
from cowsliploom.forwarding._dispatcher import RequestDispatcher as RequestDispatcher
from cowsliploom.forwarding._exchange import Exchange as Exchange
from cowsliploom.forwarding._fleet import Fleet as Fleet
from cowsliploom.forwarding._fleet import ServerChange as ServerChange
from cowsliploom.forwarding._fleet import calls_max as calls_max
from cowsliploom.forwarding._leaving import LeavingChange as LeavingChange
from cowsliploom.forwarding._messages import BackendAnswer as BackendAnswer
from cowsliploom.forwarding._messages import CallAnswered as CallAnswered
from cowsliploom.forwarding._messages import CallerLeft as CallerLeft
from cowsliploom.forwarding._messages import CallerRequest as CallerRequest
from cowsliploom.forwarding._messages import CallFailed as CallFailed
from cowsliploom.forwarding._messages import CallStep as CallStep
from cowsliploom.forwarding._messages import CancelCall as CancelCall
from cowsliploom.forwarding._messages import Command as Command
from cowsliploom.forwarding._messages import ErrorReply as ErrorReply
from cowsliploom.forwarding._messages import ExchangeEvent as ExchangeEvent
from cowsliploom.forwarding._messages import ForwardedAnswer as ForwardedAnswer
from cowsliploom.forwarding._messages import Headers as Headers
from cowsliploom.forwarding._messages import MergedAnswer as MergedAnswer
from cowsliploom.forwarding._messages import Outcome as Outcome
from cowsliploom.forwarding._messages import RelayAnswered as RelayAnswered
from cowsliploom.forwarding._messages import RelayCall as RelayCall
from cowsliploom.forwarding._messages import RelayCallFailed as RelayCallFailed
from cowsliploom.forwarding._messages import RelayCallsSent as RelayCallsSent
from cowsliploom.forwarding._messages import Reply as Reply
from cowsliploom.forwarding._messages import SendCall as SendCall
from cowsliploom.forwarding._messages import SendToRelay as SendToRelay
from cowsliploom.forwarding._messages import Stopping as Stopping
from cowsliploom.forwarding._messages import Ticked as Ticked
from cowsliploom.forwarding._moves import MoveOrder as MoveOrder
from cowsliploom.forwarding._moves import VersionSplit as VersionSplit
from cowsliploom.forwarding._reachability import (
    are_remote_servers_silent as are_remote_servers_silent,
)
from cowsliploom.forwarding._reachability import (
    routes_needing_remote_servers as routes_needing_remote_servers,
)
from cowsliploom.forwarding._reachability import (
    unreachable_routes as unreachable_routes,
)
from cowsliploom.forwarding._records import greatest_records as greatest_records
from cowsliploom.forwarding._records import merge_records as merge_records
from cowsliploom.forwarding._relay_plan import RelayShare as RelayShare
from cowsliploom.forwarding._relay_plan import plan_relays as plan_relays
from cowsliploom.forwarding._relay_plan import plan_remote_relays as plan_remote_relays
from cowsliploom.forwarding._relayed import RelayedPart as RelayedPart
from cowsliploom.forwarding._relayed import RelayedShare as RelayedShare
from cowsliploom.forwarding._relayed import RelayReport as RelayReport
from cowsliploom.forwarding._routes import CallerLimits as CallerLimits
from cowsliploom.forwarding._routes import FanOut as FanOut
from cowsliploom.forwarding._routes import Route as Route
from cowsliploom.forwarding._routes import RouteTable as RouteTable
from cowsliploom.forwarding._routes import ServiceRules as ServiceRules
from cowsliploom.forwarding._routes import WeightedService as WeightedService
from cowsliploom.forwarding._server_notices import ServerNotice as ServerNotice
from cowsliploom.forwarding._servers import LoadReport as LoadReport
from cowsliploom.forwarding._servers import Server as Server
from cowsliploom.forwarding._servers import ServerHealthChange as ServerHealthChange
from cowsliploom.forwarding._servers import ServerRecord as ServerRecord
from cowsliploom.forwarding._servers import ServerState as ServerState
from cowsliploom.forwarding._sub_request import SubRequest as SubRequest
from cowsliploom.forwarding._where import Explanation as Explanation
from cowsliploom.forwarding._where import explain_request as explain_request
from cowsliploom.forwarding._workspaces import NO_WORKSPACE as NO_WORKSPACE
from cowsliploom.forwarding._workspaces import Workspace as Workspace
from cowsliploom.forwarding._workspaces import WorkspaceTable as WorkspaceTable
from cowsliploom.forwarding._workspaces import key_digest as key_digest
