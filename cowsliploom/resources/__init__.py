"""Resource types, validation, and configuration storage in the platform store."""

from cowsliploom.resources._changes import Accepted as Accepted
from cowsliploom.resources._changes import Change as Change
from cowsliploom.resources._changes import Invalid as Invalid
from cowsliploom.resources._changes import Missing as Missing
from cowsliploom.resources._changes import NotAccepted as NotAccepted
from cowsliploom.resources._changes import Outcome as Outcome
from cowsliploom.resources._changes import Raced as Raced
from cowsliploom.resources._changes import ResourceRef as ResourceRef
from cowsliploom.resources._decoding import decode_document as decode_document
from cowsliploom.resources._decoding import decode_documents as decode_documents
from cowsliploom.resources._decoding import (
    decode_json_documents as decode_json_documents,
)
from cowsliploom.resources._encoding import (
    configuration_from_resources as configuration_from_resources,
)
from cowsliploom.resources._encoding import decode_configuration as decode_configuration
from cowsliploom.resources._encoding import encode_configuration as encode_configuration
from cowsliploom.resources._encoding import resource_key as resource_key
from cowsliploom.resources._events import Action as Action
from cowsliploom.resources._events import EventBatch as EventBatch
from cowsliploom.resources._events import EventLog as EventLog
from cowsliploom.resources._events import ResourceEvent as ResourceEvent
from cowsliploom.resources._events import derive_batch as derive_batch
from cowsliploom.resources._events import select_events as select_events
from cowsliploom.resources._layout import HEAD_KEY as HEAD_KEY
from cowsliploom.resources._layout import Head as Head
from cowsliploom.resources._log import ConfigurationLog as ConfigurationLog
from cowsliploom.resources._problems import InvalidResources as InvalidResources
from cowsliploom.resources._problems import ResourceProblem as ResourceProblem
from cowsliploom.resources._reading import ChunkCollected as ChunkCollected
from cowsliploom.resources._reading import ConfigurationView as ConfigurationView
from cowsliploom.resources._reading import StoredHead as StoredHead
from cowsliploom.resources._reading import build_view as build_view
from cowsliploom.resources._reading import decode_stored_head as decode_stored_head
from cowsliploom.resources._reading import fetch_chunks as fetch_chunks
from cowsliploom.resources._reading import read_configuration as read_configuration
from cowsliploom.resources._reading import read_head as read_head
from cowsliploom.resources._reading import read_view as read_view
from cowsliploom.resources._references import check_configuration as check_configuration
from cowsliploom.resources._types import Configuration as Configuration
from cowsliploom.resources._types import DataCentreSpec as DataCentreSpec
from cowsliploom.resources._types import DataCentreState as DataCentreState
from cowsliploom.resources._types import Kind as Kind
from cowsliploom.resources._types import Resource as Resource
from cowsliploom.resources._types import SearchSpec as SearchSpec
from cowsliploom.resources._types import ServerSpec as ServerSpec
from cowsliploom.resources._types import ServiceSpec as ServiceSpec
from cowsliploom.resources._types import Spec as Spec
from cowsliploom.resources._types import VersionMoveSpec as VersionMoveSpec
from cowsliploom.resources._values import is_address as is_address
from cowsliploom.resources._values import is_name as is_name
