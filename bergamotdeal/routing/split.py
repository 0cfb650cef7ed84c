"""Weighted distribution of a route's requests across services."""

import random

from bergamotdeal.presets import model


class WeightedSplit:
    """Smooth weighted round robin over the destinations of a route.

    This is the algorithm of nginx. Each request adds every destination's
    weight to its credit. The destination with the most credit gets the request
    and pays the sum of all weights, so in any run of consecutive requests each
    destination gets its share to within one request.

    Args:
      destinations: Destinations with their weights.
      rng: Random source of the initial credits, which keep nodes from sending
        to the destinations in the same sequence.
    """

    def __init__(
        self,
        *,
        destinations: tuple[model.Destination, ...],
        rng: random.Random,
    ) -> None:
        weighted = [each for each in destinations if each.weight > 0]
        self._destinations = weighted or list(destinations)
        self._total_weight = sum(each.weight for each in self._destinations)
        self._credits = [
            rng.random() * each.weight for each in self._destinations
        ]

    def next_service(self) -> str:
        """Returns the destination service of the next request."""
        if len(self._destinations) == 1:
            return self._destinations[0].service
        best = 0
        for index, destination in enumerate(self._destinations):
            self._credits[index] += destination.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total_weight
        return self._destinations[best].service
