"""Chooses the service of a weighted route for each request."""

from collections.abc import Sequence


class WeightedRotation:
    """Distributes requests over the parts of a route, closely in proportion to their weights.

    >>> rotation = WeightedRotation()
    >>> [rotation.next("r", (("a", 75.0), ("b", 25.0))) for _ in range(4)]
    ['a', 'b', 'a', 'a']
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route: str, parts: Sequence[tuple[str, float]]) -> str:
        """Return the service whose turn it is."""
        weights: dict[str, float] = {}
        for service, weight in parts:
            weights[service] = weights.get(service, 0.0) + weight
        credits = self._credits.setdefault(route, {})
        for service in [name for name in credits if name not in weights]:
            del credits[service]
        for service, weight in weights.items():
            credits[service] = credits.get(service, 0.0) + weight
        chosen = max(weights, key=lambda name: (credits[name], name))
        credits[chosen] -= sum(weights.values())
        return chosen
