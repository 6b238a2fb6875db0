"""Resource types, validation, revisions and status."""

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
from cowsliploom.resources._problems import InvalidResources as InvalidResources
from cowsliploom.resources._problems import ResourceProblem as ResourceProblem
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
