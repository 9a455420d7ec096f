"""Error responses of the pipeline use a retryable status only if the request did not run."""

from types import SimpleNamespace
from typing import Any

import pytest

from cloverwalk.core.collect import Collector
from cloverwalk.core.events import SendReply
from cloverwalk.core.types import Outcome
from cloverwalk.pipeline.problem import PipelineError, unavailable
from cloverwalk.pipeline.reply import ReplyFilter
from cloverwalk.pipeline.request import OnlineRequest

RETRYABLE_STATUSES = (408, 421, 429, 503)


@pytest.mark.parametrize("status", [*RETRYABLE_STATUSES, 409, 504])
@pytest.mark.parametrize("outcome", list(Outcome))
def test_retryable_status_requires_outcome_not_run(status: int, outcome: Outcome) -> None:
    error = PipelineError(status, "code", "detail", outcome=outcome)
    is_allowed = outcome is Outcome.NOT_RUN or status not in RETRYABLE_STATUSES
    assert error.status == (status if is_allowed else 502)


@pytest.mark.parametrize(("attempts", "status"), [(0, 503), (1, 502)])
def test_give_up_derives_status_from_unaccounted_attempts(attempts: int, status: int) -> None:
    sent: list[Any] = []
    counter = SimpleNamespace(labels=lambda code: SimpleNamespace(inc=lambda: None))
    context: Any = SimpleNamespace(
        metrics=SimpleNamespace(refused=counter), log=lambda *args, **fields: None, emit=sent.append
    )
    replies = ReplyFilter(context, lambda request, result: None)
    call: Any = SimpleNamespace(at_most_once=False)
    request = OnlineRequest(1, call, "r", "f", 0.0, 1.0, Collector("r", 0))
    request.unaccounted_attempts = attempts
    replies.give_up(request, unavailable())
    assert [instruction.status for instruction in sent if isinstance(instruction, SendReply)] == [
        status
    ]
