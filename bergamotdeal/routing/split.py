"""Division of a route's requests among services by weight."""

import random

from bergamotdeal.presets import model


class WeightedSplit:
    """Deals requests to destinations in an even sequence.

    Each request adds every destination's weight to its credit; the one with
    the most credit gets the request and pays the sum of the weights. So each
    destination has its share in any stretch of requests, to within one (the
    smooth weighted round robin that nginx brought into use).

    Args:
      destinations: The destinations.
      rng: Chooses where the sequence starts, so that nodes don't deal in step.
    """

    def __init__(
        self,
        *,
        destinations: tuple[model.Destination, ...],
        rng: random.Random,
    ) -> None:
        used = [each for each in destinations if each.weight > 0]
        self._destinations = used or list(destinations)
        self._total = sum(each.weight for each in self._destinations)
        self._credits = [
            rng.random() * each.weight for each in self._destinations
        ]

    def next_service(self) -> str:
        """Returns the service of the next request."""
        if len(self._destinations) == 1:
            return self._destinations[0].service
        best = 0
        for index, destination in enumerate(self._destinations):
            self._credits[index] += destination.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._destinations[best].service
