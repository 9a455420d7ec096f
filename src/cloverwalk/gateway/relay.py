"""Serves one online request, from its arrival to the end of its answer.

A request is sent to a replica of its route, and the replica's answer is relayed to the client. When
an attempt fails, the request goes to another replica if its route allows that; otherwise the node
answers with an error response. ``OnlineRelay.handle`` is the entry point.
"""

from collections.abc import Callable
from typing import Any

import attrs
import curio

from cloverwalk.core import catalogue
from cloverwalk.core.error_response import error_response
from cloverwalk.fleet.coordinator_client import CoordinatorClient
from cloverwalk.fleet.in_flight import InFlightTracker
from cloverwalk.fleet.messages import PlacementRequest, QuotaTokenUse
from cloverwalk.fleet.placement_client import PlacementResult
from cloverwalk.gateway import refusals
from cloverwalk.gateway.answer_relay import EVENT_TIMEOUT_S, FIRST_EVENT_TIMEOUT_S, AnswerRelay
from cloverwalk.gateway.configuration import Route, RouteKind
from cloverwalk.gateway.containment import ContainmentGate
from cloverwalk.gateway.crash_detector import Delivery
from cloverwalk.gateway.crash_keys import keys_of
from cloverwalk.gateway.errors import (
    TIMED_OUT,
    ClientGoneError,
    GatewayError,
    ReplicaError,
    StopInterrupt,
)
from cloverwalk.gateway.lateness_tracker import LatenessTracker
from cloverwalk.gateway.messages import ClientRequest, GatewayCodec
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replica_connection import AnswerHead, ReplicaConnection, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.request_timing import request_timing
from cloverwalk.gateway.resumption_gate import ResumptionGate
from cloverwalk.gateway.rotation import WeightedRotation
from cloverwalk.gateway.stop_admission import ExpectedWork, StopAdmission
from cloverwalk.gateway.warmup_gate import WarmupGate
from cloverwalk.scheduling.admission import MAX_QUEUE_WAIT_S, PlacementVerdict
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics
from cloverwalk.telemetry.tenant_metrics import TenantOutcome
from cloverwalk.tenants.quota_refusals import QuotaRefusalCache

MAX_REFUSALS = 8
"""Replicas that may be unreachable or refuse to run the request before it is refused. Each costs
some milliseconds; a smaller limit refuses requests while a part of the fleet is down."""

MIN_ATTEMPT_TIME_S = 0.01
MIN_FAILURE_STATUS = 400


@attrs.frozen(eq=False)
class _ActiveRequest:
    """A request that is being served."""

    task: Any
    request: ClientRequest
    progress: RequestProgress
    reply: Reply

    @property
    def may_be_refused(self) -> bool:
        """Whether no replica can have begun it and its client has no part of an answer."""
        return not self.progress.may_have_run and not self.reply.has_begun


