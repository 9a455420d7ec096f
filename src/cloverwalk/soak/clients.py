"""Clients of online requests: sequential, over their quota, crashing replicas, and in herds."""

from collections.abc import Callable
from itertools import count
from random import Random

import attrs
import curio

from cloverwalk.platform import names
from cloverwalk.soak.connection import Answer, ClientConnection
from cloverwalk.soak.deployment import (
    HOST,
    PAUSED_ROUTE,
    ROUTES,
    UNKNOWN_KEY,
    Operator,
    RouteSpec,
)
from cloverwalk.soak.events import AnswerEnd, AnswerSeen, ClientLeft, CrowdMoved, RequestSent
from cloverwalk.soak.history import History
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.replicas import CRASHING_BODY, GUILTY_PREFIX, digest

REQUEST_DEADLINE_MS = 3_000
EXTRA_WAIT_S = 3.0
"""How long a client waits beyond its deadline before it disconnects."""

MEAN_REQUEST_INTERVAL_S = 0.35
"""Mean delay between two requests of a client."""

MEAN_CRASHING_INTERVAL_S = 1.5
"""Mean delay between two repetitions of the request that crashes its replicas."""

CRASHING_TENANT = "hall"
"""A tenant without a quota."""

RECONNECT_DELAY_S = 0.15
MEAN_STREAM_INTERVAL_S = 0.3
"""Mean delay between two streams of a client that resumes them."""

FIRST_PART = "f000"
"""Part of the prompts of all requests."""

SHARED_TOPICS = 12
"""Number of second parts."""

STREAM_TENANT = "hall"
"""A tenant without a quota."""

STREAM_BREAK_SHARE = 0.5
"""Share of the streams that their client breaks off, to resume them at another node."""

STREAM_BREAK_RANGE_S = (0.05, 0.6)
RESUMPTION_DELAY_S = 0.05
TAKE_UP_EVENTS = 50
TAKE_UP_BREAK_RANGE_S = (0.15, 0.6)
MAX_STREAM_ATTEMPTS = 4
LONG_EVENTS = 2_000
"""Events of a stream whose client disconnects early; it would last over half a minute."""

DISCONNECT_DELAY_RANGE_S = (0.1, 2.0)
UNKNOWN_KEY_SHARE = 0.03
OLD_KEY_SHARE = 0.04
DISCONNECT_SHARE = 0.05
PARTIAL_REQUEST_SHARE = 0.02
"""Share of requests of which only a part is sent."""

PARTIAL_REQUEST_WAIT_S = 3.0
"""How long the client then stays connected: twice a node's timeout for the request header."""

PAUSED_TENANT = "archive"
"""A tenant without a quota, other than that of crowds: long streams use up its fair share."""

PAUSED_DEADLINE_MS = 5_000
PAUSED_EVENTS = (14, 17)
"""Range of the number of events of a stream with pauses: some four seconds."""

ONLINE_ROUTES = [
    route for route in ROUTES if not route.is_batch and route.name not in ("long", "paused")
]
STREAM_ROUTE = next(route for route in ROUTES if route.name == "chat")
LONG_ROUTE = next(route for route in ROUTES if route.name == "long")


@attrs.frozen
class OnlineRequest:
    """A request of a client, which may send only a part of it or disconnect early."""

    request_id: str
    route: RouteSpec
    target: str
    key: str
    body: bytes
    events: int
    disconnect_after_s: float | None = None
    sent_share: float = 1.0
    """Share of the request's bytes that are sent; the remaining ones never are."""

    resumes: str = ""
    """Id of the request that began the stream that it resumes."""

    last_event: int = 0
    part_ids: tuple[str, ...] = ()
    """Parts of its prompt that other requests share."""

    is_crowd: bool = False
    is_take_up: bool = False

    @property
    def guilty_part(self) -> str:
        """The part that crashes replicas; empty if there is none."""
        guilty = (part_id for part_id in self.part_ids if part_id.startswith(GUILTY_PREFIX))
        return next(guilty, "")

    @property
    def deadline_ms(self) -> int:
        """How long the client waits for its answer."""
        if self.route is PAUSED_ROUTE:
            return PAUSED_DEADLINE_MS
        return self.route.timeout_ms if self.route is LONG_ROUTE else REQUEST_DEADLINE_MS

    def headers(self) -> list[tuple[str, str]]:
        """Return the request headers."""
        headers = [
            ("Host", HOST),
            (names.REQUEST_ID.decode(), self.request_id),
            (names.DEADLINE_MS.decode(), str(self.deadline_ms)),
            (names.TOKEN_USAGE.decode(), f"{len(self.body)},{self.events}"),
        ]
        if self.part_ids:
            prompt = ",".join(f"{part_id}:20" for part_id in [*self.part_ids, digest(self.body)])
            headers.append((names.PREFIX_HASH.decode(), prompt))
        if self.resumes:
            headers.append((names.RESUMES.decode(), self.resumes))
            headers.append((names.LAST_EVENT_ID.decode(), str(self.last_event)))
        if self.key:
            headers.append((names.AUTHORIZATION.decode(), f"Bearer {self.key}"))
        return headers


