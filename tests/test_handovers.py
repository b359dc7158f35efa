"""Handovers of slices, whatever happens between the steps."""

from __future__ import annotations

from fleet import SECOND, Fleet, deployment, registry_changes

from lapispass import interface


def test_a_drained_owner_hands_over_in_two_steps() -> None:
    fleet = Fleet(deployment(), 4, seed=1, ran_s=3)
    fleet.change(102, "draining")
    fleet.run(0.4)
    assert None in fleet.owners()
    fleet.run(8)
    assert 102 not in fleet.owners() and None not in fleet.owners()
    assert all(table.writes for table in fleet.store.values())


def test_a_preferred_owner_gets_its_slice_by_the_same_steps() -> None:
    """Guards against an operator's order that gives a slice away in one step; `fleet` checks the rules."""
    fleet = Fleet(deployment(), 4, seed=1, ran_s=3)
    number, owner = next((number, table.owner) for number, table in fleet.store.items() if table.owner != 103)
    fleet.events.append(interface.PreferredOwner(number, 103))
    fleet.run(0.4)
    assert fleet.store[number].owner is None
    fleet.run(8)
    assert fleet.store[number].owner == 103 != owner
    fleet.change(103, "draining")
    fleet.run(8)
    assert fleet.store[number].owner not in (None, 103)


def test_an_unresponsive_proxy_is_waited_for_until_its_lease_ends() -> None:
    fleet = Fleet(deployment(), 4, seed=2, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "gone")
    fleet.run(4)
    assert None in fleet.owners()
    fleet.leave(1)
    fleet.run(6)
    assert None not in fleet.owners()


def test_a_proxy_that_never_acknowledges_does_not_leave_a_slice_unserved_for_ever() -> None:
    fleet = Fleet(deployment(), 4, seed=2, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "draining")
    fleet.run(20)
    assert None not in fleet.owners()  # reads are served ...
    # ... but writes wait for the acknowledgement.
    assert not all(table.writes for table in fleet.store.values())


def test_a_returned_server_is_let_in_again_though_proxies_joined_meanwhile() -> None:
    fleet = Fleet(deployment(), 3, seed=4)
    fleet.change(101, "gone")  # within a lease after the start: withdrawn, but no handover yet
    fleet.run(0.6)
    fleet.leave(2)
    fleet.run(0.2)
    fleet.join(2)
    fleet.run(6)
    fleet.change(101, "ready", fleet.now)
    fleet.run(6)
    assert all(not proxy.out for proxy in fleet.proxies)


def test_an_empty_table_in_the_store_gets_an_owner_after_a_crash() -> None:
    fleet = Fleet(deployment(), 4, seed=6, ran_s=3)
    fleet.change(102, "gone")
    fleet.run(0.3)
    fleet.crash()
    assert None in fleet.owners()
    fleet.run(5)
    fleet.start()
    for number in range(3):  # one proxy never rejoins
        fleet.join(number)
    fleet.run(9)
    assert None not in fleet.owners()


def test_a_table_granted_empty_may_have_been_empty_for_a_while() -> None:
    fleet = Fleet(deployment(), 4, seed=6, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "gone")
    fleet.run(5)
    fleet.crash()
    fleet.start()
    given_at = fleet.now
    for number in range(4):
        fleet.join(number)
    while None in fleet.owners():
        fleet.run(0.05)
    assert fleet.now - given_at < fleet.deployment.unserved_limit_us // 4 + SECOND


def test_where_levels_have_no_effect_the_new_owner_waits_for_the_last_write() -> None:
    fleet = Fleet(deployment(admission_mode="none"), 4, seed=10, ran_s=3)
    fleet.change(102, "draining")
    fleet.run(12)  # the model checks that there is a single owner
    assert None not in fleet.owners() and all(table.writes for table in fleet.store.values())


def test_a_server_that_is_back_before_the_registry_reports_it_may_hold_writes() -> None:
    fleet = Fleet(deployment(), 4, seed=11, ran_s=4)
    # The registry is late: the process is up again and accepts writes.
    fleet.events.append(registry_changes(fleet.registry[102]._replace(state="gone")))
    fleet.run(3.2)
    fleet.events.append(registry_changes(fleet.registry[102]._replace(started_us=fleet.now - 5 * SECOND)))
    fleet.run(12)  # the model checks that there is a single owner
    assert all(table.writes for table in fleet.store.values())


