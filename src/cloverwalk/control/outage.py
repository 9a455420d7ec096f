"""Telling an outage of the table service from being cut off from it.

Leases and the table can change only through the table service. When no zone reaches it,
nothing changes, and work in hand may go on; when only this node is cut off, others may
take its leases or accept edits, and it must stop starting batch work. A node decides that
nobody reaches the service only while it hears every zone it knows.
"""

from cloverwalk.control.context import Context
from cloverwalk.control.store_port import StorePort


class OutageView:
    """This node's opinion on who reaches the table service."""

    def __init__(self, context: Context, store: StorePort) -> None:
        self._context = context
        self._store = store

    def freshest_contact_age_s(self) -> float:
        """Seconds since this node, or a peer by its own report, reached the service."""
        context = self._context
        ages = [
            digest.store_age_s + context.membership.age_s(digest.node, context.now)
            for digest in context.membership.live(context.now)
        ]
        return min([self._store.contact_age_s, *ages])

    def hears_every_zone(self) -> bool:
        """Return whether a live member of every known zone is heard."""
        context = self._context
        live_zones = {digest.zone for digest in context.membership.live(context.now)}
        known_zones = {digest.zone for digest in context.membership.known()}
        return known_zones <= live_zones | {context.zone}

    def nobody_reaches_store(self, for_s: float) -> bool:
        """Return whether the service is out for all, so that nothing can have changed."""
        return self.hears_every_zone() and self.freshest_contact_age_s() > for_s