class RequestMaker:
    """Generates requests with valid, revoked, unknown and missing API keys."""

    def __init__(self, operator: Operator) -> None:
        self._operator = operator
        self._numbers = count(1)

    def make(self, random: Random, tenant: str = "") -> OnlineRequest:
        """Return the next request; with ``tenant``, one that has a valid key and is sent whole."""
        number = next(self._numbers)
        if random.random() < DISCONNECT_SHARE and not tenant:
            disconnect_after_s = random.uniform(*DISCONNECT_DELAY_RANGE_S)
            route, events = LONG_ROUTE, LONG_EVENTS
        else:
            disconnect_after_s = None
            route, events = random.choice(ONLINE_ROUTES), random.randint(1, 25)
        request_id = f"r{number:06d}"
        key = self._choose_key(random, tenant, route)
        body = f"prompt of {request_id} ".encode() * random.randint(1, 20)
        target = f"{route.prefix}{random.randint(1, 99)}?q={number}"
        request = OnlineRequest(
            request_id,
            route,
            target,
            key,
            body,
            events,
            disconnect_after_s,
            part_ids=(FIRST_PART, f"7{number % SHARED_TOPICS:03x}"),
        )
        if random.random() < PARTIAL_REQUEST_SHARE and not tenant:
            share = random.uniform(0.1, 0.95)
            return attrs.evolve(
                request, disconnect_after_s=PARTIAL_REQUEST_WAIT_S, sent_share=share
            )
        return request

    def make_stream(self, random: Random) -> OnlineRequest:
        """Return a request for a stream, whose client may break it off in order to resume it."""
        request_id = f"s{next(self._numbers):06d}"
        key = random.choice(self._operator.tenants[STREAM_TENANT].keys)
        body = f"prompt of {request_id} ".encode()
        events = random.randint(10, 50)
        is_broken_off = random.random() < STREAM_BREAK_SHARE
        disconnect_after_s = random.uniform(*STREAM_BREAK_RANGE_S) if is_broken_off else None
        target = f"{STREAM_ROUTE.prefix}{request_id}"
        return OnlineRequest(
            request_id, STREAM_ROUTE, target, key, body, events, disconnect_after_s
        )

    def make_resumption(self, request: OnlineRequest, last_event: int) -> OnlineRequest:
        """Return a request that resumes the stream of another one."""
        return attrs.evolve(
            request,
            request_id=f"s{next(self._numbers):06d}",
            disconnect_after_s=None,
            resumes=request.resumes or request.request_id,
            last_event=last_event,
        )

    def make_paused(self, random: Random) -> OnlineRequest:
        """Return a request for a stream of seconds, with pauses between its events."""
        request_id = f"p{next(self._numbers):06d}"
        key = random.choice(self._operator.tenants[PAUSED_TENANT].keys)
        body = f"prompt of {request_id} ".encode()
        target = f"{PAUSED_ROUTE.prefix}{request_id}"
        events = random.randint(*PAUSED_EVENTS)
        return OnlineRequest(request_id, PAUSED_ROUTE, target, key, body, events)

    def make_crashing(self, random: Random) -> OnlineRequest:
        """Return a repetition of the request that crashes each replica that runs it."""
        request_id = f"x{next(self._numbers):06d}"
        route = ONLINE_ROUTES[0]
        key = random.choice(self._operator.tenants[CRASHING_TENANT].keys)
        return OnlineRequest(request_id, route, f"{route.prefix}ends", key, CRASHING_BODY, 5)

    def make_guilty(self, part_id: str, random: Random) -> OnlineRequest:
        """Return a request like no other one that has a part which crashes replicas."""
        number = next(self._numbers)
        request_id, route = f"g{number:06d}", ONLINE_ROUTES[0]
        key = random.choice(self._operator.tenants[CRASHING_TENANT].keys)
        body = f"prompt of {request_id}".encode()
        part_ids = [FIRST_PART, f"7{number % SHARED_TOPICS:03x}"]
        part_ids.insert(random.randint(1, 2), part_id)
        return OnlineRequest(
            request_id, route, f"{route.prefix}{number}", key, body, 5, part_ids=tuple(part_ids)
        )

    def _choose_key(self, random: Random, tenant: str, route: RouteSpec) -> str:
        tenants = self._operator.tenants
        tenant_state = tenants[tenant or random.choice(sorted(tenants))]
        if tenant:
            return random.choice(tenant_state.keys)
        draw = random.random()
        if draw < UNKNOWN_KEY_SHARE:
            return UNKNOWN_KEY
        if draw < UNKNOWN_KEY_SHARE + OLD_KEY_SHARE and tenant_state.old_keys:
            return random.choice(tenant_state.old_keys)
        if route.is_public and draw > 0.5:
            return ""
        return random.choice(tenant_state.keys)


