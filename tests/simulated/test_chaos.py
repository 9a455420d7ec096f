"""The concurrent run under failures, for seeds that every run repeats."""

import pytest
from chaos import run_seed

# 2, 3: a cut made every waiting request ask its unreachable home node again and again.
# 23, 29: a claim whose holder had given up kept later sends of its key waiting for ever.
# 2005: an item that ran here already was pulled, given back and pulled again without end.
# 2269: a node paused past its lease woke up in an outage and took its lease for frozen.
FOUND_BY_EXPLORING = (2, 3, 23, 29, 42, 93, 192, 2005, 2269)


@pytest.mark.parametrize("seed", [*FOUND_BY_EXPLORING, *range(500, 510)])
def test_everything_holds_under_failures(seed: int) -> None:
    violations, injected = run_seed(seed)
    assert not violations, f"{violations[:5]} after {injected}"
