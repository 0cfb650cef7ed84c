"""Tests of the instance tracker under delayed heartbeats and restarts."""

from bergamotdeal.node import server_life


def test_outdated_heartbeat_of_an_instance_is_ignored():
    tracker = server_life.ServerInstanceTracker()
    first = tracker.record_heartbeat("i-1", born=1000, sequence=4)
    assert tracker.record_heartbeat("i-1", born=1000, sequence=3) is None
    assert tracker.record_heartbeat("i-1", born=1000, sequence=5) == first


def test_restart_under_the_same_id_is_a_new_instance():
    tracker = server_life.ServerInstanceTracker()
    first = tracker.record_heartbeat("i-1", born=1000, sequence=90)
    second = tracker.record_heartbeat("i-1", born=2000, sequence=1)
    assert second not in (None, first)
    assert tracker.record_heartbeat("i-1", born=1000, sequence=91) is None


def test_heartbeat_after_health_check_keeps_the_instance():
    tracker = server_life.ServerInstanceTracker()
    checked = tracker.record_health_check("i-1")
    assert tracker.record_heartbeat("i-1", born=1000, sequence=7) == checked
    assert tracker.record_health_check("i-2") is None


def test_heartbeat_of_another_server_is_a_new_instance():
    tracker = server_life.ServerInstanceTracker()
    checked = tracker.record_health_check("i-1")
    assert tracker.record_heartbeat("i-2", born=1000, sequence=1) not in (
        None,
        checked,
    )


def test_find_instance_knows_only_the_tracked_server():
    tracker = server_life.ServerInstanceTracker()
    assert tracker.find_instance("i-1") is None
    instance = tracker.record_heartbeat("i-1", born=1000, sequence=1)
    assert tracker.find_instance("i-1") == instance
    assert tracker.find_instance("i-2") is None


# Guards against a heartbeat of another writer that makes those of the host's
# own server count as outdated.
def test_unconfirmed_instance_does_not_affect_the_confirmed_one():
    tracker = server_life.ServerInstanceTracker()
    own = tracker.record_heartbeat("i-1", born=1000, sequence=1)
    tracker.confirm(own)
    foreign = tracker.record_heartbeat("i-2", born=9000, sequence=1)
    assert tracker.is_confirmed(own)
    assert tracker.record_heartbeat("i-1", born=1000, sequence=2) == own
    tracker.confirm(foreign)
    assert tracker.record_heartbeat("i-1", born=1000, sequence=3) is None


def test_candidates_are_bounded():
    tracker = server_life.ServerInstanceTracker()
    for number in range(3 * server_life.MAX_CANDIDATES):
        tracker.record_heartbeat(f"i-{number}", born=1, sequence=1)
    assert tracker.find_instance("i-0") is None


def test_departure_names_the_start_that_leaves():
    tracker = server_life.ServerInstanceTracker()
    assert tracker.record_departure("i-1") is None
    earlier = tracker.record_departure("i-1", born=1000)
    current = tracker.record_heartbeat("i-1", born=2000, sequence=1)
    tracker.confirm(current)
    assert tracker.has_departed(earlier)
    assert not tracker.has_departed(current)
    assert tracker.record_departure("i-1") == current
    assert tracker.has_departed(current)


# Guards against a server that restarts under its id and never gets work, since
# the health check of its earlier start did not tell when that began.
def test_start_after_a_departure_without_start_time_is_a_new_instance():
    tracker = server_life.ServerInstanceTracker()
    checked = tracker.record_health_check("i-1")
    assert tracker.record_departure("i-1") == checked
    started = tracker.record_heartbeat("i-1", born=2000, sequence=1)
    assert started not in (None, checked)
    assert not tracker.has_departed(started)


# Guards against a server that falls silent for a while and whose runs then
# count as those of a server that has crashed.
def test_instance_that_was_silent_keeps_its_name():
    tracker = server_life.ServerInstanceTracker()
    checked = tracker.record_health_check("i-1")
    tracker.record_heartbeat("i-1", born=1000, sequence=1)
    tracker.forget_confirmed()
    assert tracker.record_heartbeat("i-1", born=1000, sequence=9) == checked
    assert tracker.record_heartbeat("i-1", born=2000, sequence=1) != checked


def test_departure_of_a_later_start_ends_the_confirmed_one():
    """Guards against a delayed heartbeat of an earlier start.

    After a restart of the node it gives its start time to the server that the
    health check found, whose departure then names an unknown start.
    """
    tracker = server_life.ServerInstanceTracker()
    checked = tracker.record_health_check("i-1")
    assert tracker.record_heartbeat("i-1", born=1000, sequence=90) == checked
    assert tracker.record_departure("i-1", born=2000) == checked
    assert tracker.has_departed(checked)
    late = tracker.record_heartbeat("i-1", born=2000, sequence=9)
    assert tracker.has_departed(late)
    later = tracker.record_heartbeat("i-1", born=3000, sequence=1)
    assert not tracker.has_departed(later)


def test_departure_of_an_earlier_start_leaves_the_confirmed_one():
    tracker = server_life.ServerInstanceTracker()
    current = tracker.record_heartbeat("i-1", born=2000, sequence=1)
    tracker.confirm(current)
    assert tracker.record_departure("i-1", born=1000) != current
    assert not tracker.has_departed(current)
