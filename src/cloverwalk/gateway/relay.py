"""One online request from its arrival to its final answer.

The way: route, choose a replica, send, pass the answer on. A failure leads to another replica
where the route allows it, and else to a final answer at once. Read ``OnlineRelay.handle`` first.
"""

from collections.abc import Awaitable, Callable
from random import Random

import curio

from cloverwalk.core import catalogue
from cloverwalk.fleet.load import LoadBook
from cloverwalk.gateway.admission import (
    LONGEST_HOLD_S,
    CrowdWatch,
    Prospect,
    ReturnBook,
    Verdict,
    decide,
    most_wait_ms,
    return_after_s,
    slot_wait_ms,
)
from cloverwalk.gateway.answer_relay import EVENT_SILENCE_S, FIRST_EVENT_SILENCE_S, AnswerRelay
from cloverwalk.gateway.configuration import ConfigurationHolder, Route, RouteKind
from cloverwalk.gateway.errors import ClientGoneError, GatewayError, ReplicaError
from cloverwalk.gateway.messages import ClientRequest, GatewayCodec
from cloverwalk.gateway.progress import RequestProgress
from cloverwalk.gateway.replica_connection import AnswerHead, ReplicaConnection, ReplicaPool
from cloverwalk.gateway.replicas import Replica, ReplicaDirectory
from cloverwalk.gateway.reply import Reply
from cloverwalk.gateway.selection import (
    Candidate,
    Demand,
    WeightedRotation,
    choose,
    expected_reading_ms,
)
from cloverwalk.gateway.service_times import ServiceTimes
from cloverwalk.gateway.waiting_line import Place, WaitingLine
from cloverwalk.telemetry.log import ServingLog
from cloverwalk.telemetry.metrics import ServingMetrics

MAX_REFUSALS = 8
"""Replicas that may be unreachable or say 'not run' before the request is refused. Each costs some
milliseconds; with three, requests were refused while seven of 45 replicas were down."""

RETRY_AFTER_S = 0.2
LEAST_USEFUL_S = 0.01
LOOK_EVERY_S = 0.01
"""How often a request that waits for a slot looks for one."""


MakeRoom = Callable[[Replica], Awaitable[None]]


