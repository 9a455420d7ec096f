"""Carries store instructions to the platform and brings the answers back."""

from collections.abc import Awaitable, Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
from msgspec import json

from cloverwalk.core import events as ev
from cloverwalk.core.constants import STORE_TIMEOUT_S
from cloverwalk.core.errors import CloverwalkError
from cloverwalk.core.store_types import CommitReply, CommitStatus, ObjectReply, ReadReply
from cloverwalk.http.client import HttpPool, HttpResponse
from cloverwalk.http.errors import HttpError, LostAnswerError
from cloverwalk.tableservice.protocol import CommitAnswer, MachinesAnswer, RowsAnswer

Dispatch = Callable[[ev.Event], Awaitable[None]]
Body = TypeVar("Body")


class PlatformError(CloverwalkError):
    """The platform answered what its interface does not allow."""

    default_code = "platform_answer_invalid"


class PlatformClient:
    """The adapter to the platform. Other wire forms take this class's place."""

    def __init__(self, address: str, dispatch: Dispatch) -> None:
        self._pool = HttpPool(address)
        self._dispatch = dispatch

    async def commit(self, call: ev.CommitToStore) -> None:
        """Commit a transaction; a lost answer is reported as such."""
        body = json.encode(call.transaction)
        try:
            response = await self._call("POST", "/v1/transactions", body)
            reply = _commit_reply(response)
        except LostAnswerError:
            reply = CommitReply(CommitStatus.UNKNOWN)
        except (HttpError, PlatformError):
            reply = CommitReply(CommitStatus.UNAVAILABLE)
        await self._dispatch(ev.StoreCommitted(call.op_id, reply))

    async def read(self, call: ev.ReadStore) -> None:
        """Read rows."""
        query = urlencode({"prefix": call.prefix, "exact": str(call.exact).lower()})
        try:
            response = await self._call("GET", f"/v1/rows?{query}")
            reply = ReadReply(True, _decode(response, RowsAnswer).rows)
        except (HttpError, PlatformError):
            reply = ReadReply(available=False)
        await self._dispatch(ev.StoreRead(call.op_id, reply))

    async def put_object(self, call: ev.PutObject) -> None:
        """Write an object; writing it twice does no harm."""
        try:
            response = await self._call("PUT", _object_path(call.name), call.body.encode())
            reply = ObjectReply(True if response.status == 200 else None)
        except HttpError:
            reply = ObjectReply(found=None)
        await self._dispatch(ev.ObjectDone(call.op_id, reply))

    async def get_object(self, call: ev.GetObject) -> None:
        """Read an object."""
        try:
            response = await self._call("GET", _object_path(call.name))
            if response.status == 200:
                reply = ObjectReply(True, response.body.decode())
            else:
                reply = ObjectReply(False if response.status == 404 else None)
        except HttpError:
            reply = ObjectReply(found=None)
        await self._dispatch(ev.ObjectDone(call.op_id, reply))

    async def list_machines(self, call: ev.ListMachines) -> None:
        """Read the machine list of a zone, or of all."""
        machines = None
        try:
            response = await self._call("GET", f"/v1/machines?{urlencode({'zone': call.zone})}")
            machines = _decode(response, MachinesAnswer).machines
        except (HttpError, PlatformError):
            machines = None
        await self._dispatch(ev.MachinesListed(call.zone, machines))

    async def _call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        return await self._pool.call(method, path, body, timeout_s=STORE_TIMEOUT_S)


def _object_path(name: str) -> str:
    return "/v1/objects/" + quote(name, safe="")


def _commit_reply(response: HttpResponse) -> CommitReply:
    if response.status == 503:
        return CommitReply(CommitStatus.UNAVAILABLE)
    answer = _decode(response, CommitAnswer, allowed=(200, 409))
    if answer.committed:
        return CommitReply(CommitStatus.COMMITTED)
    return CommitReply(CommitStatus.CONFLICT, answer.conflicts)


def _decode(response: HttpResponse, wanted: type[Body], allowed: tuple[int, ...] = (200,)) -> Body:
    if response.status not in allowed:
        raise PlatformError(f"status {response.status}")
    try:
        return json.decode(response.body, type=wanted)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformError(str(error)) from error
