"""The emulated replica: requests that it refuses have no effect on it."""

import pytest
from fleet_world import FleetWorld, in_world

from cloverwalk.emulator.replica_runs import Arrival, Misdeed
from cloverwalk.platform import names


# Guards against replicas that crash under a request that they have refused unread, as being full or
# as sent to an earlier replica at their address: no node could tell what ended them.
@pytest.mark.parametrize(("expected_id", "slots", "status"), [("i-9", 8, 421), ("i-0", 0, 503)])
def test_refused_request_causes_no_fault(expected_id: str, slots: int, status: int) -> None:
    async def test(world: FleetWorld) -> None:
        await world.start()
        replica = world.replicas[0]
        replica.slots, replica.max_waiting = slots, 0
        chosen_for: list[Arrival] = []

        def choose(arrival: Arrival) -> Misdeed | None:
            chosen_for.append(arrival)
            return None

        replica.choose_misdeed = choose
        headers = [(names.EXPECT_INSTANCE.decode(), expected_id)]
        answer = await world.call("POST", "/chat/a", b"", headers, address=replica.address)
        assert answer.status == status
        assert names.NOT_EXECUTED.decode().lower() in answer.headers
        assert chosen_for == []
        replica.slots = 8
        headers = [(names.EXPECT_INSTANCE.decode(), replica.replica_id)]
        assert (
            await world.call("POST", "/chat/a", b"", headers, address=replica.address)
        ).status == 200
        assert len(chosen_for) == 1

    in_world(test)
