"""Tests of the load that a node reports for servers of uneven speed."""

import pytest

from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import test_host_routes

ANNOUNCED = messages.ServerAnnounced(service="kitview", slots=8, connections=9)


def build_node():
    node = test_host_routes.Node()
    node.handle(ANNOUNCED)
    return node


def pass_time(node, seconds):
    node.now += seconds
    node.handle(messages.TimePassed())


def test_load_report_carries_the_latest_work_factor():
    node = build_node()
    node.handle(messages.ServerSpeedReported(work_factor=2.5))
    assert node.engine.load().work_factor == 2.5
    pass_time(node, 1.1)
    assert node.engine.load().work_factor == 1.0


def test_cold_server_is_reported_as_slow_until_it_is_warm():
    node = build_node()
    node.handle(messages.ServerCold(remaining_ms=3000))
    assert node.engine.load().work_factor == 2.0
    pass_time(node, 3.1)
    assert node.engine.load().work_factor == pytest.approx(1.0)


# Guards against a restarted server that is taken for as slow as the old one.
def test_restarted_server_has_no_work_factor():
    node = build_node()
    node.handle(messages.ServerSpeedReported(work_factor=2.5))
    node.handle(messages.ServerStopped())
    node.handle(ANNOUNCED)
    assert node.engine.load().work_factor == 1.0