class OnlineClients:
    """Sends requests and records their outcomes in the history."""

    def __init__(
        self,
        nodes: list[NodeProcess],
        maker: RequestMaker,
        history: History,
        is_over: Callable[[], bool],
    ) -> None:
        self._nodes = nodes
        self._maker = maker
        self._history = history
        self._is_over = is_over

    async def run_steady(self, node: NodeProcess, random: Random) -> None:
        """Send sequential requests to one node; the connection is reused while it is open."""
        connection: ClientConnection | None = None
        while not self._is_over():
            await curio.sleep(random.expovariate(1 / MEAN_REQUEST_INTERVAL_S))
            if connection is None:
                connection = await ClientConnection.open(node.proxied_address)
            if connection is None:
                await curio.sleep(RECONNECT_DELAY_S)
                continue
            is_reusable = await self.send(connection, node, self._maker.make(random))
            if not is_reusable:
                await connection.close()
                connection = None
        if connection is not None:
            await connection.close()

    async def run_paused(self, node: NodeProcess, random: Random) -> None:
        """Read streams of seconds from one node, each as soon as the one before is complete.

        The connection is used until the node closes it or says that it will.
        """
        while not self._is_over():
            connection = await ClientConnection.open(node.proxied_address)
            if connection is None:
                await curio.sleep(RECONNECT_DELAY_S)
                continue
            is_reusable = True
            while is_reusable and not self._is_over():
                is_reusable = await self.send(connection, node, self._maker.make_paused(random))
            await connection.close()
            await curio.sleep(RECONNECT_DELAY_S)

    async def run_streams(self, random: Random) -> None:
        """Read streams, and resume at other nodes those that break off."""
        while not self._is_over():
            await curio.sleep(random.expovariate(1 / MEAN_STREAM_INTERVAL_S))
            await self._read_stream(self._maker.make_stream(random), random)

    async def _read_stream(self, request: OnlineRequest, random: Random) -> None:
        node = random.choice(self._nodes)
        for _ in range(MAX_STREAM_ATTEMPTS):
            answer = await self._send_once(node, request)
            last_event = request.last_event
            if answer is not None and answer.status == 200:
                last_event += len(answer.texts())
            is_done = answer is not None and answer.is_whole and answer.status == 200
            if is_done or last_event == 0:
                return
            await curio.sleep(RESUMPTION_DELAY_S)
            node = random.choice([other for other in self._nodes if other is not node] or [node])
            request = self._maker.make_resumption(request, last_event)

    async def run_take_ups(
        self, node: NodeProcess, rate_per_s: float, until: float, random: Random
    ) -> None:
        """Begin streams at other nodes, break them off and take them up at one node."""
        others = [other for other in self._nodes if other is not node] or [node]
        async with curio.TaskGroup() as tasks:
            while self._history.now() < until:
                await curio.sleep(random.expovariate(rate_per_s))
                request = attrs.evolve(
                    self._maker.make_stream(random),
                    events=TAKE_UP_EVENTS,
                    disconnect_after_s=random.uniform(*TAKE_UP_BREAK_RANGE_S),
                )
                await tasks.spawn(self._take_up, random.choice(others), node, request)

    async def _take_up(
        self, first_node: NodeProcess, node: NodeProcess, request: OnlineRequest
    ) -> None:
        answer = await self._send_once(first_node, request)
        if answer is None or answer.status != 200 or answer.is_whole or not answer.texts():
            return
        resumption = self._maker.make_resumption(request, len(answer.texts()))
        await self._send_once(node, attrs.evolve(resumption, is_take_up=True))

    async def _send_once(self, node: NodeProcess, request: OnlineRequest) -> Answer | None:
        """Send a request on a new connection; return its answer as far as it was received."""
        connection = await ClientConnection.open(node.proxied_address)
        if connection is None:
            return None
        try:
            await self.send(connection, node, request)
            return connection.answer
        finally:
            await connection.close()

    async def run_over_quota(self, tenant: str, rate_per_s: float, random: Random) -> None:
        """Send more than a tenant's quota to random nodes, each request on a new connection."""
        async with curio.TaskGroup() as tasks:
            while not self._is_over():
                await curio.sleep(random.expovariate(rate_per_s))
                node = random.choice(self._nodes)
                await tasks.spawn(
                    self.send_on_new_connection, node, self._maker.make(random, tenant)
                )

    async def run_crashing(self, random: Random) -> None:
        """Repeat the request that crashes its replicas, each time at a random node."""
        while not self._is_over():
            await curio.sleep(random.expovariate(1 / MEAN_CRASHING_INTERVAL_S))
            await self.send_on_new_connection(
                random.choice(self._nodes), self._maker.make_crashing(random)
            )

    async def run_guilty(
        self, part_id: str, rate_per_s: float, until: float, random: Random
    ) -> None:
        """Send requests with a part that crashes replicas, each at a random node."""
        async with curio.TaskGroup() as tasks:
            while self._history.now() < until:
                await curio.sleep(random.expovariate(rate_per_s))
                request = self._maker.make_guilty(part_id, random)
                await tasks.spawn(self.send_on_new_connection, random.choice(self._nodes), request)

    async def run_crowd(
        self, node: NodeProcess, rate_per_s: float, until: float, random: Random
    ) -> None:
        """Send requests on new connections to one node."""
        self._history.record(CrowdMoved(node=node.name))
        async with curio.TaskGroup() as tasks:
            while self._history.now() < until:
                await curio.sleep(random.expovariate(rate_per_s))
                request = attrs.evolve(self._maker.make(random, CRASHING_TENANT), is_crowd=True)
                await tasks.spawn(self.send_on_new_connection, node, request)
        self._history.record(CrowdMoved())

    async def send_herd(self, total: int, tenant: str, random: Random) -> None:
        """Send many requests at once to random nodes."""
        async with curio.TaskGroup() as tasks:
            for _ in range(total):
                node = random.choice(self._nodes)
                await tasks.spawn(
                    self.send_on_new_connection, node, self._maker.make(random, tenant)
                )

    async def send_on_new_connection(self, node: NodeProcess, request: OnlineRequest) -> bool:
        """Send a request on a new connection; return whether it was answered 200."""
        connection = await ClientConnection.open(node.proxied_address)
        if connection is None:
            return False
        try:
            await self.send(connection, node, request)
            return connection.answer.is_whole and connection.answer.status == 200
        finally:
            await connection.close()

    async def send(
        self, connection: ClientConnection, node: NodeProcess, request: OnlineRequest
    ) -> bool:
        """Send a request and record it; return whether the connection can be reused."""
        if await connection.has_unsolicited_bytes():
            self._history.record(AnswerSeen(request="", end=AnswerEnd.UNASKED))
            return False
        self._record_sent(node, request)
        timeout_s = request.deadline_ms / 1000 + EXTRA_WAIT_S
        if request.route is LONG_ROUTE:
            timeout_s = REQUEST_DEADLINE_MS / 1000 + EXTRA_WAIT_S
        async with curio.ignore_after(request.disconnect_after_s or timeout_s):
            await connection.call(
                "POST", request.target, request.headers(), request.body, request.sent_share
            )
            self._record_answer(connection, request)
            is_complete = request.sent_share == 1.0
            return is_complete and connection.answer.is_whole and connection.prepare_next_request()
        self._history.record(
            ClientLeft(
                request=request.request_id,
                is_planned=request.disconnect_after_s is not None,
                texts=connection.answer.texts() if connection.answer.status == 200 else [],
            )
        )
        return False

    def _record_sent(self, node: NodeProcess, request: OnlineRequest) -> None:
        self._history.record(
            RequestSent(
                request=request.request_id,
                node=node.name,
                method="POST",
                target=request.target,
                body=digest(request.body),
                key=request.key,
                events=request.events,
                may_repeat=request.route.may_repeat,
                is_part=request.sent_share < 1.0,
                is_resumable=request.route.is_resumable,
                resumes=request.resumes,
                last_event=request.last_event,
                is_crowd=request.is_crowd,
                is_take_up=request.is_take_up,
                guilty_part=request.guilty_part,
                deadline_s=request.deadline_ms / 1000,
            )
        )

    def _record_answer(self, connection: ClientConnection, request: OnlineRequest) -> None:
        answer = connection.answer
        self._history.record(
            AnswerSeen(
                request=request.request_id,
                end=answer.end,
                status=answer.status,
                answered_id=answer.header(names.REQUEST_ID),
                is_signed=answer.is_signed,
                code=answer.code,
                texts=answer.texts() if answer.status == 200 else [],
            )
        )
