"""Every item of a job ends exactly once, despite losses and duplicates."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cloverwalk.core.batch_job import BatchJob
from cloverwalk.core.types import BatchItem, ItemResult, JobRow, Outcome

ITEMS = 12
NODES = st.sampled_from(["n1", "n2"])


def result(index: int) -> ItemResult:
    return ItemResult(index, f"i{index}", Outcome.COMPLETED, "text", 1)


class JobMachine(RuleBasedStateMachine):
    """Hand-outs, returns, losses, duplicates and segment commits in any order."""

    def __init__(self) -> None:
        super().__init__()
        row = JobRow("j", "s", "k", "m", ITEMS, 5, "", 0.0)
        self.job = BatchJob(row)
        self.now = 0.0
        self.held: dict[str, set[int]] = {"n1": set(), "n2": set()}
        self.ended: set[int] = set()
        self.committed: list[int] = []

    @rule()
    def load(self) -> None:
        part = self.job.part_to_load()
        if part is not None:
            self.job.loading()
            first = part * 5
            items = [BatchItem(f"i{n}", "p", 1) for n in range(first, min(ITEMS, first + 5))]
            self.job.load(items)

    @rule(node=NODES, count=st.integers(1, 4))
    def take(self, node: str, count: int) -> None:
        for handout in self.job.take(count, node, self.now):
            assert handout.index not in self.ended
            assert all(handout.index not in held for held in self.held.values())
            self.held[node].add(handout.index)

    @rule(node=NODES, index=st.integers(0, ITEMS - 1))
    def give_back(self, node: str, index: int) -> None:
        self.job.give_back(index, node, "so far")
        self.held[node].discard(index)

    @rule(node=NODES)
    def lose_node(self, node: str) -> None:
        self.job.node_lost(node)
        self.held[node].clear()

    @rule(index=st.integers(0, ITEMS - 1))
    def finish(self, index: int) -> None:
        """A result comes, perhaps from a holder that was believed lost, perhaps twice."""
        is_first = self.job.finish(result(index))
        assert is_first == (index not in self.ended)
        self.ended.add(index)
        for held in self.held.values():
            held.discard(index)

    @precondition(lambda self: self.job.finished)
    @rule(count=st.integers(1, 4))
    def commit(self, count: int) -> None:
        batch = self.job.finished[:count]
        self.committed += [one.index for one in batch]
        self.job.committed(batch)

    @rule(held=st.booleans())
    def time_passes(self, held: bool) -> None:
        self.now += 4.0
        if held:
            for node, indexes in self.held.items():
                self.job.confirm(node, indexes, self.now)
        self.job.take_back_unconfirmed(self.now, grace_s=5.0)
        kept = {index for index, holder in self.job._holders.items() if holder}
        for indexes in self.held.values():
            indexes &= kept

    @invariant()
    def counts_agree(self) -> None:
        assert len(self.committed) == len(set(self.committed)) == self.job.done_count
        running = sum(len(held) for held in self.held.values())
        assert self.job.running_count == running
        open_items = self.job.pending_count + running
        assert open_items == ITEMS - len(self.ended)


JobMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)
TestJobMachine = JobMachine.TestCase
