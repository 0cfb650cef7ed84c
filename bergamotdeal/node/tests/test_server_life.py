"""Starts of the backend server, told apart under delays and restarts."""

from bergamotdeal.node import server_life


def test_newer_heartbeats_count_and_older_do_not():
    life = server_life.ServerInstanceTracker()
    first = life.record_heartbeat("i-1", born=1000, sequence=4)
    assert life.record_heartbeat("i-1", born=1000, sequence=3) is None
    assert life.record_heartbeat("i-1", born=1000, sequence=5) == first


def test_start_under_the_same_id_is_another_instance():
    life = server_life.ServerInstanceTracker()
    first = life.record_heartbeat("i-1", born=1000, sequence=90)
    second = life.record_heartbeat("i-1", born=2000, sequence=1)
    assert second not in (None, first)
    assert life.record_heartbeat("i-1", born=1000, sequence=91) is None


def test_heartbeat_confirms_what_the_server_answered():
    life = server_life.ServerInstanceTracker()
    asked = life.record_health_check("i-1")
    assert life.record_heartbeat("i-1", born=1000, sequence=7) == asked
    assert life.record_health_check("i-2") is None


def test_other_server_than_the_one_that_answered():
    life = server_life.ServerInstanceTracker()
    asked = life.record_health_check("i-1")
    assert life.record_heartbeat("i-2", born=1000, sequence=1) not in (
        None,
        asked,
    )


def test_only_the_known_server_leaves():
    life = server_life.ServerInstanceTracker()
    assert life.find_instance("i-1") is None
    instance = life.record_heartbeat("i-1", born=1000, sequence=1)
    assert life.find_instance("i-1") == instance
    assert life.find_instance("i-2") is None
