"""Which nodes hold a lease: each renews a row of its own, and all follow those rows."""

from collections.abc import Callable

import msgspec
from msgspec import Struct

from cloverwalk.store.types import CommitStatus, Put, RowKey, RowPage, Store, Transaction

MEMBER_TABLE = "member"
RENEW_EVERY_S = 0.7
LEASE_S = 2.4
"""A holder whose row stands still for this long has lost its lease."""

RENEW_TIMEOUT_S = 1.0


class MemberRow(Struct):
    """What a node's row says."""

    node: str
    incarnation: str
    host: str
    zone: str
    beat: int
    is_leaving: bool = False


class _Seen(Struct):
    row: MemberRow
    version: int
    changed_at: float


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(MemberRow)


class MemberBook:
    """The members' rows, and since when each of them stands still."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._seen: dict[str, _Seen] = {}

    def take(self, page: RowPage) -> list[MemberRow]:
        """Take rows; return those that are news."""
        news: list[MemberRow] = []
        for row in page.rows:
            name = row.row_key.key
            if row.value is None:
                self._seen.pop(name, None)
                continue
            known = self._seen.get(name)
            if known is not None and known.version >= row.version:
                continue
            try:
                member = _decoder.decode(row.value)
            except msgspec.DecodeError:
                continue
            self._seen[name] = _Seen(member, row.version, self._clock())
            news.append(member)
        return news

    def holds_lease(self, incarnation: str, watched_since: float) -> bool:
        """Whether the holder of an incarnation is to be taken as alive.

        A row that stands still counts only from ``watched_since`` on, when this node began to
        see the rows without a gap.
        """
        for seen in self._seen.values():
            if seen.row.incarnation == incarnation:
                still_since = max(seen.changed_at, watched_since)
                is_current = self._clock() - still_since < LEASE_S
                return is_current and not seen.row.is_leaving
        return False

    def live(self, watched_since: float) -> list[str]:
        """Return the incarnations that hold a lease, sorted."""
        names = [seen.row.incarnation for seen in self._seen.values()]
        return sorted(one for one in names if self.holds_lease(one, watched_since))


class LeaseRenewal:
    """Renews this node's row."""

    def __init__(self, row: MemberRow, store: Store, clock: Callable[[], float]) -> None:
        self._row = row
        self._store = store
        self._clock = clock
        self.renewed_at = float("-inf")
        """When the last renewal that succeeded was sent."""

    @property
    def incarnation(self) -> str:
        """The name under which this process owns jobs."""
        return self._row.incarnation

    def is_valid(self) -> bool:
        """Whether this node may still take itself for a holder."""
        return self._clock() - self.renewed_at < LEASE_S

    async def renew(self) -> bool:
        """Write the next beat; return whether it was taken."""
        sent_at = self._clock()
        self._row.beat += 1
        row_key = RowKey(MEMBER_TABLE, "", self._row.node)
        transaction = Transaction(puts=[Put(row_key, _encoder.encode(self._row))])
        outcome = await self._store.commit(transaction, RENEW_TIMEOUT_S)
        if outcome.status is not CommitStatus.COMMITTED:
            return False
        self.renewed_at = sent_at
        return True

    async def leave(self) -> bool:
        """Give up the lease."""
        self._row.is_leaving = True
        return await self.renew()
