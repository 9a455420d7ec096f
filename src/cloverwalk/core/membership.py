"""Tracks which nodes are alive, by gossip of digests.

Every node owns one digest and increments its ``beat`` each round. A digest is replaced only
by one with a higher (incarnation, beat). A member whose beat does not rise is suspected; only
the lease in the table service decides about ownership. Leaving is sticky for an incarnation.

A node keeps the members of its own zone and a few contacts of each other zone, so its view
grows with the zone and the number of zones, not with the fleet. All-to-all heartbeats would
grow with the square of the number of nodes, and a monitor would need a dedicated node.
"""

from random import Random

from msgspec import Struct, structs

from cloverwalk.core.hashing import rendezvous_rank


class ReplicaReport(Struct, frozen=True, array_like=True):
    """A replica's state as its owner reports it."""

    replica: str
    epoch: int
    model: str
    slots: int
    online: int
    batch: int
    leaving: bool = False


class DemandReport(Struct, frozen=True, array_like=True):
    """Pending batch items of one class at a job owner."""

    session: str
    kind: str
    model: str
    pending: int
    urgent: bool
    prompt_tokens: int  # estimate: the largest mean prompt length among the jobs of the class


class RateReport(Struct, frozen=True, array_like=True):
    """Recent online demand for one limited table row at a node."""

    session: str
    kind: str
    requests_per_s: float


class UnservedReport(Struct, frozen=True, array_like=True):
    """Rate of online requests for a model that no known replica has loaded."""

    model: str
    requests_per_s: float


class NodeDigest(Struct, frozen=True, array_like=True):
    """A node's report about itself. It is encoded as an array to keep gossip small."""

    node: str
    zone: str
    address: str
    incarnation: str
    started_at: float
    beat: int
    leaving: bool
    table_version: int
    store_age_s: float  # since the table service last answered the node
    replicas: list[ReplicaReport]
    shards: list[str]
    demand: list[DemandReport]
    rates: list[RateReport]
    unserved: list[UnservedReport] = []


class Entry(Struct):
    """A digest, when its beat was last seen to rise, and the round in which it was last sent."""

    digest: NodeDigest
    heard_at: float
    sent_round: int = -1