def test_a_new_owner_that_drains_while_its_writes_are_blocked_is_left_in_time() -> None:
    fleet = Fleet(deployment(), 4, seed=8, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 9 * SECOND
    fleet.change(102, "draining")
    while None in fleet.owners() or 102 in fleet.owners():
        fleet.run(0.05)
    assert not all(table.writes for table in fleet.store.values())
    fleet.change(next(t.owner for t in fleet.store.values() if not t.writes), "draining")
    fleet.run(15)  # the model checks the drain grace and that there is a single owner


def test_a_new_owner_that_drains_is_left_in_time_though_a_proxy_never_acknowledges() -> None:
    fleet = Fleet(deployment(), 4, seed=8, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "draining")
    while None in fleet.owners() or 102 in fleet.owners():
        fleet.run(0.05)
    fleet.change(next(t.owner for t in fleet.store.values() if not t.writes), "draining")
    fleet.run(30)  # the model checks the drain grace, the single owner and the time unserved
    assert None not in fleet.owners()


def test_the_unserved_time_begins_when_the_owner_is_withdrawn() -> None:
    fleet = Fleet(deployment(), 4, seed=8, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "draining")
    while None in fleet.owners() or 102 in fleet.owners():
        fleet.run(0.05)
    moved = next(table for table in fleet.store.values() if not table.writes)
    owner, withdrawn_at = moved.owner, fleet.now
    fleet.change(owner, "draining")
    while moved.owner in (owner, None):
        fleet.run(0.05)
    assert fleet.now - withdrawn_at < fleet.deployment.unserved_limit_us // 2 + SECOND


def test_an_emptied_step_after_a_closing_step_lasts_long_enough_to_be_acknowledged() -> None:
    # Guards against publishing a new owner at once, while proxies that can acknowledge still send writes.
    fleet = Fleet(deployment(), 4, seed=8, ran_s=3)
    fleet.proxies[1].stalled_until = fleet.now + 60 * SECOND
    fleet.change(102, "draining")
    while None in fleet.owners() or 102 in fleet.owners():
        fleet.run(0.05)
    moved = next(table for table in fleet.store.values() if not table.writes)
    fleet.change(moved.owner, "draining")
    while moved.owner is not None:
        fleet.run(0.05)
    emptied_at = fleet.now
    while moved.owner is None:
        fleet.run(0.05)
    assert fleet.now - emptied_at >= fleet.deployment.unserved_limit_us // 4


def test_handovers_go_on_while_proxies_join_all_the_time() -> None:
    # Guards against a handover step that waits for a moment at which every new proxy has acknowledged. While
    # proxies keep joining, there may be no such moment.
    fleet = Fleet(deployment(proxies=12, max_messages=1000), 6, seed=9, ran_s=3)
    for turn in range(300):
        number = turn % 12
        fleet.run(0.1)
        fleet.leave(number)
        fleet.join(number)
        if turn in (0, 90, 180):
            fleet.change(100 + turn // 90, "draining")
    assert not fleet.owners() & {None, 100, 101, 102}
    assert all(table.writes for table in fleet.store.values())


def test_a_change_of_controller_in_a_handover_opens_no_writes_early() -> None:
    fleet = Fleet(deployment(), 4, seed=12, ran_s=3)
    moved = [number for number, table in fleet.store.items() if table.owner == 102]
    fleet.change(102, "draining")
    while fleet.now < 112 * SECOND:  # the store resets a slice's levels whenever it takes it away
        fleet.run(0.05)
        for number in moved:
            fleet.store[number].writes = True
            for proxy in fleet.proxies:
                proxy.tables[number].writes = True
    assert None not in fleet.owners()


def test_a_drained_server_that_the_registry_wrongly_lists_as_gone_has_not_ended() -> None:
    fleet = Fleet(deployment(must_leave_gone=False), 4, seed=15, ran_s=3)
    fleet.change(102, "draining")
    fleet.run(0.3)
    fleet.events.append(registry_changes(fleet.registry[102]._replace(state="gone")))
    fleet.run(12)  # the model checks that there is a single owner
    assert 102 not in fleet.owners() and None not in fleet.owners()


def test_an_owner_missing_in_a_new_controllers_snapshot_keeps_its_slices_while_it_answers() -> None:
    fleet = Fleet(deployment(must_leave_gone=False), 4, seed=19, ran_s=2)
    entry = fleet.registry.pop(101)
    fleet.crash()
    fleet.run(4)
    fleet.start()
    for number in range(4):
        fleet.join(number)
    fleet.registry[101] = entry._replace(state="gone")
    fleet.run(9)
    assert sum(table.owner == 101 for table in fleet.store.values()) == 3


def test_small_slices_of_the_owner_withdrawn_first_move_before_larger_ones() -> None:
    fleet = Fleet(deployment(proxies=40, slices=96, queue_limit_lines=2000.0, max_messages=1000), 12, seed=20)
    for _ in range(4):
        fleet.events += [
            interface.RequestReport(number, "look", 40, 0, SECOND) for number in fleet.store if number % 12
        ]
        fleet.run(1)
    for backend in range(100, 109):  # the slices of 100 are the smallest
        fleet.change(backend, "draining")
        fleet.run(0.4 if backend == 104 else 0)
    while 100 in fleet.owners():
        fleet.run(0.05)
    assert 108 in fleet.owners()


def test_a_withdrawal_by_an_earlier_incarnation_is_lifted_at_each_proxy_in_time() -> None:
    fleet = Fleet(deployment(), 6, seed=21, ran_s=3)
    fleet.change(103, "gone")
    fleet.run(9)
    assert any(103 in proxy.out for proxy in fleet.proxies)
    fleet.crash()
    fleet.change(103, "ready", started_us=fleet.now)
    fleet.start()
    for number in range(4):
        fleet.join(number)
    fleet.run(2)
    for backend in (100, 101, 102, 104):
        fleet.change(backend, "draining")
    fleet.run(30)  # the model checks rule 1
    assert 103 in fleet.owners() and not any(103 in proxy.out for proxy in fleet.proxies)


def test_a_server_that_leaves_before_it_is_let_in_again_does_not_hold_up_others() -> None:
    fleet = Fleet(deployment(), 6, seed=21, ran_s=3)
    fleet.change(103, "gone")
    fleet.run(9)
    fleet.crash()
    fleet.change(103, "ready", started_us=fleet.now)
    fleet.start()
    fleet.change(106, "ready")
    fleet.run(0.05)
    fleet.controller.table.withdrawn_servers.resending.add(106)  # as if there had been no room for it yet
    fleet.change(106, "draining")
    for number in range(4):
        fleet.join(number)
    fleet.run(2)
    for backend in (100, 101, 102, 104):
        fleet.change(backend, "draining")
    fleet.run(30)  # the model checks rule 1
    assert 103 in fleet.owners() and not any(103 in proxy.out for proxy in fleet.proxies)


def test_a_server_that_returns_after_a_restart_of_the_controller_is_let_in_by_all_proxies() -> None:
    # Guards against a withdrawal by an earlier incarnation, of a server that the new one learns of later.
    fleet = Fleet(deployment(), 6, seed=21, ran_s=3)
    fleet.change(103, "gone")
    fleet.run(9)
    assert any(103 in proxy.out for proxy in fleet.proxies)
    absent = fleet.registry.pop(103)
    fleet.crash()
    fleet.start()
    for number in range(4):
        fleet.join(number)
    fleet.run(8)
    fleet.registry[103] = absent
    fleet.change(103, "ready", started_us=fleet.now)
    fleet.run(1)
    for backend in (100, 101, 102, 104):
        fleet.change(backend, "draining")
    fleet.run(30)  # the model checks rule 1
    assert 103 in fleet.owners() and not any(103 in proxy.out for proxy in fleet.proxies)


def test_a_server_that_returns_after_it_was_forgotten_is_let_in_by_a_proxy_that_was_away() -> None:
    fleet = Fleet(deployment(), 6, seed=22, ran_s=3)
    fleet.change(103, "gone")
    fleet.run(5)
    fleet.leave(2)
    assert 103 in fleet.proxies[2].out
    fleet.run(60)
    assert 103 not in fleet.controller.backends
    fleet.join(2)
    fleet.run(5)
    fleet.change(103, "ready", started_us=fleet.now)
    fleet.run(1)
    for backend in (100, 101, 102, 104):
        fleet.change(backend, "draining")
    fleet.run(30)  # the model checks rule 1
    assert 103 in fleet.owners() and not any(103 in proxy.out for proxy in fleet.proxies)