class OnlineRelay:
    """Serves online requests with what this node knows."""

    def __init__(
        self,
        zone: str,
        codec: GatewayCodec,
        configuration: ConfigurationHolder,
        directory: ReplicaDirectory,
        loads: LoadBook,
        pool: ReplicaPool,
        log: ServingLog,
        metrics: ServingMetrics,
        clock: Callable[[], float],
        make_room: MakeRoom,
        times: ServiceTimes,
        random: Random,
    ) -> None:
        self._zone = zone
        self._codec = codec
        self._configuration = configuration
        self._directory = directory
        self._loads = loads
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._make_room = make_room
        self._random = random
        self._times = times
        self._crowd = CrowdWatch()
        self._returns = ReturnBook()
        self._line = WaitingLine()
        self._rotation = WeightedRotation()
        self._answers = AnswerRelay(codec, directory, loads, metrics, clock)

    async def handle(self, request: ClientRequest, route: Route, reply: Reply) -> None:
        """Serve a request of an online route."""
        progress = self._begin(request, route)
        try:
            async with curio.timeout_after(max(0.0, progress.deadline - self._clock())):
                await self._serve(request, progress, reply)
        except curio.TaskTimeout:
            await self._give_up(request, progress, reply, self._timeout_error(progress))
        except GatewayError as error:
            await self._give_up(request, progress, reply, error)
        except ClientGoneError as error:
            self._note_end(request, progress, error.code, reply.status)
            raise
        except curio.TaskCancelled:
            self._note_end(request, progress, "client_gone", reply.status)
            raise

    def _begin(self, request: ClientRequest, route: Route) -> RequestProgress:
        allowed_s = route.timeout_s
        if request.fields.deadline_s is not None:
            allowed_s = min(allowed_s, request.fields.deadline_s)
        parts = [(part.service, part.weight) for part in route.parts]
        service = self._rotation.next(route.name, parts)
        if not self._directory.usable(service):
            others = [one for one in route.services if self._directory.usable(one)]
            service = others[0] if others else service
        return RequestProgress(
            route,
            service,
            request.received_at + allowed_s,
            [],
            [],
            request.fields.last_event_id,
        )

    def _timeout_error(self, progress: RequestProgress) -> GatewayError:
        if not progress.may_have_run:
            return GatewayError(503, "deadline_passed", "no replica had room in time", 0.0)
        return GatewayError(504, "deadline_passed", "the answer did not come in time")

    # --- attempts ---

    async def _serve(self, request: ClientRequest, progress: RequestProgress, reply: Reply) -> None:
        while True:
            replica = await self._find_place(request, progress)
            try:
                await self._attempt(request, progress, replica, reply)
                return
            except ReplicaError as error:
                self._note_failure(request, progress, replica, error, reply)

    async def _find_place(self, request: ClientRequest, progress: RequestProgress) -> Replica:
        """Return the replica to send to, once there is a place; see ``admission``."""
        is_new = not self._returns.came_back(progress.route.name, request.fields.deadline_s)
        place: Place | None = None
        try:
            while True:
                chosen = self._choose(request, progress)
                prospect = self._prospect(request, progress, chosen)
                is_first = self._line.is_first(place)
                verdict = decide(prospect, is_new and place is None, is_first)
                if verdict is Verdict.SEND or self._must_send(request, progress):
                    progress.expected_wait_ms = self._slot_wait_ms(progress, chosen)
                    self._note_choice(request, progress, chosen)
                    return chosen.replica
                if verdict is Verdict.RETURN:
                    self._turn_away(request, progress, prospect)
                place = place or self._line.join(progress.route.priority, request.received_at)
                await curio.sleep(LOOK_EVERY_S)
        finally:
            if place is not None:
                self._line.leave(place)

    def _must_send(self, request: ClientRequest, progress: RequestProgress) -> bool:
        """Whether a request goes to a replica whatever it can expect there."""
        has_begun = progress.may_have_run or bool(progress.refused)
        return has_begun or self._clock() - request.received_at >= LONGEST_HOLD_S

    def _prospect(
        self, request: ClientRequest, progress: RequestProgress, chosen: Candidate
    ) -> Prospect:
        route = progress.route
        times = self._times
        routes = self._configuration.current.routes if self._configuration.current else (route,)
        elapsed_ms = (self._clock() - request.received_at) * 1000
        objective_ms = route.target_latency_s * 1000
        return Prospect(
            times.wait_factor(route.name) * self._slot_wait_ms(progress, chosen),
            times.start_ms(route.name),
            objective_ms - elapsed_ms,
            objective_ms,
            most_wait_ms(route, (route, *routes), times),
        )

    def _slot_wait_ms(self, progress: RequestProgress, chosen: Candidate) -> float:
        hold_ms = self._times.hold_ms(progress.route.name)
        return slot_wait_ms(chosen.replica.slots, chosen.in_flight.online, hold_ms)

    def _turn_away(
        self, request: ClientRequest, progress: RequestProgress, prospect: Prospect
    ) -> None:
        """Raise the refusal that tells a request when to come back, if that is worth it."""
        now = self._clock()
        self._crowd.meet(now)
        rest_s = self._crowd.rest_s(now)
        time_left_s = progress.deadline - now
        after_s = return_after_s(prospect.wait_ms / 1000, rest_s, time_left_s, self._random)
        if after_s is not None:
            raise GatewayError(503, "crowded", "all slots are taken by online requests", after_s)

    def _choose(self, request: ClientRequest, progress: RequestProgress) -> Candidate:
        if progress.tried and not self._may_try_again(progress):
            raise GatewayError(502, "attempts_used", progress.last_failure)
        if len(progress.refused) >= MAX_REFUSALS:
            raise self._refusal(progress, "replicas_full")
        candidates = self._candidates(progress, self._clock())
        demand = self._demand(request, progress.route)
        chosen = choose(candidates, demand)
        if chosen is None:
            raise self._refusal(progress, "no_replica")
        progress.reading_ms = expected_reading_ms(chosen, candidates, demand)
        return chosen

    def _note_choice(
        self, request: ClientRequest, progress: RequestProgress, chosen: Candidate
    ) -> None:
        now = self._clock()
        self._log.write(
            catalogue.REPLICA_CHOSEN,
            request=request.fields.request_id,
            replica=chosen.replica.replica_id,
            online=chosen.in_flight.online,
            batch=chosen.in_flight.batch,
            reading_ms=round(chosen.in_flight.reading_ms),
            waited_ms=round((now - request.received_at) * 1000, 1),
            list_age_s=round(now - self._directory.confirmed_at, 3),
            configuration=self._configuration.version,
            after_event=progress.last_event_id,
        )

    def _candidates(self, progress: RequestProgress, now: float) -> list[Candidate]:
        """Return the replicas that were not asked yet, or else those that were tried before."""
        usable = self._directory.usable(progress.service)
        usable = [one for one in usable if one.replica_id not in progress.refused]
        fresh = [one for one in usable if one.replica_id not in progress.tried]
        return [
            Candidate(
                one,
                self._loads.total(one.replica_id, now),
                self._directory.is_suspect(one.replica_id, now),
                self._directory.is_doubted(one.replica_id, now),
            )
            for one in fresh or usable
        ]

    def _may_try_again(self, progress: RequestProgress) -> bool:
        return progress.route.may_repeat and len(progress.tried) < progress.route.max_attempts

    def _refusal(self, progress: RequestProgress, code: str) -> GatewayError:
        if progress.may_have_run:
            return GatewayError(502, code, progress.last_failure or "no replica took the request")
        return GatewayError(503, code, "no replica takes the request now", RETRY_AFTER_S)

    def _demand(self, request: ClientRequest, route: Route) -> Demand:
        prompt = request.fields.prompt
        own_tokens = prompt[-1].tokens if prompt else 0
        shared = prompt[:-1]
        if not shared:
            return Demand(self._zone, len(request.body), own_tokens=own_tokens)
        longest = max(shared, key=lambda part: part.tokens)
        return Demand(self._zone, len(request.body), longest.part_id, longest.tokens, own_tokens)

    def _note_failure(
        self,
        request: ClientRequest,
        progress: RequestProgress,
        replica: Replica,
        error: ReplicaError,
        reply: Reply,
    ) -> None:
        progress.is_sent = False
        known = progress.tried if error.may_have_run else progress.refused
        known.append(replica.replica_id)
        progress.last_failure = error.code
        self._metrics.attempt_failed(error.code)
        self._log.write(
            catalogue.REPLICA_FAILED,
            request=request.fields.request_id,
            replica=replica.replica_id,
            code=error.code,
            may_have_run=error.may_have_run,
            after_event=progress.last_event_id,
        )
        if reply.has_begun and not progress.route.is_resumable:
            raise ClientGoneError("the answer broke off at the replica", "answer_cut")

    # --- one attempt ---

    async def _attempt(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, reply: Reply
    ) -> None:
        now = self._clock()
        if progress.deadline - now < LEAST_USEFUL_S:
            raise self._timeout_error(progress)
        # Counted first: requests that come at the same moment must see each other.
        work = self._loads.begin(replica.replica_id, False, now, progress.reading_ms)
        progress.work = work
        progress.sent_at = now
        try:
            await self._make_room(replica)
            await self._attempt_counted(request, progress, replica, reply)
        finally:
            self._loads.end(work)

    async def _attempt_counted(
        self, request: ClientRequest, progress: RequestProgress, replica: Replica, reply: Reply
    ) -> None:
        try:
            connection = await self._pool.acquire((replica.host, replica.port))
        except ReplicaError:
            self._directory.suspect(replica.replica_id, self._clock())
            raise
        if self._directory.find(replica.replica_id) is None:
            await self._pool.release_unused(connection)
            raise ReplicaError("the replica began to leave", False, "draining")
        is_kept = False
        try:
            progress.last_replica = replica.replica_id
            head = await self._exchange(request, progress, replica, connection, reply)
            is_kept = True
            await self._pool.release(connection, head.fields.keep_alive_s)
        finally:
            if not is_kept:
                await connection.close()

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
        if head.fields.was_not_run:
            await self._drain_refusal(connection)
            if head.status == 421:
                self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError(f"the replica answered {head.status}", False, "not_run")
        if not head.fields.is_signed:
            raise ReplicaError("the answer is not signed", True, "unsigned")
        self._directory.clear_suspicion(replica.replica_id)
        if progress.route.kind is RouteKind.STREAM and head.status == 200:
            await self._answers.relay_stream(request, progress, connection, head, reply)
        else:
            await self._answers.relay_plain(request, progress, connection, head, reply)
        self._learn(progress)
        self._note_end(request, progress, "answered", head.status)
        return head

    def _learn(self, progress: RequestProgress) -> None:
        """Take the times of a request that was answered at its first attempt."""
        if progress.sent_at is None or progress.tried or progress.refused:
            return
        now = self._clock()
        began_at = progress.first_event_at or now
        took_ms = (began_at - progress.sent_at) * 1000
        if progress.expected_wait_ms > 0:
            self._times.note_wait(progress.route.name, progress.expected_wait_ms, took_ms)
        else:
            self._times.note_start(progress.route.name, took_ms)
        holds_since = progress.first_event_at or progress.sent_at
        self._times.note_hold(progress.route.name, (now - holds_since) * 1000)

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
            async with curio.timeout_after(self._first_answer_limit_s(progress, remaining_s)):
                progress.is_sent = True
                await connection.send(request.method, request.target, headers, request.body)
                return await connection.read_head(request.fields.request_id)
        except OSError as error:
            self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError(f"sending failed: {error!r}", True, "reset") from error
        except curio.TaskTimeout as error:
            self._directory.suspect(replica.replica_id, self._clock())
            raise ReplicaError("no answer in time", True, "silent") from error
        except ReplicaError as error:
            if error.code == "reset":
                self._directory.suspect(replica.replica_id, self._clock())
            raise

    def _first_answer_limit_s(self, progress: RequestProgress, remaining_s: float) -> float:
        if not progress.route.may_repeat or not progress.has_attempt_left:
            return remaining_s + 1.0
        if progress.route.kind is RouteKind.STREAM:
            return min(remaining_s + 1.0, FIRST_EVENT_SILENCE_S)
        return max(FIRST_EVENT_SILENCE_S, remaining_s / 2)

    async def _drain_refusal(self, connection: ReplicaConnection) -> None:
        async with curio.ignore_after(EVENT_SILENCE_S):
            while await connection.read_body() is not None:
                pass

    # --- the end ---

    async def _give_up(
        self, request: ClientRequest, progress: RequestProgress, reply: Reply, error: GatewayError
    ) -> None:
        self._note_end(request, progress, error.code, error.status)
        if reply.has_begun:
            raise ClientGoneError(f"the answer is broken off: {error.code}")
        headers = self._codec.own_headers(request.fields.request_id, error.retry_after_s)
        await reply.respond(error.status, headers, f"{error.code}: {error}\n".encode())

    def _note_end(
        self, request: ClientRequest, progress: RequestProgress, outcome: str, status: int
    ) -> None:
        took_s = self._clock() - request.received_at
        first = progress.first_event_at
        self._metrics.request_ended(progress.route.name, outcome, took_s)
        number = catalogue.REQUEST_ANSWERED if outcome == "answered" else catalogue.REQUEST_ENDED
        self._log.write(
            number,
            request=request.fields.request_id,
            route=progress.route.name,
            outcome=outcome,
            status=status,
            replica=progress.last_replica,
            tried=len(progress.tried),
            refused=len(progress.refused),
            took_ms=round(took_s * 1000, 1),
            first_ms=None if first is None else round((first - request.received_at) * 1000, 1),
            last_event=progress.last_event_id,
        )