class Membership:
    """One node's view of the other nodes.

    >>> def digest(node, beat):
    ...     return NodeDigest(node, "z", "", "i1", 0.0, beat, False, 0, 0.0, [], [], [], [])
    >>> view = Membership("n1", "z", suspect_after_s=5.0)
    >>> view.merge(digest("n2", 1), age_s=0.0, now=0.0)
    True
    >>> view.is_live("n2", now=4.0), view.is_live("n2", now=6.0)
    (True, False)
    """

    def __init__(
        self, node: str, zone: str, suspect_after_s: float, contacts_per_zone: int = 3
    ) -> None:
        self.node = node
        self.zone = zone
        self.suspect_after_s = suspect_after_s
        self._contacts_per_zone = contacts_per_zone
        self._entries: dict[str, Entry] = {}
        self._round = 0
        self._pending_targets: dict[str, list[str]] = {}

    def merge(self, digest: NodeDigest, age_s: float, now: float) -> bool:
        """Apply a digest if it is newer than the current one; return whether it was applied."""
        if digest.node == self.node:
            return False
        current = self._entries.get(digest.node)
        if current is not None and not _is_newer(digest, current.digest):
            return False
        if current is None and not self._admits_member(digest, now):
            return False
        self._entries[digest.node] = Entry(digest, now - age_s)
        return True

    def _admits_member(self, digest: NodeDigest, now: float) -> bool:
        """Return whether to add a new member; may remove a suspected or lower-ranked contact."""
        if digest.zone == self.zone:
            return True
        contacts = [e.digest.node for e in self._entries.values() if e.digest.zone == digest.zone]
        if len(contacts) < self._contacts_per_zone:
            return True
        # The ranking differs from node to node, so that contacts are spread over all members.
        ranked = rendezvous_rank(f"contact {self.node}", [*contacts, digest.node])
        suspected = [node for node in contacts if not self.is_live(node, now)]
        worst = suspected[0] if suspected else ranked[-1]
        if worst == digest.node:
            return False
        del self._entries[worst]
        return True

    def note_release(self, node: str, resource: str) -> None:
        """Remove a resource that a node released from its last digest."""
        entry = self._entries.get(node)
        if entry is None:
            return
        old = entry.digest
        entry.digest = structs.replace(
            old,
            replicas=[report for report in old.replicas if f"replica/{report.replica}" != resource],
            shards=[shard for shard in old.shards if shard != resource],
        )

    def digest(self, node: str) -> NodeDigest | None:
        """Return the last digest of a node."""
        entry = self._entries.get(node)
        return entry.digest if entry else None

    def age_s(self, node: str, now: float) -> float:
        """Return the seconds since a node's beat rose."""
        entry = self._entries.get(node)
        return now - entry.heard_at if entry else float("inf")

    def is_live(self, node: str, now: float) -> bool:
        """Return whether a node is known and not suspected."""
        return node == self.node or self.age_s(node, now) <= self.suspect_after_s

    def live(self, now: float) -> list[NodeDigest]:
        """Return the digests of the live members, this node not included."""
        return [
            entry.digest
            for entry in self._entries.values()
            if now - entry.heard_at <= self.suspect_after_s
        ]

    def known(self) -> list[NodeDigest]:
        """Return every known digest, suspected members included."""
        return [entry.digest for entry in self._entries.values()]

    def forget(self, older_than_s: float, now: float) -> list[str]:
        """Remove members whose beat has not risen for ``older_than_s``; return their names."""
        expired = [n for n, entry in self._entries.items() if now - entry.heard_at > older_than_s]
        for node in expired:
            del self._entries[node]
        return expired

    def gossip_targets(self, fanout: int, random: Random, now: float) -> list[str]:
        """Return the targets of this round: mostly in this node's zone, at least one in another.

        One suspected member is added, if there is any.
        """
        local = [digest.node for digest in self.live(now) if digest.zone == self.zone]
        remote = [digest.node for digest in self.live(now) if digest.zone != self.zone]
        targets = self._next_targets("local", local, fanout, random)
        remote_count = max(1, fanout - len(targets))
        targets += self._next_targets("remote", remote, remote_count, random)
        suspected = sorted(set(self._entries) - set(targets) - set(local) - set(remote))
        if suspected:  # so that both sides of a healed partition find each other again
            targets.append(random.choice(suspected))
        return targets

    def _next_targets(self, name: str, nodes: list[str], count: int, random: Random) -> list[str]:
        """Return the next nodes of a shuffled order, so that none is skipped for long.

        With an independent draw each round, a member could be skipped for so long that it
        would be suspected.
        """
        pending = [node for node in self._pending_targets.get(name, []) if node in nodes]
        chosen = pending[:count]
        if len(chosen) < min(count, len(nodes)):
            pending = sorted(set(nodes) - set(chosen))
            random.shuffle(pending)
            chosen += pending[: count - len(chosen)]
        self._pending_targets[name] = [node for node in pending if node not in chosen]
        return chosen

    def entries_to_send(self, limit: int, now: float) -> list[tuple[NodeDigest, float]]:
        """Return up to ``limit`` (digest, age) pairs of live members, least recently sent first."""
        self._round += 1
        live = [e for e in self._entries.values() if now - e.heard_at <= self.suspect_after_s]
        live.sort(key=lambda entry: (entry.sent_round, entry.digest.zone != self.zone))
        chosen = live[:limit]
        for entry in chosen:
            entry.sent_round = self._round
        return [(entry.digest, now - entry.heard_at) for entry in chosen]


def _is_newer(new: NodeDigest, old: NodeDigest) -> bool:
    if new.incarnation == old.incarnation:
        return new.beat > old.beat
    return (new.started_at, new.incarnation) > (old.started_at, old.incarnation)
