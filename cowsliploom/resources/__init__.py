"""Resource types, validation, revisions and status."""

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
