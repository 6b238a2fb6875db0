"""Thin adapters that implement the ports with third-party libraries."""

from cowsliploom.adapters._backend_http import BackendServer as BackendServer
from cowsliploom.adapters._backend_http import CallFailure as CallFailure
from cowsliploom.adapters._backend_http import CallOutcome as CallOutcome
from cowsliploom.adapters._backend_http import CallRequest as CallRequest
from cowsliploom.adapters._clock import SystemClock as SystemClock
from cowsliploom.adapters._http_bounds import HttpServerSettings as HttpServerSettings
from cowsliploom.adapters._http_messages import JSON_TYPE as JSON_TYPE
from cowsliploom.adapters._http_messages import TEXT_TYPE as TEXT_TYPE
from cowsliploom.adapters._http_messages import HttpRequest as HttpRequest
from cowsliploom.adapters._http_messages import HttpResponse as HttpResponse
from cowsliploom.adapters._http_server import HttpServer as HttpServer
from cowsliploom.adapters._log import ComponentLog as ComponentLog
from cowsliploom.adapters._log import JsonLogDestination as JsonLogDestination
from cowsliploom.adapters._metrics import Metrics as Metrics
from cowsliploom.adapters._peers import PeerChannels as PeerChannels
from cowsliploom.adapters._peers import PeerServer as PeerServer
from cowsliploom.adapters._peers import PeerUnanswered as PeerUnanswered
from cowsliploom.adapters._problem import PROBLEM_TYPE as PROBLEM_TYPE
from cowsliploom.adapters._problem import FieldProblem as FieldProblem
from cowsliploom.adapters._problem import Problem as Problem
from cowsliploom.adapters._problem import decode_problem as decode_problem
from cowsliploom.adapters._problem import encode_problem as encode_problem
from cowsliploom.adapters._problem import problem_response as problem_response
from cowsliploom.adapters._store import HttpStore as HttpStore
