"""The earlier daemon's problem answers: a promising status only for what has not run."""

from types import SimpleNamespace
from typing import Any

import pytest

from cloverwalk.core.collect import Collector
from cloverwalk.core.events import SendReply
from cloverwalk.core.types import Outcome
from cloverwalk.pipeline.problem import PipelineError, unavailable
from cloverwalk.pipeline.reply import ReplyFilter
from cloverwalk.pipeline.request import OnlineRequest

PROMISES = (408, 421, 429, 503)


@pytest.mark.parametrize("status", [*PROMISES, 409, 504])
@pytest.mark.parametrize("outcome", list(Outcome))
def test_a_promising_status_goes_with_not_run_only(status: int, outcome: Outcome) -> None:
    error = PipelineError(status, "code", "detail", outcome=outcome)
    is_true = outcome is Outcome.NOT_RUN or status not in PROMISES
    assert error.status == (status if is_true else 502)


@pytest.mark.parametrize(("attempts", "status"), [(0, 503), (1, 502)])
def test_who_gives_up_need_not_know_what_was_sent(attempts: int, status: int) -> None:
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
    assert [one.status for one in sent if isinstance(one, SendReply)] == [status]
