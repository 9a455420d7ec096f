"""Tells the owners of jobs that callers have ended these at other nodes.

An owner also finds the end in the store, but too late while its calls of the store time out. A lost
message is not repeated.
"""

from collections.abc import Awaitable, Callable

from cloverwalk.fleet.coordinator import Coordinator
from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.leader import LeaderView
from cloverwalk.fleet.messages import Contact, JobEnded
from cloverwalk.fleet.transport import Sender


class JobEndSync:
    """Sends ends of jobs to their owners, through the coordinator, which knows all nodes."""

    def __init__(
        self,
        identity: Identity,
        leader: LeaderView,
        coordinator: Coordinator,
        transport: Sender,
    ) -> None:
        self._identity = identity
        self._leader = leader
        self._coordinator = coordinator
        self._transport = transport
        self.on_ended: Callable[[JobEnded], Awaitable[None]] = _ignore_end
        """Called with the end of a job that this process owns."""

    def announce(self, message: JobEnded) -> None:
        """Tell the owner of a job that the store holds its end."""
        if message.owner in ("", self._identity.incarnation):
            return
        owner = self._find_owner(message)
        target = owner or self._leader.target()
        if target is not None and target.host != self._identity.host:
            self._transport.send(target.host, message)

    async def handle(self, message: JobEnded) -> None:
        """Handle the end of a job of this process; the coordinator passes on all others."""
        if message.owner == self._identity.incarnation:
            await self.on_ended(message)
            return
        owner = self._find_owner(message) if self._coordinator.is_active else None
        if owner is not None and owner.host != self._identity.host:
            self._transport.send(owner.host, message)

    def _find_owner(self, message: JobEnded) -> Contact | None:
        """Return the node of the owner, None if this node does not know it."""
        node = message.owner.rpartition(".")[0]
        entry = self._coordinator.registry.by_name.get(node)
        if self._coordinator.is_active and entry is not None:
            return entry.contact
        return next((contact for contact in self._leader.contacts() if contact.node == node), None)


async def _ignore_end(_message: JobEnded) -> None:
    return None
