"""The checks themselves, against histories that are known to be bad."""

import checks
from fleet import Told, expected_answer


def told(key: str, text: str, status: int = 200, outcome: str = "completed") -> Told:
    return Told(key, "p", 2, 0.0, status, outcome, text)


def test_two_results_of_one_key_are_found() -> None:
    assert checks.one_result_per_key([told("k", "a"), told("k", "b")])
    assert not checks.one_result_per_key([told("k", "a"), told("k", "a"), told("j", "b")])


def test_a_completed_and_an_unknown_end_of_one_key_are_found() -> None:
    unknown = told("k", "", 409, "outcome_unknown")
    unknown.at_most_once = True
    assert checks.one_result_per_key([told("k", "a"), unknown])


def test_a_short_or_foreign_answer_is_found() -> None:
    right = expected_answer("p", 2)
    assert not checks.answers_are_whole_and_own([told("k", right)])
    assert checks.answers_are_whole_and_own([told("k", right[:-1])])
    assert checks.answers_are_whole_and_own([told("k", expected_answer("other", 2))])


def test_a_second_start_is_found() -> None:
    assert checks.started_at_most_once(["r", "s", "r"], ["r", "s"]) == ["r: 2 starts"]


def test_a_false_not_run_is_found() -> None:
    history = [told("k", "", 503, "not_run")]
    assert checks.not_run_is_true(history, ["r"], {"k": "r"})
    assert not checks.not_run_is_true(history, ["other"], {"k": "r"})


def test_a_missing_doubled_or_wrong_item_is_found() -> None:
    right = {"custom_id": "j-0", "text": expected_answer("j item 0", 2)}
    assert not checks.batch_is_exact([right], "j", 1, 2)
    assert checks.batch_is_exact([right, right], "j", 1, 2)
    assert checks.batch_is_exact([right], "j", 2, 2)
    assert checks.batch_is_exact([{"custom_id": "j-0", "text": "x"}], "j", 1, 2)


def test_a_reverted_table_is_found() -> None:
    assert checks.versions_never_revert([("n", 2), ("n", 1)])
    assert not checks.versions_never_revert([("n", 1), ("m", 0), ("n", 2)])


def test_a_key_that_never_ended_is_found() -> None:
    assert checks.all_completed([told("k", "", 503, "not_run")], ["k"]) == ["k"]
