"""What all roles of a node share: identity, clock reading, outbox, table, membership."""

from collections import OrderedDict
from random import Random

from cloverwalk.config.settings import NodeSettings
from cloverwalk.control.metrics import NodeMetrics
from cloverwalk.core.events import Instruction, SendToPeer, WriteLog
from cloverwalk.core.membership import Membership
from cloverwalk.core.peer_messages import PeerMessage
from cloverwalk.core.weight_table import EMPTY_TABLE, EffectiveRow, WeightTable, resolve

MAX_ADDRESSES = 4096


class Context:
    """Shared by the roles of one node; ``now`` is set before each event is handled."""

    def __init__(
        self, settings: NodeSettings, random: Random, now: float, wall_offset_s: float
    ) -> None:
        self.settings = settings
        self.node_id = settings.node_id
        self.zone = settings.zone
        self.address = f"{settings.host}:{settings.peer_port}"
        self.random = random
        self.wall_offset_s = wall_offset_s
        self.now = now
        self.incarnation = ""
        self.started_at = 0.0  # seconds since the epoch; orders incarnations in gossip
        self.begin_incarnation()
        self.leaving = False
        self.table: WeightTable = EMPTY_TABLE
        gossip = settings.gossip
        self.membership = Membership(
            self.node_id, self.zone, gossip.suspect_after_s, gossip.contacts_per_zone
        )
        self.metrics = NodeMetrics()
        self.outbox: list[Instruction] = []
        self.loopback: list[PeerMessage] = []
        self._addresses: OrderedDict[str, str] = OrderedDict()
        self._row_cache: dict[tuple[str, str], EffectiveRow] = {}
        self._row_cache_version = -1

    @property
    def wall_now(self) -> float:
        """Seconds since the epoch; used only for deadlines that callers see."""
        return self.now + self.wall_offset_s

    def begin_incarnation(self) -> None:
        """Take a new incarnation: nothing this node held before is its own any more."""
        self.incarnation = f"{self.random.getrandbits(32):08x}"
        self.started_at = self.wall_now

    def emit(self, instruction: Instruction) -> None:
        """Add an instruction to the outbox."""
        self.outbox.append(instruction)

    def send(self, node: str, message: PeerMessage) -> None:
        """Send to a node; to this node itself it is delivered after the present event."""
        if node == self.node_id:
            self.loopback.append(message)
            return
        digest = self.membership.digest(node)
        address = digest.address if digest else self._addresses.get(node)
        if address is not None:
            self.emit(SendToPeer(node, address, message))

    def note_address(self, node: str, address: str) -> None:
        """Remember where a sender listens: it may be outside this node's view."""
        self._addresses[node] = address
        self._addresses.move_to_end(node)
        if len(self._addresses) > MAX_ADDRESSES:
            self._addresses.popitem(last=False)

    def log(self, number: int, **fields: str | int | float | bool) -> None:
        """Log a numbered event."""
        self.emit(WriteLog(number, fields))

    def new_id(self) -> str:
        """Return a fresh identifier of 24 hex digits."""
        return f"{self.random.getrandbits(96):024x}"

    def live_node_names(self, zone: str | None = None) -> list[str]:
        """Return live nodes that are not leaving, this one included, of a zone or all."""
        names = [
            digest.node
            for digest in self.membership.live(self.now)
            if not digest.leaving and zone in (None, digest.zone)
        ]
        if not self.leaving and zone in (None, self.zone):
            names.append(self.node_id)
        return names

    def table_row(self, session: str, kind: str) -> EffectiveRow:
        """Return the row in force; kept until the table changes."""
        if self._row_cache_version != self.table.version or len(self._row_cache) > 10_000:
            self._row_cache.clear()
            self._row_cache_version = self.table.version
        key = (session, kind)
        if key not in self._row_cache:
            self._row_cache[key] = resolve(self.table, session, kind)
        return self._row_cache[key]
