"""Which contact with the store lets a controller's clients write, and for how long."""

from __future__ import annotations

import pytest

from lapispass.core.store_contact import TAKEOVER_MIN_US, StoreContact
from lapispass.core.units import SECOND_US

LEASES_US = [200_000, 600_000, 1_500_000, 2_500_000, 5_000_000]
HEARTBEAT_US = SECOND_US  # of the relay's event stream, by the protocol
NOW = 1_000 * SECOND_US


def in_contact(lease_us: int, at: int = NOW) -> StoreContact:
    """A controller whose last call was sent, and whose last line was read, at this time."""
    contact = StoreContact(lease_us)
    contact.call_answered(at)
    contact.stream_heard(at)
    contact.events_taken()
    return contact


def last_renewal(contact: StoreContact) -> int:
    """The last time at which the right to write is renewed if nothing is heard any more."""
    low, high = NOW, NOW + 60 * SECOND_US
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if contact.may_grant_writes(middle) else (low, middle - 1)
    return low


@pytest.mark.parametrize("lease_us", LEASES_US)
def test_a_controller_that_is_cut_off_renews_no_write_past_the_lease_of_its_successor(lease_us: int) -> None:
    """Guards against a former owner that still has writes when the new holder of its slice hands it over."""
    contact = in_contact(lease_us)
    changed_hands_at = NOW + TAKEOVER_MIN_US
    assert contact.client_lease_us > 0
    assert last_renewal(contact) + contact.client_lease_us <= changed_hands_at + lease_us


@pytest.mark.parametrize("lease_us", LEASES_US)
def test_a_stream_with_its_usual_heartbeat_keeps_the_right_to_write(lease_us: int) -> None:
    """Guards against writes that pause between two heartbeats of a relay that is well."""
    assert last_renewal(in_contact(lease_us)) > NOW + HEARTBEAT_US


def test_one_direction_alone_is_no_contact() -> None:
    """Guards against a right that lives on answered calls while changes of hands no longer arrive, or so."""
    calls_alone, stream_alone = in_contact(1_500_000), in_contact(1_500_000)
    later = NOW + 2 * SECOND_US
    calls_alone.call_answered(later)
    stream_alone.stream_heard(later)
    for contact in (calls_alone, stream_alone):
        contact.events_taken()
        assert not contact.may_grant_writes(later)


def test_a_contact_counts_once_a_turn_has_taken_in_what_came_before_it() -> None:
    """Guards against a right that is renewed while a change of hands waits for a turn that is stuck."""
    contact, later = in_contact(1_500_000), NOW + 2 * SECOND_US
    contact.call_answered(later)
    contact.stream_heard(later)
    assert not contact.may_grant_writes(later)
    contact.events_taken()
    assert contact.may_grant_writes(later)


def test_a_change_of_hands_that_waits_for_its_turn_ends_renewals_at_once() -> None:
    """Guards against renewals for a slice that is known to be another controller's by now."""
    contact = in_contact(1_500_000)
    contact.change_received(NOW)
    contact.change_received(NOW + 50_000)
    assert last_renewal(contact) + contact.client_lease_us < NOW + contact.lease_us
    contact.events_taken()
    assert last_renewal(contact) == NOW + contact.silence_limit_us


def test_a_broken_stream_ends_renewals_within_the_slack() -> None:
    """Guards against renewals for slices that change hands while the stream that would tell it is broken."""
    contact = in_contact(1_500_000)
    contact.stream_lost(NOW)
    contact.stream_lost(NOW + 200_000)
    assert last_renewal(contact) + contact.client_lease_us <= NOW + contact.lease_us
    contact.stream_heard(NOW + 300_000)
    assert contact.may_grant_writes(NOW + contact.silence_limit_us)


def test_an_answer_counts_from_when_its_call_was_sent() -> None:
    """Guards against a process that stood still and reads old answers and old heartbeats as new."""
    contact, resumed_at = in_contact(1_500_000), NOW + 5 * SECOND_US
    contact.stream_heard(resumed_at)
    contact.call_answered(NOW + 100_000)
    contact.events_taken()
    assert not contact.may_grant_writes(resumed_at)


def test_no_client_writes_before_the_first_contact() -> None:
    """Guards against a restarted controller that grants writes by what it has not read yet."""
    assert not StoreContact(1_500_000).may_grant_writes(NOW)


def test_without_a_lease_nothing_is_kept_back() -> None:
    """Guards against writes that are closed where no slice has a single owner."""
    assert StoreContact(0).may_grant_writes(NOW)
