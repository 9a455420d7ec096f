"""The online requests of a node that wait for a slot, in the order in which they are sent."""

import attrs


@attrs.frozen(eq=False, order=False)
class Place:
    """A request's place in the line."""

    priority: int
    received_at: float

    @property
    def rank(self) -> tuple[int, float]:
        """What the line is sorted by: the more urgent first, then the older."""
        return (self.priority, self.received_at)


class WaitingLine:
    """Requests that wait here.

    >>> line = WaitingLine()
    >>> later, urgent = line.join(1, 10.0), line.join(0, 11.0)
    >>> line.is_first(later), line.is_first(urgent), line.is_first(None)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._places: list[Place] = []

    def join(self, priority: int, received_at: float) -> Place:
        """Return a new place."""
        place = Place(priority, received_at)
        self._places.append(place)
        return place

    def leave(self, place: Place) -> None:
        """Give a place up."""
        self._places.remove(place)

    def is_first(self, place: Place | None) -> bool:
        """Whether nobody waits before a place; without one, whether nobody waits at all."""
        if place is None:
            return not self._places
        return min(self._places, key=lambda one: one.rank) is place
