from bergamotdeal.calls import core
from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from standins import fleet
from standins import fleet_model

SERVICES = ("kitview", "feederdesk", "stencilhub", "orderline")


def preset_of(**kwargs):
    return model.Preset(
        name="ordinary",
        routes=tuple(
            model.Route(
                service=service,
                method="GET",
                prefix="/",
                class_name=model.BROWSE,
                repeatable=True,
            )
            for service in SERVICES
        ),
        **kwargs,
    )


def get(service):
    return core.Request(
        service=service, method="GET", path="/x", headers=[], body=b""
    )


def calling(service):
    def program(_start):
        yield fleet_model.Work(seconds=0.001)
        (reply,) = yield fleet_model.Invoke(requests=[get(service)])
        if reply.outcome is not errors.Outcome.COMPLETED:
            return fleet_model.Response(status=502, body=b"")
        return fleet_model.Response(
            body=b"%s+" % service.encode() + reply.answer.body
        )

    return program


def make_chain():
    made = fleet.Fleet(preset=preset_of())
    for service, below in zip(SERVICES, (*SERVICES[1:], ""), strict=True):
        program = calling(below) if below else fleet_model.answer_at_once
        made.add_node(service, service=service, program=program)
    return made


def test_a_call_goes_down_four_services_and_back():
    chain = make_chain()
    reply = chain.call("kitview", get("kitview"), user_request_id="r1")
    chain.run_until(lambda: reply.done)
    assert reply.answer.body == b"feederdesk+stencilhub+orderline+ok"
    assert reply.outcome is errors.Outcome.COMPLETED
    assert len(chain.runs_of("r1")) == 4
    chain.run_for(10)
    assert all(node.engine.idle() for node in chain.nodes_by_id.values())


def test_a_caller_that_hangs_up_cancels_the_whole_chain():
    chain = make_chain()

    def slow(_start):
        yield fleet_model.Work(seconds=3)
        return fleet_model.Response()

    chain.nodes_by_id["orderline"].program = slow
    reply = chain.call("kitview", get("kitview"), user_request_id="r1")
    chain.run_until(lambda: len(chain.runs_of("r1")) == 4)
    chain.hang_up(reply)
    chain.run_for(0.1)
    assert all(node.engine.idle() for node in chain.nodes_by_id.values())
    assert all(run.stopped for run in chain.runs_of("r1"))


def test_a_lost_server_is_replaced_within_the_allowance():
    chain = make_chain()
    chain.add_node("orderline-2", service="orderline")
    chain.kill_server("orderline")
    reply = chain.call("kitview", get("kitview"), user_request_id="r1")
    chain.run_until(lambda: reply.done)
    assert reply.outcome is errors.Outcome.COMPLETED
