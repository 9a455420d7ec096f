"""Rounds of gossip: sends this node's digest and others', takes in what comes.

A round costs ``fanout`` messages. How many digests each carries follows from the budget of
bytes; the time until a silent member is suspected follows from how long it takes to hear
every member in view. So the cost of a node stays the same as the fleet grows, and
suspicion gets slower with the size of the view.
"""

from collections import Counter
from collections.abc import Callable

from msgspec import json

from cloverwalk.control.context import Context
from cloverwalk.core import catalogue
from cloverwalk.core.membership import NodeDigest
from cloverwalk.core.peer_messages import AgedDigest, Gossip
from cloverwalk.core.types import LivenessRow

SILENT_ROUNDS = 3.0
"""A member is suspected when this many of its expected messages did not come."""


class GossipRole:
    """Keeps the membership view fresh."""

    def __init__(
        self,
        context: Context,
        own_digest: Callable[[int], NodeDigest],
        on_digest: Callable[[NodeDigest], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._context = context
        self._own_digest = own_digest
        self._on_digest = on_digest
        self._on_lost = on_lost
        self._beat = 0
        self._sent_at = -1e9
        self._suspected: set[str] = set()

    def tick(self) -> None:
        """Send a round when it is due, and report members that fell silent."""
        context = self._context
        settings = context.settings.gossip
        self._report_suspects()
        if context.now - self._sent_at < settings.interval_s:
            return
        self._sent_at = context.now
        self._adapt_suspicion()
        context.membership.forget(settings.forget_after_s, context.now)
        targets = context.membership.gossip_targets(settings.fanout, context.random, context.now)
        self._send(targets)

    def announce(self) -> None:
        """Tell live members at once; for news that must not wait for the next round."""
        nodes = [digest.node for digest in self._context.membership.live(self._context.now)]
        message = self.hello()
        for node in nodes:
            self._context.send(node, message)

    def hello(self) -> Gossip:
        """Return this node's own digest as a message."""
        self._beat += 1
        return Gossip([AgedDigest(self._own_digest(self._beat), 0.0)])

    def greet(self, rows: list[LivenessRow]) -> None:
        """Say hello to the nodes that the table service knows: all of the zone, some others.

        Without it a new node would meet its zone only as others' gossip mentions it.
        """
        context = self._context
        contacts: Counter[str] = Counter()
        shuffled = sorted(rows, key=lambda row: row.node)
        context.random.shuffle(shuffled)
        message = self.hello()
        for row in shuffled:
            if row.node == context.node_id:
                continue
            contacts[row.zone] += 1
            is_wanted = row.zone == context.zone
            if is_wanted or contacts[row.zone] <= context.settings.gossip.contacts_per_zone:
                context.note_address(row.node, row.address)
                context.send(row.node, message)

    def _send(self, targets: list[str]) -> None:
        context = self._context
        self._beat += 1
        own = AgedDigest(self._own_digest(self._beat), 0.0)
        limit = self._digests_per_message(own, len(targets)) - 1
        others = [
            AgedDigest(digest, age_s)
            for digest, age_s in context.membership.entries_to_send(limit, context.now)
        ]
        for node in targets:
            context.send(node, Gossip([own, *others]))

    def _digests_per_message(self, own: AgedDigest, targets: int) -> int:
        settings = self._context.settings.gossip
        size = len(json.encode(own)) + 2
        budget = settings.bytes_per_s * settings.interval_s / max(1, targets)
        return max(2, min(settings.digests_per_message, int(budget / size)))

    def _adapt_suspicion(self) -> None:
        context = self._context
        settings = context.settings.gossip
        members = len(context.membership.known())
        hear_all_s = settings.interval_s * members / settings.fanout
        context.membership.suspect_after_s = max(
            settings.suspect_after_s, SILENT_ROUNDS * hear_all_s
        )

    def on_gossip(self, message: Gossip) -> None:
        """Merge digests; new ones are passed on to the node's other roles."""
        context = self._context
        for aged in message.digests:
            before = context.membership.digest(aged.digest.node)
            if not context.membership.merge(aged.digest, aged.age_s, context.now):
                continue
            if before is not None and before.incarnation != aged.digest.incarnation:
                self._on_lost(before.node)
            self._suspected.discard(aged.digest.node)
            self._on_digest(aged.digest)

    def _report_suspects(self) -> None:
        context = self._context
        for digest in context.membership.known():
            if context.membership.is_live(digest.node, context.now):
                continue
            if digest.node not in self._suspected:
                self._suspected.add(digest.node)
                context.log(catalogue.PEER_SUSPECTED, peer=digest.node)
                self._on_lost(digest.node)
