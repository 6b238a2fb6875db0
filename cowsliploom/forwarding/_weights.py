"""Smooth weighted round robin, which keeps the shares over few requests too."""

import random
from collections.abc import Iterable

from cowsliploom.forwarding._routes import Route


class WeightedRoundRobin:
    """Choose among the services of a route by smooth weighted round robin.

    Parameters
    ----------
    generator : random.Random
        Sets a random start for each route, so that entry VMs are not synchronised.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._credit: dict[tuple[str, str], float] = {}

    def retain(self, routes: Iterable[Route]) -> None:
        """Drop the state of routes that no longer exist."""
        names = {route.name for route in routes}
        self._credit = {
            key: credit for key, credit in self._credit.items() if key[0] in names
        }

    def next_service(self, route: Route) -> str:
        """Return the next service of a route."""
        services = route.services
        if len(services) == 1:
            return services[0].name
        total = sum(service.weight for service in services)
        best = services[0].name
        best_credit = float('-inf')
        for service in services:
            key = (route.name, service.name)
            credit = self._credit.get(key)
            if credit is None:
                credit = self._random.uniform(0, total)
            credit += service.weight
            self._credit[key] = credit
            if service.weight > 0 and credit > best_credit:
                best, best_credit = service.name, credit
        self._credit[(route.name, best)] -= total
        return best
