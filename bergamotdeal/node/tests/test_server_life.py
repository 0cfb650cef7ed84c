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
