from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue

Code = catalogue.EventCode
GET = scenarios.get_request("orderline")


def _codes_by_request(sim):
    codes_by_request = {}
    for _, _, record in sim.event_records:
        codes = codes_by_request.setdefault(record.user_request_id, [])
        codes.append(record.code)
    return codes_by_request


def test_call_waiting_for_slot_is_recorded():
    sim = scenarios.make_pool(
        scenarios.make_preset(),
        count=1,
        slots=1,
        program=scenarios.work_program(0.01),
    )
    replies = [
        sim.call("entry-1", GET, user_request_id=f"r{number}")
        for number in range(2)
    ]
    sim.run_until(lambda: all(reply.done for reply in replies))
    codes_by_request = _codes_by_request(sim)
    queued = [
        request
        for request, codes in codes_by_request.items()
        if Code.CALL_QUEUED in codes
    ]
    assert len(queued) == 1
    codes = codes_by_request[queued[0]]
    assert codes.index(Code.CALL_QUEUED) < codes.index(Code.RUN_STARTED)


def test_quarantined_request_is_recorded():
    sim = scenarios.make_pool(
        scenarios.make_preset(), program=scenarios.work_program(1.0)
    )
    killer = sim.call("entry-1", GET, user_request_id="killer")
    for _ in range(2):
        sim.run_for(0.05)
        host_id = sim.runs_of("killer")[-1].host_id
        sim.kill_server(host_id)
        sim.start_server(host_id)
    sim.run_until(lambda: killer.done)
    reply = sim.call("entry-2", GET, user_request_id="next")
    sim.run_until(lambda: reply.done)
    assert reply.error is errors.ErrorKind.QUARANTINED
    assert Code.REQUEST_QUARANTINED in _codes_by_request(sim)["next"]


def test_outlier_is_recorded():
    sim = scenarios.make_pool(
        scenarios.make_preset(), count=3, program=scenarios.work_program(0.01)
    )
    sim.add_node(
        "orderline-slow",
        service="orderline",
        program=scenarios.work_program(0.5),
    )
    sim.publish_members()
    for number in range(150):
        sim.call("entry-1", GET, user_request_id=f"r{number}")
        sim.run_for(0.1)
    found = {
        record.fields["host"]
        for _, _, record in sim.event_records
        if record.code is Code.OUTLIER_FOUND
    }
    assert found == {"orderline-slow"}
