"""HTTP/1.1 on the event loop: listeners for callers, connection pools to servers."""

from cowsliploom.dataplane._admission import Admission as Admission
from cowsliploom.dataplane._bounds import AnswerBounds as AnswerBounds
from cowsliploom.dataplane._connection_pool import ConnectionPool as ConnectionPool
from cowsliploom.dataplane._frames import FrameConnection as FrameConnection
from cowsliploom.dataplane._frames import FrameListener as FrameListener
from cowsliploom.dataplane._frames import open_frame_connection as open_frame_connection
from cowsliploom.dataplane._http_calls import Abortable as Abortable
from cowsliploom.dataplane._http_calls import AnswerOrigin as AnswerOrigin
from cowsliploom.dataplane._http_calls import CallResult as CallResult
from cowsliploom.dataplane._http_calls import HeadWatch as HeadWatch
from cowsliploom.dataplane._http_calls import HttpAnswer as HttpAnswer
from cowsliploom.dataplane._http_calls import HttpCall as HttpCall
from cowsliploom.dataplane._http_calls import HttpFailure as HttpFailure
from cowsliploom.dataplane._http_requests import HttpRequest as HttpRequest
from cowsliploom.dataplane._http_requests import Rejection as Rejection
from cowsliploom.dataplane._numbers import parse_count as parse_count
from cowsliploom.dataplane._pools import ConnectionPools as ConnectionPools
from cowsliploom.dataplane._room import RoomLimits as RoomLimits
from cowsliploom.dataplane._room import Use as Use
from cowsliploom.dataplane._server import HttpListener as HttpListener
from cowsliploom.dataplane._sockets import HeaderList as HeaderList
from cowsliploom.dataplane._sockets import (
    set_dead_peer_timeout as set_dead_peer_timeout,
)
from cowsliploom.dataplane._weights import exchange_weight as exchange_weight
from cowsliploom.dataplane._weights import headers_weight as headers_weight
