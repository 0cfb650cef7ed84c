"""Tests of the decision for which requests a node has memory."""

import pytest

from bergamotdeal.calls import messages
from bergamotdeal.memory import core as memory
from bergamotdeal.node import body_admission
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue

CAPACITY_BYTES = 1000


class Engine:
    """Call engine that knows the classes of requests by their ids."""

    class_count = 2

    def get_arrival_rank(self, event):
        return {"critical": 0, "browse": 1, "unknown": 2}[event.user_request_id]

    def get_call_rank(self, call):
        return self.get_arrival_rank(call)


class Harness:
    def __init__(self, held_bytes):
        self.records = []
        body_memory = memory.BodyMemory(capacity_bytes=CAPACITY_BYTES)
        body_memory.add_holder(lambda: held_bytes)
        self.admission = body_admission.BodyAdmission(
            body_memory=body_memory,
            buffers=None,
            engine=Engine(),
            record=self.records.append,
        )

    def admits_request(self, name, size):
        return self.admission.has_room_for_request(size, build_arrival(name))

    def admits_call(self, name, size):
        call = rpc.Call(
            number=1,
            user_request_id=name,
            call_id=name,
            request=build_arrival(name, size).request,
            deadline_ms=1000,
        )
        return self.admission.has_room_for_call(call)


def build_arrival(name, size=0):
    return messages.CallArrived(
        origin_id=1,
        face=messages.Face.ENTRY,
        request=rpc.Request(
            service="kitview",
            method="POST",
            path="/",
            headers=[],
            body=b"x" * size,
        ),
        user_request_id=name,
    )


# Guards against important requests that are refused while memory is taken by
# others.
@pytest.mark.parametrize(
    ("held_bytes", "admitted"),
    [
        (400, {"critical", "browse", "unknown"}),
        (600, {"critical", "browse"}),
        (800, {"critical"}),
        (950, set()),
    ],
)
def test_classes_are_refused_in_the_order_of_their_importance(
    held_bytes, admitted
):
    harness = Harness(held_bytes)
    names = ("critical", "browse", "unknown")
    for admits in (harness.admits_request, harness.admits_call):
        assert {name for name in names if admits(name, 100)} == admitted
    refused = 2 * (len(names) - len(admitted))
    assert len(harness.records) == refused
    for record in harness.records:
        assert record.code is catalogue.EventCode.BODY_REFUSED
        assert record.fields["used"] == held_bytes


def test_malformed_request_has_no_class():
    assert Harness(400).admission.has_room_for_request(100, None)
    assert not Harness(600).admission.has_room_for_request(100, None)
