"""Checks of histories. No library checks these properties, so they are few and small.

Each takes what callers were told and what the engines logged, and returns the violations.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from fleet import Told, expected_answer


def one_result_per_key(history: Iterable[Told]) -> list[str]:
    """Every caller of a key that was told a final outcome was told the same one."""
    finals: dict[str, set[tuple[str, str]]] = defaultdict(set)
    for told in history:
        if told.status == 200 and told.outcome == "completed":
            finals[told.key].add(("completed", told.text))
        elif told.at_most_once and told.outcome == "outcome_unknown" and told.status == 409:
            finals[told.key].add(("outcome_unknown", ""))
    return [f"{key}: {sorted(ends)}" for key, ends in finals.items() if key and len(ends) > 1]


def answers_are_whole_and_own(history: Iterable[Told]) -> list[str]:
    """Every answer that was presented as whole is the whole answer to that very prompt."""
    return [
        f"{told.key}: {told.text!r}"
        for told in history
        if told.status == 200
        and told.outcome == "completed"
        and told.text != expected_answer(told.prompt, told.tokens)
    ]


def all_completed(history: Iterable[Told], keys: Iterable[str]) -> list[str]:
    """Every key got a final outcome in the end."""
    ended = {
        told.key
        for told in history
        if told.outcome in ("completed", "outcome_unknown") and told.status in (200, 409)
    }
    return [key for key in keys if key not in ended]


def started_at_most_once(starts: Iterable[str], request_ids: Iterable[str]) -> list[str]:
    """The engines' logs have 0 or 1 start of each marked request."""
    counts = Counter(starts)
    return [
        f"{request_id}: {counts[request_id]} starts"
        for request_id in request_ids
        if counts[request_id] > 1
    ]


def not_run_is_true(
    history: Iterable[Told], starts: Iterable[str], request_ids: dict[str, str]
) -> list[str]:
    """No request of which every answer was ``not_run`` was ever started."""
    told_by_key: dict[str, list[Told]] = defaultdict(list)
    for told in history:
        told_by_key[told.key].append(told)
    started = set(starts)
    return [
        f"{key}: told not_run, but it started"
        for key, all_told in told_by_key.items()
        if key in request_ids
        and all(told.outcome == "not_run" for told in all_told)
        and request_ids[key] in started
    ]


def batch_is_exact(lines: list[Any], key: str, count: int, tokens: int) -> list[str]:
    """A completed job has one right result for every item."""
    counts = Counter(line["custom_id"] for line in lines)
    wrong = [f"{one}: {n} results" for one, n in counts.items() if n != 1]
    wrong += [f"{key}-{n}: missing" for n in range(count) if f"{key}-{n}" not in counts]
    for line in lines:
        number = line["custom_id"].removeprefix(f"{key}-")
        if line["text"] != expected_answer(f"{key} item {number}", tokens):
            wrong.append(f"{line['custom_id']}: wrong text")
    return wrong


def versions_never_revert(seen: Iterable[tuple[str, int]]) -> list[str]:
    """The table versions that a node (by incarnation) was seen to serve only grow."""
    highest: dict[str, int] = {}
    wrong = []
    for node, version in seen:
        if version < highest.get(node, 0):
            wrong.append(f"{node}: {version} after {highest[node]}")
        highest[node] = max(version, highest.get(node, 0))
    return wrong
