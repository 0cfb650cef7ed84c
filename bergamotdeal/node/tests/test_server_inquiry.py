"""Tests of the health check of the backend server at a node's start."""

import pytest
from twisted.internet import defer

from bergamotdeal.node import environment
from bergamotdeal.node import server_inquiry
from bergamotdeal.node import server_life
from bergamotdeal.presets import model


def build_preset(health_path):
    policy = model.ServicePolicy(health_path=health_path)
    return model.Preset(name="p", services_by_name={"kitview": policy})


class Harness:
    def __init__(self, *, has_probe=True):
        self.paths = []
        self.answer = defer.Deferred()
        self.reports = []
        self.inquiry = server_inquiry.ServerInquiry(
            platform_hooks=environment.PlatformHooks(
                probe_server=self.probe_server if has_probe else None
            ),
            reactor=None,
            service="kitview",
            instance_tracker=server_life.ServerInstanceTracker(),
            on_finished=self.reports.append,
        )

    def probe_server(self, reactor, path, instance_tracker):
        self.paths.append(path)
        return self.answer


# Guards against a node that publishes its server on a heartbeat's word before
# the server could say that it leaves or accepts few requests.
def test_server_is_not_published_before_its_answer():
    harness = Harness()
    harness.inquiry.start(build_preset("/health"))
    assert harness.paths == ["/health"]
    assert not harness.inquiry.is_finished
    harness.answer.callback("report")
    assert harness.inquiry.is_finished
    assert harness.reports == ["report"]


@pytest.mark.parametrize(
    ("has_probe", "preset"),
    [
        (False, build_preset("/health")),
        (True, build_preset("")),
        (True, model.Preset(name="p")),
    ],
)
def test_inquiry_without_a_health_check_ends_at_once(has_probe, preset):
    harness = Harness(has_probe=has_probe)
    harness.inquiry.start(preset)
    assert harness.inquiry.is_finished
    assert (harness.paths, harness.reports) == ([], [None])
