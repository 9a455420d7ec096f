"""This node's view of the leadership, and the node that it follows if the coordinator is lost."""

from cloverwalk.fleet.identity import Identity
from cloverwalk.fleet.messages import Contact, Leadership


class LeaderView:
    """The newest known leadership, and which of its nodes are unresponsive.

    >>> me = Identity("n3", "0a", "h3", "z1")
    >>> view = LeaderView(me, now=0.0)
    >>> first, second = Contact("n1", "h1"), Contact("n2", "h2")
    >>> view.update_leadership(Leadership(first, "0b", 7, (second,)), now=1.0)
    True
    >>> view.target().node
    'n1'
    >>> view.mark_unresponsive("h1"), view.target().node, view.has_lost_coordinator
    (None, 'n2', True)
    >>> view.mark_responsive("h1", now=2.0), view.target().node
    (None, 'n1')
    """

    def __init__(self, identity: Identity, now: float) -> None:
        self._identity = identity
        self.current: Leadership | None = None
        self._unresponsive_hosts: set[str] = set()
        self._has_contacted_leader = False
        self.last_seen_at = now
        """When a message of the coordinator or a standby last arrived, initially the start time."""

        self.holder_last_seen_at = now
        """The same for messages of the coordinator only."""

    @property
    def term(self) -> int:
        """The term of the current leadership, -1 if none is known."""
        return -1 if self.current is None else self.current.term

    @property
    def is_holder(self) -> bool:
        """Whether this process is the coordinator of the current leadership."""
        current = self.current
        identity = self._identity
        return current is not None and (current.holder.node, current.run) == (
            identity.node,
            identity.run,
        )

    @property
    def has_never_contacted_leader(self) -> bool:
        """Whether no coordinator or standby has sent anything since the start of this process.

        False if this process is the coordinator itself.
        """
        return not self._has_contacted_leader and not self.is_holder

    @property
    def standby_rank(self) -> int | None:
        """This node's index among the standbys; None if it is no standby."""
        if self.current is None:
            return None
        nodes = [standby.node for standby in self.current.standbys]
        return nodes.index(self._identity.node) if self._identity.node in nodes else None

    def update_leadership(self, leadership: Leadership, now: float) -> bool:
        """Adopt a leadership if it is newer; return whether it was adopted.

        A leadership that names an earlier process of this node is rejected: that process has ended,
        and this one would wait for itself until a standby claims the role.
        """
        if leadership.term <= self.term or self._is_of_earlier_process(leadership):
            return False
        self.current = leadership
        self._unresponsive_hosts.clear()
        self.last_seen_at = self.holder_last_seen_at = now
        return True

    def _is_of_earlier_process(self, leadership: Leadership) -> bool:
        identity = self._identity
        return leadership.holder.node == identity.node and leadership.run != identity.run

    def target(self) -> Contact | None:
        """Return the node to follow: the coordinator, or the first responsive standby.

        The standby of this zone comes first, and may be this node. So a zone that is cut off waits
        only for the coordinator's timeout, not for that of each standby in other zones.
        """
        return next(
            (
                contact
                for contact in self.contacts()
                if contact.host not in self._unresponsive_hosts
            ),
            None,
        )

    @property
    def follows_other(self) -> bool:
        """Whether another node is followed."""
        target = self.target()
        return target is not None and not self._is_local(target)

    @property
    def has_lost_coordinator(self) -> bool:
        """Whether the coordinator is unresponsive."""
        return self.current is not None and self.current.holder.host in self._unresponsive_hosts

    @property
    def serves_zone(self) -> bool:
        """Whether this node serves its zone as standby because the coordinator is unresponsive."""
        target = self.target()
        return self.has_lost_coordinator and target is not None and self._is_local(target)

    def unresponsive_contacts(self) -> list[Contact]:
        """Return those of the coordinator and the standbys that are unresponsive."""
        return [contact for contact in self.contacts() if contact.host in self._unresponsive_hosts]

    def contacts(self) -> list[Contact]:
        """Return the coordinator and its standbys, this zone's standby first among these.

        This node is not returned as a standby of another zone.
        """
        if self.current is None:
            return []
        standbys = self.current.standbys
        same_zone = [
            standby for standby in standbys if standby.zone and standby.zone == self._identity.zone
        ]
        elsewhere = [
            standby
            for standby in standbys
            if standby not in same_zone and not self._is_local(standby)
        ]
        return [self.current.holder, *same_zone, *elsewhere]

    def _is_local(self, contact: Contact) -> bool:
        return contact.node == self._identity.node

    def mark_unresponsive(self, host: str) -> None:
        """Mark a node unresponsive until it sends something."""
        self._unresponsive_hosts.add(host)

    def mark_responsive(self, host: str, now: float) -> None:
        """Mark a node responsive after a message from it."""
        self._unresponsive_hosts.discard(host)
        if self.current is None or (host == self._identity.host and not self.is_holder):
            # Orders of a standby to itself don't show that another node is reachable.
            return
        if host == self.current.holder.host:
            self.holder_last_seen_at = now
        if any(contact.host == host for contact in self.contacts()):
            self._has_contacted_leader = True
            self.last_seen_at = now
