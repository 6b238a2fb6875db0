"""Router of one entry VM."""

from cowsliploom.routing._naive import NaiveRouter


class Router(NaiveRouter):
    """Decide where queries and runs go."""
