"""Sends an item to a replica and reads the events of its answer."""

from collections.abc import Callable

import curio
from msgspec import Struct

from cloverwalk.gateway.content_hash import hash_request
from cloverwalk.gateway.crash_detector import Delivery
from cloverwalk.gateway.crash_keys import RequestKeys, shareable_part_ids
from cloverwalk.gateway.errors import TIMED_OUT, ReplicaError
from cloverwalk.gateway.event_stream import EventOrder, EventSplitter, StreamEvent
from cloverwalk.gateway.messages import (
    ClientRequest,
    GatewayCodec,
    PromptPart,
    RawHeaders,
    RequestFields,
)
from cloverwalk.gateway.replica_connection import ReplicaConnection, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.request_timing import slowdown_percent
from cloverwalk.gateway.software_versions import Software, software_of
from cloverwalk.gateway.warmup_gate import WarmupGate
from cloverwalk.jobs.run import ItemRun, JobRun, RunTiming

READ_INTERVAL_S = 0.1
"""Events of an item are read in batches at this interval, since no client waits for single ones. A
slot is freed later by at most this time."""

REPLACEMENT_CHARACTER = "\ufffd"
"""Stands for bytes in an event's data that are not UTF-8."""

ANSWER_TIMEOUT_S = 3.0
"""Timeout for the head of an answer, and for the body of a failure."""

EVENT_TIMEOUT_S = 1.5
"""Timeout for the next data of an event stream."""


class ItemFailedError(Exception):
    """The replica ran the item and reports that it failed."""


class ItemImpossibleError(Exception):
    """The replica reports that the item can never be done."""


ERRORS_BY_STATUS: dict[int, type[Exception]] = {422: ItemImpossibleError, 500: ItemFailedError}
"""Error of an item for the status of a replica's complete, signed answer."""


