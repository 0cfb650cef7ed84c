"""Load: nodes restart beside running servers, and the fleet has to learn of
the servers before any request is served."""

from bergamotdeal.calls import messages
from bergamotdeal.node import server_publisher
from bergamotdeal.telemetry import catalogue


class FakeInquiry:
    def __init__(self, *, has_health_check=True):
        self.has_health_check = has_health_check
        self.is_finished = False


class Harness:
    def __init__(self, *, service="kitview", has_health_check=True):
        self.inquiry = FakeInquiry(has_health_check=has_health_check)
        self.posted = []
        self.told = []
        self.codes = []
        self.publisher = server_publisher.ServerPublisher(
            service=service,
            inquiry=self.inquiry,
            post=self.posted.append,
            tell_fleet=self.told.append,
            emit=lambda code, **fields: self.codes.append(code),
        )

    def finish_inquiry(self):
        self.inquiry.is_finished = True
        self.publisher.finish_inquiry()


ANNOUNCED = messages.ServerAnnounced(
    service="kitview", slots=53, connections=69
)


def test_fleet_learns_of_the_server_before_the_health_check_has_ended():
    harness = Harness()
    harness.publisher.start()
    (told,) = harness.told
    assert (told.service, harness.posted) == ("kitview", [])
    # The node itself admits nothing before it knows the server's condition.
    harness.publisher.handle_event(ANNOUNCED)
    assert harness.posted == []
    harness.finish_inquiry()
    assert harness.posted == [ANNOUNCED]
    assert harness.told[-1] == ANNOUNCED
    assert harness.codes == [catalogue.EventCode.SERVER_ANNOUNCED]


def test_server_that_does_not_answer_is_withdrawn_until_it_announces_itself():
    harness = Harness()
    harness.publisher.start()
    harness.finish_inquiry()
    assert harness.told[-1] == messages.ServerStopped()
    harness.publisher.handle_event(ANNOUNCED)
    assert harness.told[-1] == ANNOUNCED


def test_leaving_server_is_withdrawn_before_the_inquiry_has_ended():
    harness = Harness()
    harness.publisher.start()
    leaving = messages.ServerLeaving(instance="i-1")
    harness.publisher.handle_event(leaving)
    assert harness.told[-1] == harness.posted[-1] == leaving


def test_nothing_is_told_in_advance_without_a_health_check_or_a_service():
    for options in ({"has_health_check": False}, {"service": ""}):
        harness = Harness(**options)
        harness.publisher.start()
        assert harness.told == []