class OnlineRelay:
    """Serves online requests from the fleet state of this node."""

    def __init__(
        self,
        codec: GatewayCodec,
        directory: ReplicaDirectory,
        loads: InFlightTracker,
        pool: ReplicaPool,
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
        coordinator_client: CoordinatorClient,
        quota_refusals: QuotaRefusalCache,
        containment: ContainmentGate,
        resumption_gate: ResumptionGate,
        stop_admission: StopAdmission,
        warmup_gate: WarmupGate | None = None,
    ) -> None:
        self._stop_admission = stop_admission
        self._active: set[_ActiveRequest] = set()
        self._codec = codec
        self._directory = directory
        self._loads = loads
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._coordinator_client = coordinator_client
        self._quota_refusals = quota_refusals
        self._containment = containment
        self._resumption_gate = resumption_gate
        self._warmup_gate = warmup_gate
        self._rotation = WeightedRotation()
        self._answers = AnswerRelay(
            codec, directory, metrics, clock, resumption_gate.record_first_event
        )
        self._lateness_tracker = LatenessTracker(metrics)

    async def handle(self, request: ClientRequest, route: Route, reply: Reply) -> None:
        """Serve a request of an online route: relay an answer, or send an error response."""
        progress = self._start_progress(request, route)
        active = _ActiveRequest(await curio.current_task(), request, progress, reply)
        self._active.add(active)
        try:
            async with curio.timeout_after(max(0.0, progress.deadline - self._clock())):
                await self._serve(request, progress, reply)
        except StopInterrupt:
            await self._respond_with_error(request, progress, reply, refusals.stopping())
        except curio.TaskTimeout:
            await self._respond_with_error(request, progress, reply, refusals.out_of_time())
        except GatewayError as error:
            await self._respond_with_error(request, progress, reply, error)
        except ClientGoneError as error:
            self._record_end(request, progress, error.code, reply.status)
            raise
        except curio.TaskCancelled:
            self._record_end(request, progress, reply.disconnect_code, reply.status)
            raise
        finally:
            self._active.discard(active)

    async def refuse_unfinishable(self) -> None:
        """Refuse the waiting requests that this stopping node can't finish."""
        for active in list(self._active):
            work = expected_work(active.request, active.progress.route)
            if active.may_be_refused and not self._stop_admission.can_finish(work):
                await active.task.cancel(exc=StopInterrupt, blocking=False)

    def _start_progress(self, request: ClientRequest, route: Route) -> RequestProgress:
        parts = [(part.service, part.weight) for part in route.parts]
        service = self._rotation.next(route.name, parts)
        progress = RequestProgress(
            route,
            self._usable_service(route, service),
            expected_work(request, route).latest_end,
            request.fields.last_event_id,
        )
        self._resumption_gate.begin(request, progress)
        return progress

    def _usable_service(self, route: Route, preferred: str) -> str:
        """Return the preferred service if it has usable replicas, else another one of the route."""
        if self._directory.usable(preferred):
            return preferred
        usable = [service for service in route.services if self._directory.usable(service)]
        return usable[0] if usable else preferred

    def _change_service(self, progress: RequestProgress) -> bool:
        """Move an untried request whose service is drained to another one of its route."""
        if progress.tried or progress.is_resumption:
            return False
        if not self._directory.is_drained(progress.service):
            return False
        previous, progress.service = (
            progress.service,
            self._usable_service(progress.route, progress.service),
        )
        return progress.service != previous

    # --- attempts ---

    async def _serve(self, request: ClientRequest, progress: RequestProgress, reply: Reply) -> None:
        while True:
            replica = await self._choose_replica(request, progress)
            try:
                await self._attempt(request, progress, replica, reply)
                return
            except ReplicaError as error:
                await self._record_failure(request, progress, replica, error, reply)

    async def _choose_replica(self, request: ClientRequest, progress: RequestProgress) -> Replica:
        """Return the replica to send to, once a placement is granted."""
        while True:
            if progress.tried and not self._may_try_again(progress):
                raise refusals.attempts_used(progress.last_failure)
            if len(progress.refused) >= MAX_REFUSALS:
                raise refusals.no_replica("replicas_full", progress.last_failure)
            suspected = await self._containment.check(request, progress)
            placement_request = self._build_placement_request(request, progress, suspected)
            self._check_quota_refusal(placement_request)
            result = await self._coordinator_client.request_placement(
                placement_request,
                request.received_at + MAX_QUEUE_WAIT_S,
                lambda: self._containment.may_send(request, progress),
            )
            if not self._containment.may_send(request, progress):
                await self._end_in_flight(result)
                raise self._containment.refusal(request, progress)
            if self._resumption_gate.is_undecided(progress, result.placement):
                await self._end_in_flight(result)
                await self._resumption_gate.ask(request, progress)
                continue
            if result.verdict is PlacementVerdict.NO_REPLICA and self._change_service(progress):
                continue
            self._check_verdict(request, progress, result)
            replica = self._resumption_gate.find(progress, result.placement)
            if replica is not None and not self._resumption_gate.is_futile(progress, replica):
                self._record_choice(request, progress, result)
                return replica
            await self._end_in_flight(result)
            if replica is not None:
                raise self._resumption_gate.refusal(request, progress)
            # The coordinator named a replica that is not listed here yet, or not any more, or that
            # has another software version than the stream needs.
            progress.has_token = True
            progress.refused.append(result.replica_id)

    def _check_verdict(
        self, request: ClientRequest, progress: RequestProgress, result: PlacementResult
    ) -> None:
        """Raise the refusal of a request that got no placement."""
        match result.verdict:
            case PlacementVerdict.RETRY_LATER:
                raise refusals.no_free_slot(result.placement)
            case PlacementVerdict.NO_REPLICA if self._directory.is_drained(progress.service):
                raise refusals.zones_drained()
            case PlacementVerdict.NO_REPLICA if progress.is_resumption:
                raise self._resumption_gate.refusal(request, progress)
            case PlacementVerdict.NO_REPLICA:
                raise refusals.no_replica("no_replica", progress.last_failure)
            case PlacementVerdict.OVER_QUOTA:
                self._quota_refusals.record(request.tenant, result.placement.retry_after_s)
                raise refusals.over_quota(result.placement.retry_after_s)
            case PlacementVerdict.QUOTA_UNKNOWN:
                raise refusals.quota_unknown()
            case PlacementVerdict.TOO_LARGE:
                raise refusals.too_large()
            case PlacementVerdict.CONTAINED:
                raise self._containment.refusal(request, progress)
            case PlacementVerdict.SEND | PlacementVerdict.QUEUE:
                return

    def _check_quota_refusal(self, placement_request: PlacementRequest) -> None:
        """Raise the refusal of a tenant whose cached quota refusal has not expired."""
        if placement_request.quota_token is not QuotaTokenUse.NEW:
            return
        remaining_s = self._quota_refusals.remaining_s(placement_request.tenant)
        if remaining_s > 0:
            raise refusals.over_quota(remaining_s)

    async def _end_in_flight(self, result: PlacementResult) -> None:
        if result.work is not None:
            self._loads.end(result.work)
            await self._coordinator_client.trigger_report()

    def _build_placement_request(
        self, request: ClientRequest, progress: RequestProgress, suspected: str
    ) -> PlacementRequest:
        now = self._clock()
        fields, route = request.fields, progress.route
        elapsed_s = now - request.received_at
        unshared_tokens = fields.prompt[-1].tokens if fields.prompt else 0
        shared_part = max(fields.prompt[:-1], key=lambda part: part.tokens, default=None)
        deadline_s = fields.deadline_s
        placement_request = PlacementRequest(
            0,
            route.name,
            progress.service,
            len(request.body),
            unshared_tokens,
            "" if shared_part is None else shared_part.part_id,
            0 if shared_part is None else shared_part.tokens,
            int((route.target_latency_s - elapsed_s) * 1000),
            None if deadline_s is None else int(deadline_s * 1000),
            int((progress.deadline - now) * 1000),
            self._must_send(request, progress),
            [*progress.refused, *progress.tried],
            request.tenant,
            _token_use(progress),
            suspected,
            fields.max_total_tokens if self._loads.counts_tokens else 0,
        )
        return self._resumption_gate.add_software(progress, placement_request)

    def _must_send(self, request: ClientRequest, progress: RequestProgress) -> bool:
        """Whether the request must be sent even if it can expect no free slot: it was tried before,
        or has been queued for the maximum time."""
        has_begun = progress.may_have_run or bool(progress.refused)
        return has_begun or self._clock() - request.received_at >= MAX_QUEUE_WAIT_S

    def _record_choice(
        self, request: ClientRequest, progress: RequestProgress, result: PlacementResult
    ) -> None:
        now = self._clock()
        progress.work = result.work
        progress.warmup_token_granted_at = result.warmup_token_granted_at
        progress.expected_wait_ms = float(result.placement.wait_ms)
        progress.was_queued = result.was_queued
        self._log.write(
            catalogue.REPLICA_CHOSEN,
            request=request.fields.request_id,
            replica=result.replica_id,
            tenant=request.tenant,
            online=result.placement.online,
            batch=result.placement.batch,
            reading_ms=result.placement.prefill_ms,
            expected_wait_ms=result.placement.wait_ms,
            waited_ms=round((now - request.received_at) * 1000, 1),
            list_age_s=round(now - self._directory.confirmed_at, 3),
            after_event=progress.last_event_id,
            software_version=self._software_version(result.replica_id),
            version_proof=progress.version_proof or None,
            resumes=request.fields.resumed_request_id or None,
        )

    def _software_version(self, replica_id: str) -> str | None:
        """Return the software version of a replica for the log, None if it is unknown."""
        replica = self._directory.find_listed(replica_id)
        return None if replica is None else replica.software_version or None

    def _may_try_again(self, progress: RequestProgress) -> bool:
        return progress.route.is_retryable and len(progress.tried) < progress.route.max_attempts

    async def _record_failure(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        replica: Replica,
        error: ReplicaError,
        reply: Reply,
    ) -> None:
        may_have_run = progress.is_sent
        keys = keys_of(request) if may_have_run else None
        progress.record_failed_attempt(replica.replica_id, error.code)
        self._metrics.attempt_failed(error.code)
        self._log.write(
            catalogue.REPLICA_FAILED,
            request=request.fields.request_id,
            content=None if keys is None else keys.content,
            parts=None if keys is None else list(keys.part_ids),
            replica=replica.replica_id,
            code=error.code,
            may_have_run=may_have_run,
            after_event=progress.last_event_id,
        )
        if may_have_run:
            await self._containment.record_failure(request, progress, replica, error.code)
        if reply.has_begun and not progress.route.is_resumable:
            raise ClientGoneError("the replica's answer was cut off", "answer_cut")

    # --- one attempt ---

    async def _attempt(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, reply: Reply
    ) -> None:
        try:
            now = self._clock()
            if progress.deadline - now < MIN_ATTEMPT_TIME_S:
                raise refusals.out_of_time()
            progress.sent_at = now
            progress.has_token = True
            await self._attempt_over_connection(request, progress, replica, reply)
        finally:
            if progress.work is not None:
                self._loads.end(progress.work)
                progress.work = None
            await self._coordinator_client.trigger_report()

    async def _attempt_over_connection(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, reply: Reply
    ) -> None:
        try:
            address = (replica.host, replica.port)
            # A reused connection doesn't show whether its replica is still alive.
            must_be_new = bool(progress.tried) or progress.is_crash_suspect
            request_id = request.fields.request_id
            connection = await self._pool.acquire(address, request_id, must_be_new)
        except ReplicaError:
            self._directory.suspect(replica.replica_id, self._clock())
            await self._containment.record_unreachable(replica)
            raise
        try:
            self._check_may_send(request_id, progress, replica, connection)
        except ReplicaError:
            await self._pool.release_unused(connection)
            raise
        is_released = False
        try:
            progress.last_replica = replica.replica_id
            head = await self._exchange(request, progress, replica, connection, reply)
            is_released = True
            await self._pool.release(connection, head.fields.keep_alive_s)
        except ReplicaError as error:
            if error.code == TIMED_OUT:
                await self._pool.close_timed_out(connection)
            raise
        finally:
            if not is_released:
                await connection.close()

    def _check_may_send(
        self,
        request_id: str,
        progress: RequestProgress,
        replica: Replica,
        connection: ReplicaConnection,
    ) -> None:
        """Raise ReplicaError if the replica may not get the request any more."""
        self._resumption_gate.check(progress, replica, connection.opened_at)
        if self._warmup_gate is not None:
            self._warmup_gate.check(replica, request_id, progress.warmup_token_granted_at)

    async def _exchange(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        replica: Replica,
        connection: ReplicaConnection,
        reply: Reply,
    ) -> AnswerHead:
        head = await self._send_and_read_head(request, progress, replica, connection)
        if head.fields.load is not None:
            self._metrics.replica_load(replica.replica_id, head.fields.load)
        if _proves_not_run(head):
            progress.mark_not_run()
            await self._drain_refusal(connection)
            if head.status == 421:
                self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError(f"the replica answered {head.status}", False, "not_run")
        if not head.fields.is_signed:
            raise ReplicaError("the answer has no signature", True, "unsigned")
        self._directory.clear_suspicion(replica.replica_id)
        if progress.route.kind is RouteKind.STREAM and head.status == 200:
            await self._answers.relay_stream(request, progress, connection, head, reply)
        else:
            await self._answers.relay_plain(request, progress, connection, head, reply)
        load = head.fields.load
        timing = request_timing(progress, load, request.tenant, self._clock())
        if timing is not None:
            self._coordinator_client.reports.record_request_timing(timing)
        await self._containment.record_answer(
            request, progress, replica, ends_with_connection=head.ends_with_connection
        )
        self._record_end(request, progress, "answered", head.status)
        now = self._clock()
        self._stop_admission.durations.record(
            progress.route.name, now - request.received_at, request.fields.max_output_tokens, now
        )
        return head

    async def _send_and_read_head(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        replica: Replica,
        connection: ReplicaConnection,
    ) -> AnswerHead:
        remaining_s = progress.deadline - self._clock()
        headers = self._codec.headers_to_replica(
            request, replica.replica_id, remaining_s, progress.last_event_id
        )
        try:
            async with curio.timeout_after(self._first_answer_timeout_s(progress, remaining_s)):
                progress.mark_sending()
                progress.delivery = Delivery(connection.is_new, self._clock())
                await connection.send(request.method, request.target, headers, request.body)
                head = await connection.read_head(request.fields.request_id)
                progress.delivery.has_answer = True
                return head
        except OSError as error:
            self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError(f"sending the request failed: {error!r}", True, "reset") from error
        except curio.TaskTimeout as error:
            self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError("no answer before the timeout", True, TIMED_OUT) from error
        except ReplicaError as error:
            if error.code == "reset":
                self._directory.suspect(replica.replica_id, self._clock())
            raise

    def _first_answer_timeout_s(self, progress: RequestProgress, remaining_s: float) -> float:
        if not progress.route.is_retryable or not progress.has_attempt_left:
            return remaining_s + 1.0
        if progress.route.kind is RouteKind.STREAM:
            return min(remaining_s + 1.0, FIRST_EVENT_TIMEOUT_S)
        return max(FIRST_EVENT_TIMEOUT_S, remaining_s / 2)

    async def _drain_refusal(self, connection: ReplicaConnection) -> None:
        async with curio.ignore_after(EVENT_TIMEOUT_S):
            while await connection.read_body() is not None:
                pass

    # --- end of the request ---

    async def _respond_with_error(
        self, request: ClientRequest, progress: RequestProgress, reply: Reply, error: GatewayError
    ) -> None:
        response = error_response(error, progress)
        self._record_end(request, progress, response.code, response.status)
        if reply.has_begun:
            raise ClientGoneError(f"answer aborted: {response.code}")
        headers = self._codec.local_reply_headers(request.fields.request_id, response.retry_after_s)
        await reply.respond(response.status, headers, response.body)

    def _record_end(
        self, request: ClientRequest, progress: RequestProgress, outcome: str, status: int
    ) -> None:
        duration_s = self._clock() - request.received_at
        first_event_at = progress.first_event_at
        self._metrics.request_ended(progress.route.name, outcome, duration_s)
        self._metrics.tenants.request_ended(request.tenant, _tenant_outcome(outcome))
        event = catalogue.REQUEST_ANSWERED if outcome == "answered" else catalogue.REQUEST_ENDED
        self._log.write(
            event,
            request=request.fields.request_id,
            route=progress.route.name,
            tenant=request.tenant,
            configuration=self._coordinator_client.configuration_version,
            configuration_age_ms=self._coordinator_client.configuration_age_ms,
            outcome=outcome,
            status=status,
            work=None if outcome == "answered" else progress.state.value,
            content=progress.contained,
            part=progress.contained_part,
            replica=progress.last_replica,
            tried=len(progress.tried),
            refused=len(progress.refused),
            took_ms=round(duration_s * 1000, 1),
            first_ms=None
            if first_event_at is None
            else round((first_event_at - request.received_at) * 1000, 1),
            late=self._lateness_tracker.record(request, progress),
            last_event=progress.last_event_id,
        )


def expected_work(request: ClientRequest, route: Route) -> ExpectedWork:
    """Return how long a request may last."""
    allowed_s = route.timeout_s
    if request.fields.deadline_s is not None:
        allowed_s = min(allowed_s, request.fields.deadline_s)
    latest_end = request.received_at + allowed_s
    return ExpectedWork(route.name, latest_end, request.fields.max_output_tokens)


def _tenant_outcome(outcome: str) -> str:
    if outcome in (TenantOutcome.ANSWERED, TenantOutcome.OVER_QUOTA):
        return outcome
    return TenantOutcome.ENDED


def _proves_not_run(head: AnswerHead) -> bool:
    """Whether an answer proves that the request was not run; a success never does."""
    return head.fields.was_not_run and head.status >= MIN_FAILURE_STATUS


def _token_use(progress: RequestProgress) -> QuotaTokenUse:
    if not progress.has_token:
        return QuotaTokenUse.NEW
    return QuotaTokenUse.RETRY if progress.tried else QuotaTokenUse.ALREADY_GRANTED
