"""The zones that the operator drains, as last known to this node.

A drain stays in force until a newer state of the store, read from the store or received from
another node, no longer contains it. A node that can't confirm its state keeps the last known one.
"""

from collections.abc import Callable, Iterable

from cloverwalk.fleet.messages import ZoneDrainCopy

MAX_AGE_MS = 1_000_000
"""Upper bound of the reported age; also the age of a state that was never confirmed."""

ChangeListener = Callable[[tuple[str, ...], tuple[str, ...]], None]
"""Called with the zones that are drained from now on and with those whose drain was lifted."""


class ZoneDrains:
    """The drained zones and the store version up to which they are known.

    >>> drains = ZoneDrains()
    >>> drains.update(5, ["z2", "z1"], confirmed_at=1.0), drains.zones
    (True, ('z1', 'z2'))
    >>> drains.update(4, [], confirmed_at=2.0), drains.zones
    (False, ('z1', 'z2'))
    >>> drains.copy(now=3.5)
    ZoneDrainCopy(version=5, zones=('z1', 'z2'), age_ms=2500)
    >>> drains.apply_copy(ZoneDrainCopy(9, ("z1",), 100), now=4.0), drains.zones
    (True, ('z1',))
    """

    def __init__(self) -> None:
        self.version = -1
        """Store version up to which the drains are known, -1 if they never were."""

        self.zones: tuple[str, ...] = ()
        """The drained zones, sorted."""

        self.confirmed_at = float("-inf")
        """When the drains were last known to be the newest (monotonic clock, seconds)."""

        self.source_host = ""
        """Host of the node that sent the current state; empty if it was read from the store."""

        self.listeners: list[ChangeListener] = []

    @property
    def is_known(self) -> bool:
        """Whether the drains were ever known."""
        return self.version >= 0

    def age_ms(self, now: float) -> int:
        """Return the time since the drains were last known to be the newest, in ms."""
        return int(min(MAX_AGE_MS, (now - self.confirmed_at) * 1000))

    def update(
        self, version: int, zones: Iterable[str], confirmed_at: float, host: str = ""
    ) -> bool:
        """Apply the state as of a store version unless a newer one is known; return whether the
        drained zones changed.

        ``host`` is the node that sent the state; empty if it was read from the store.
        """
        if version < self.version:
            return False
        self.version = version
        self.source_host = host
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        previous, self.zones = self.zones, tuple(sorted(set(zones)))
        drained = tuple(zone for zone in self.zones if zone not in previous)
        lifted = tuple(zone for zone in previous if zone not in self.zones)
        if drained or lifted:
            for listener in self.listeners:
                listener(drained, lifted)
        return bool(drained or lifted)

    def copy(self, now: float) -> ZoneDrainCopy | None:
        """Return the state for another node, None if the drains were never known."""
        if not self.is_known:
            return None
        return ZoneDrainCopy(self.version, self.zones, self.age_ms(now))

    def apply_copy(self, copy: ZoneDrainCopy | None, now: float, host: str = "") -> bool:
        """Apply the state that the node at ``host`` sent; return whether the drained zones changed.

        A copy of the version that is known already only confirms it.
        """
        if copy is None or copy.version < 0:
            return False
        confirmed_at = now - max(0, copy.age_ms) / 1000
        if copy.version == self.version:
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
            return False
        return self.update(copy.version, copy.zones, confirmed_at, host)