class ItemCaller(Struct):
    """Runs items at replicas."""

    codec: GatewayCodec
    pool: ReplicaPool
    directory: ReplicaDirectory
    clock: Callable[[], float]
    warmup_gate: WarmupGate | None = None

    def prompt(self, item_run: ItemRun) -> tuple[PromptPart, ...]:
        """Return the parts of an item's prompt, as far as its headers describe them."""
        return self.codec.request_fields(_raw_headers(item_run)).prompt

    def crash_keys(self, job: JobRun, item_run: ItemRun) -> RequestKeys:
        """Return what identifies an item in crash records."""
        if item_run.crash_keys is None:
            content = hash_request(self._request(job, item_run))
            part_ids = shareable_part_ids(self.prompt(item_run))
            item_run.crash_keys = RequestKeys(content, part_ids)
        return item_run.crash_keys

    async def run(
        self,
        job: JobRun,
        item_run: ItemRun,
        replica: Replica,
        on_output: Callable[[], None],
        must_be_new: bool = False,
    ) -> None:
        """Run an item to its end; events are added to the run as they arrive.

        With ``must_be_new`` it is sent over a new connection. Raises ReplicaError when the run was
        interrupted, ItemFailedError or ItemImpossibleError when the replica reports it.
        """
        address = (replica.host, replica.port)
        item_run.delivery = item_run.timing = None
        connection = await self.pool.acquire(address, item_run.item.item_id, must_be_new)
        is_released = False
        try:
            if self.directory.find(replica.replica_id) is None:
                raise ReplicaError("the replica is draining", False, "draining")
            software = self._checked_software(item_run, replica)
            if self.warmup_gate is not None:
                # Batch items get no warm-up tokens.
                self.warmup_gate.check(replica, item_run.item.item_id, None)
            keep_alive_s = await self._exchange(
                job, item_run, replica, software, connection, on_output
            )
            is_released = True
            await self.pool.release(connection, keep_alive_s)
        except ReplicaError as error:
            if error.code == TIMED_OUT:
                await self.pool.close_timed_out(connection)
            raise
        finally:
            if not is_released:
                await connection.close()

    def _checked_software(self, item_run: ItemRun, replica: Replica) -> Software:
        """Return the replica's software; raise ReplicaError if the output can't go on there."""
        listed = self.directory.find(replica.replica_id) or replica
        software = software_of(listed)
        if not item_run.fits(software):
            raise ReplicaError("the replica has another software version", False, "other_version")
        return software

    async def _exchange(
        self,
        job: JobRun,
        item_run: ItemRun,
        replica: Replica,
        software: Software,
        connection: ReplicaConnection,
        on_output: Callable[[], None],
    ) -> float | None:
        request = self._request(job, item_run)
        headers = self.codec.headers_to_replica(
            request, replica.replica_id, None, item_run.last_event_id
        )
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                item_run.delivery = Delivery(connection.is_new, self.clock())
                await connection.send("POST", item_run.item.path, headers, item_run.item.body)
                head = await connection.read_head(item_run.item.item_id)
                item_run.delivery.has_answer = True
                item_run.ends_with_connection = head.ends_with_connection
        except OSError as error:
            raise ReplicaError(f"sending failed: {error!r}", True, "reset") from error
        except curio.TaskTimeout as error:
            raise ReplicaError("no answer head in time", True, TIMED_OUT) from error
        if head.fields.was_not_run:
            raise ReplicaError(f"the replica answered {head.status}", False, "not_run")
        if head.status in ERRORS_BY_STATUS and head.fields.is_signed:
            await self._read_failure(connection)
            raise ERRORS_BY_STATUS[head.status]
        if head.status != 200 or not head.fields.is_signed:
            raise ReplicaError(f"the replica answered {head.status}", True, "unusable")
        item_run.timing = RunTiming(slowdown_percent(head.fields.load))
        await self._handle_events(job, item_run, software, connection, on_output)
        return head.fields.keep_alive_s

    async def _read_failure(self, connection: ReplicaConnection) -> None:
        """Read a failure's body to its end: a truncated answer proves nothing about the item."""
        try:
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                while await connection.read_body() is not None:
                    pass
        except curio.TaskTimeout as error:
            raise ReplicaError(
                "the body of the failure did not end in time", True, TIMED_OUT
            ) from error

    def _request(self, job: JobRun, item_run: ItemRun) -> ClientRequest:
        headers = _raw_headers(item_run)
        header_names = {name.lower() for name, _ in headers}
        if b"host" not in header_names:
            headers.insert(0, (b"Host", job.record.host.encode()))
        fields = RequestFields(item_run.item.item_id)
        return ClientRequest(
            "POST",
            item_run.item.path,
            headers,
            item_run.item.body,
            job.record.host,
            fields,
            self.clock(),
            job.record.tenant,
        )

    async def _handle_events(
        self,
        job: JobRun,
        item_run: ItemRun,
        software: Software,
        connection: ReplicaConnection,
        on_output: Callable[[], None],
    ) -> None:
        splitter = EventSplitter()
        order = EventOrder(item_run.last_event_id)
        while (data := await self._next_data(connection)) is not None:
            try:
                events = splitter.feed(data)
                for event in events:
                    _handle_event(job, item_run, order, event)
                    item_run.software = item_run.software or software
            except ValueError as error:
                raise ReplicaError(str(error), True, "invalid_stream") from error
            if events and item_run.timing is not None:
                item_run.timing.record_events(len(events), self.clock())
                on_output()
            await curio.sleep(READ_INTERVAL_S)
            connection.expect_data()
        if splitter.rest:
            raise ReplicaError("the stream ended within an event", True, "answer_cut")

    async def _next_data(self, connection: ReplicaConnection) -> bytes | None:
        try:
            async with curio.timeout_after(EVENT_TIMEOUT_S):
                return await connection.read_body()
        except curio.TaskTimeout as error:
            raise ReplicaError("no event in time", True, TIMED_OUT) from error


def _handle_event(job: JobRun, item_run: ItemRun, order: EventOrder, event: StreamEvent) -> None:
    """Add an event to a run; raise ValueError when it does not belong there."""
    if event.event_id is None:
        raise ValueError("an event has no id")
    if REPLACEMENT_CHARACTER in event.data:
        # The replica sent this character itself, or bytes that are not UTF-8: decoding the latter
        # raises ValueError.
        event.raw.decode("utf-8")
    order.check_next(event.event_id)
    if not job.add_event(item_run, event.event_id, event.data):
        raise ValueError("an event is missing")


def _raw_headers(item_run: ItemRun) -> RawHeaders:
    return [(name.encode(), value.encode()) for name, value in item_run.item.headers]
