"""Clients of online requests: steady ones on kept connections, those that leave, and herds."""

from collections.abc import Callable
from itertools import count
from random import Random

import attrs
import curio

from cloverwalk.platform import names
from cloverwalk.soak.connection import ClientConnection
from cloverwalk.soak.deployment import HOST, ROUTES, UNKNOWN_KEY, Operator, RouteSpec
from cloverwalk.soak.events import AnswerEnd, AnswerSeen, ClientLeft, RequestSent
from cloverwalk.soak.history import History
from cloverwalk.soak.processes import NodeProcess
from cloverwalk.soak.replicas import CRASHING_BODY, digest

DEADLINE_MS = 3_000
PATIENCE_S = 3.0
"""A client waits so much longer than its deadline, then leaves."""

PAUSE_S = 0.35
"""Mean time between two requests of a client."""

CRASHING_PAUSE_S = 1.5
"""Mean time between two repetitions of the request that ends its replicas."""

CRASHING_TENANT = "hall"
"""It has no quota."""

BACK_OFF_S = 0.15
LONG_EVENTS = 2_000
"""Events of a stream whose client leaves: over half a minute."""

LEAVE_AFTER_S = (0.1, 2.0)
UNKNOWN_SHARE = 0.03
OLD_KEY_SHARE = 0.04
LEAVE_SHARE = 0.05
PART_SHARE = 0.02
"""Share of requests that are sent in part only."""

PART_WAIT_S = 3.0
"""For so long the rest does not come; twice the time that a node waits for a head."""

ONLINE_ROUTES = [one for one in ROUTES if not one.is_batch and one.name != "long"]
LONG_ROUTE = next(one for one in ROUTES if one.name == "long")


@attrs.frozen
class OnlineRequest:
    """A request as a client makes it up."""

    request_id: str
    route: RouteSpec
    target: str
    key: str
    body: bytes
    events: int
    leave_after_s: float | None = None
    sent_share: float = 1.0
    """Share of its bytes that are sent at all."""

    def headers(self) -> list[tuple[str, str]]:
        """Return its headers."""
        deadline_ms = self.route.timeout_ms if self.route is LONG_ROUTE else DEADLINE_MS
        headers = [
            ("Host", HOST),
            (names.REQUEST_ID.decode(), self.request_id),
            (names.DEADLINE_MS.decode(), str(deadline_ms)),
            (names.TOKEN_USAGE.decode(), f"{len(self.body)},{self.events}"),
        ]
        if self.key:
            headers.append((names.AUTHORIZATION.decode(), f"Bearer {self.key}"))
        return headers


class RequestMaker:
    """Makes up requests for the routes and keys that the operator has written, and others."""

    def __init__(self, operator: Operator) -> None:
        self._operator = operator
        self._numbers = count(1)

    def make(self, random: Random, tenant: str = "") -> OnlineRequest:
        """Return the next request; ``tenant`` chooses whose."""
        number = next(self._numbers)
        if random.random() < LEAVE_SHARE and not tenant:
            leave_after_s = random.uniform(*LEAVE_AFTER_S)
            route, events = LONG_ROUTE, LONG_EVENTS
        else:
            leave_after_s = None
            route, events = random.choice(ONLINE_ROUTES), random.randint(1, 25)
        request_id = f"r{number:06d}"
        key = self._key(random, tenant, route)
        body = f"prompt of {request_id} ".encode() * random.randint(1, 20)
        target = f"{route.prefix}{random.randint(1, 99)}?q={number}"
        request = OnlineRequest(request_id, route, target, key, body, events, leave_after_s)
        if random.random() < PART_SHARE and not tenant:
            share = random.uniform(0.1, 0.95)
            return attrs.evolve(request, leave_after_s=PART_WAIT_S, sent_share=share)
        return request

    def make_crashing(self, random: Random) -> OnlineRequest:
        """Return a repetition of the request that ends each replica that runs it."""
        request_id = f"x{next(self._numbers):06d}"
        route = ONLINE_ROUTES[0]
        key = random.choice(self._operator.tenants[CRASHING_TENANT].keys)
        return OnlineRequest(request_id, route, f"{route.prefix}ends", key, CRASHING_BODY, 5)

    def _key(self, random: Random, tenant: str, route: RouteSpec) -> str:
        tenants = self._operator.tenants
        state = tenants[tenant or random.choice(sorted(tenants))]
        if tenant:
            return random.choice(state.keys)
        chance = random.random()
        if chance < UNKNOWN_SHARE:
            return UNKNOWN_KEY
        if chance < UNKNOWN_SHARE + OLD_KEY_SHARE and state.old_keys:
            return random.choice(state.old_keys)
        if route.is_public and chance > 0.5:
            return ""
        return random.choice(state.keys)


class OnlineClients:
    """Sends requests and notes what came of them."""

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
        """Send one request after the other to one node, on one connection while that is open."""
        connection: ClientConnection | None = None
        while not self._is_over():
            await curio.sleep(random.expovariate(1 / PAUSE_S))
            if connection is None:
                connection = await ClientConnection.open(node.proxied_address)
            if connection is None:
                await curio.sleep(BACK_OFF_S)
                continue
            is_kept = await self.send(connection, node, self._maker.make(random))
            if not is_kept:
                await connection.close()
                connection = None
        if connection is not None:
            await connection.close()

    async def run_eager(self, tenant: str, rate_per_s: float, random: Random) -> None:
        """Send more than a tenant may, to nodes by chance, each on a connection of its own."""
        async with curio.TaskGroup() as tasks:
            while not self._is_over():
                await curio.sleep(random.expovariate(rate_per_s))
                node = random.choice(self._nodes)
                await tasks.spawn(self.send_one, node, self._maker.make(random, tenant))

    async def run_crashing(self, random: Random) -> None:
        """Send the request that ends its replicas again and again, to nodes by chance."""
        while not self._is_over():
            await curio.sleep(random.expovariate(1 / CRASHING_PAUSE_S))
            await self.send_one(random.choice(self._nodes), self._maker.make_crashing(random))

    async def herd(self, total: int, tenant: str, random: Random) -> None:
        """Send many requests at once, to nodes by chance."""
        async with curio.TaskGroup() as tasks:
            for _ in range(total):
                node = random.choice(self._nodes)
                await tasks.spawn(self.send_one, node, self._maker.make(random, tenant))

    async def send_one(self, node: NodeProcess, request: OnlineRequest) -> bool:
        """Send a request over a connection of its own; return whether it was served."""
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
        """Send a request; return whether the connection may be used again."""
        if await connection.has_unasked_bytes():
            self._history.note(AnswerSeen(request="", end=AnswerEnd.UNASKED))
            return False
        self._note_sent(node, request)
        limit_s = DEADLINE_MS / 1000 + PATIENCE_S
        async with curio.ignore_after(request.leave_after_s or limit_s):
            await connection.call(
                "POST", request.target, request.headers(), request.body, request.sent_share
            )
            self._note_answer(connection, request)
            is_sent = request.sent_share == 1.0
            return is_sent and connection.answer.is_whole and connection.may_go_on()
        self._history.note(
            ClientLeft(
                request=request.request_id,
                is_planned=request.leave_after_s is not None,
                texts=connection.answer.texts() if connection.answer.status == 200 else [],
            )
        )
        return False

    def _note_sent(self, node: NodeProcess, request: OnlineRequest) -> None:
        self._history.note(
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
            )
        )

    def _note_answer(self, connection: ClientConnection, request: OnlineRequest) -> None:
        answer = connection.answer
        self._history.note(
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
