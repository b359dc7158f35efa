"""How long a release waits for the answers that a node may owe, without a gate."""

from __future__ import annotations

import pytest

from lapispass.core.outstanding_answers import AnswerWait, OutstandingAnswers, WaitState

NOW = 1_000_000_000
MS = 1000
ANSWER_US, PATIENCE_US, INTERVAL_US = 1500 * MS, 17_000 * MS, 200 * MS


def asked(now: int, count: int = 1, answered: int = 0) -> OutstandingAnswers:
    answers = OutstandingAnswers()
    for _ in range(count):
        answers.message_sent(now, is_complete=True)
    for _ in range(answered):
        answers.message_received()
    return answers


def wait_for(answers: OutstandingAnswers, now: int = NOW, answer_us: int = ANSWER_US) -> AnswerWait:
    return AnswerWait(answers, answer_us, PATIENCE_US, INTERVAL_US, now, needs_proof=False)


def run(wait: AnswerWait, now: int, until: int, answer_after: int = 1 * MS) -> int:
    """Answers each ping after a while; returns when the wait was over, or `until`."""
    while now < until and wait.state(now) is WaitState.WAITING:
        if wait.needs_probe(now):
            wait.probe_sent(now)
        if wait.probe_sent_at and now - wait.probe_sent_at >= answer_after:
            wait.probe_answered(now)
        now += 1 * MS
    return now


def test_nothing_is_waited_for_where_nothing_was_asked() -> None:
    assert wait_for(OutstandingAnswers()).state(NOW) is WaitState.SETTLED
    assert wait_for(asked(NOW), answer_us=0).state(NOW) is WaitState.SETTLED
    assert wait_for(asked(NOW - PATIENCE_US, answered=1)).state(NOW) is WaitState.SETTLED


@pytest.mark.parametrize(("age_ms", "most_ms"), [(0, 1750), (1000, 750), (5000, 10)])
def test_a_wait_ends_an_answer_time_after_the_last_message(age_ms: int, most_ms: int) -> None:
    wait = wait_for(asked(NOW - age_ms * MS, answered=1))
    over = run(wait, NOW, NOW + 10_000 * MS)
    assert max(0, 1700 - age_ms) * MS <= over - NOW <= most_ms * MS
    assert wait.state(over) is WaitState.SETTLED


@pytest.mark.parametrize("stop_after_ms", [0, 1, 150, 900])
def test_the_time_for_which_a_node_stands_still_does_not_count(stop_after_ms: int) -> None:
    """Guards against an answer that comes when a node that was stopped runs on."""
    wait = wait_for(asked(NOW, answered=1))
    stopped = run(wait, NOW, NOW + stop_after_ms * MS)
    if not wait.probe_sent_at:
        wait.probe_sent(stopped)
    wait.probe_answered(stopped + 3000 * MS)
    over = run(wait, stopped + 3000 * MS, NOW + 20_000 * MS)
    assert over - NOW >= 3000 * MS + ANSWER_US


def test_a_stand_still_before_the_wait_shows_in_its_first_ping() -> None:
    wait = wait_for(asked(NOW - 5000 * MS, answered=1))
    wait.probe_sent(NOW)
    wait.probe_answered(NOW + 300 * MS)
    assert run(wait, NOW + 300 * MS, NOW + 10_000 * MS) >= NOW + 300 * MS + ANSWER_US


def test_a_node_that_always_answers_pings_late_is_waited_for_longer_but_not_for_ever() -> None:
    wait = wait_for(asked(NOW, answered=1))
    over = run(wait, NOW, NOW + 60_000 * MS, answer_after=500 * MS)
    assert NOW + ANSWER_US < over < NOW + 6000 * MS


def test_missing_answers_are_late_after_the_answer_time_and_given_up_in_the_end() -> None:
    wait = wait_for(asked(NOW, count=2, answered=1))
    over = run(wait, NOW, NOW + 10_000 * MS)
    assert wait.state(over) is WaitState.LATE
    assert not wait.is_overdue(over) and wait.is_overdue(NOW + 3400 * MS)
    assert not wait.is_given_up(over)
    assert wait.is_given_up(NOW + PATIENCE_US) and wait.state(NOW + PATIENCE_US) is WaitState.LATE


def test_a_late_answer_may_have_further_parts() -> None:
    answers = asked(NOW)
    wait = wait_for(answers)
    over = run(wait, NOW, NOW + 10_000 * MS)
    answers.message_received()
    wait.message_received()
    assert wait.state(over) is WaitState.WAITING
    assert run(wait, over, NOW + 20_000 * MS) >= over + ANSWER_US


def test_messages_that_nobody_asked_for_are_no_answers_to_later_questions() -> None:
    answers = OutstandingAnswers()
    for _ in range(5):
        answers.message_received()
    answers.message_sent(NOW, is_complete=False)
    answers.message_sent(NOW, is_complete=True)
    assert answers.unanswered == 1
    assert answers.may_be_owed(NOW + PATIENCE_US, ANSWER_US) and not answers.may_be_owed(NOW, 0)
    answers.message_received()
    assert answers.may_be_owed(NOW + ANSWER_US - 1, ANSWER_US)
    assert not answers.may_be_owed(NOW + ANSWER_US, ANSWER_US)
