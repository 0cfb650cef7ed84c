from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.tickets import core as tickets

KINDS = errors.ErrorKind
NOT_RUN = errors.Outcome.NOT_RUN
UNKNOWN = errors.Outcome.UNKNOWN
COMPLETED = errors.Outcome.COMPLETED
POST = scenarios.post_request("orderline")


def find_issuer(ticket):
    return tickets.decode(ticket).ok_value.host_id


def make_pool(**kwargs):
    policy = kwargs.pop("tickets", model.TicketPolicy())
    return scenarios.make_pool(scenarios.make_preset(tickets=policy), **kwargs)


def present_ticket(
    sim, ticket, *, host_id="entry-1", request=POST, name="r", **kwargs
):
    return sim.call(
        host_id, request, user_request_id=name, ticket=ticket, **kwargs
    )


def test_first_attempt_gets_ticket_and_does_not_run():
    pool = make_pool()
    reply = pool.call("entry-1", POST, user_request_id="r")
    pool.run_until(lambda: reply.done)
    assert (reply.outcome, reply.answer.status) == (NOT_RUN, 428)
    assert pool.runs_of("r") == []


def test_attempt_without_ticket_gets_same_ticket_again():
    pool = make_pool()
    first = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    second = scenarios.fetch_ticket(pool, "entry-2", POST, "r", attempt=1)
    assert second == first


def test_ticket_presented_at_two_entries_runs_once_and_answers_both():
    pool = make_pool(program=scenarios.work_program(0.1))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    replies = [
        present_ticket(pool, ticket),
        present_ticket(pool, ticket, host_id="entry-2"),
    ]
    pool.run_until(lambda: all(reply.done for reply in replies))
    assert [reply.outcome for reply in replies] == [COMPLETED] * 2
    assert replies[0].answer.body == replies[1].answer.body
    scenarios.find_only_run(pool, "r")


def test_used_ticket_replays_answer():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    for attempt in range(3):
        reply = present_ticket(pool, ticket, attempt=attempt)
        pool.run_until(lambda reply=reply: reply.done)
        assert (reply.outcome, reply.answer.body) == (COMPLETED, b"ok")
    scenarios.find_only_run(pool, "r")


def test_attempt_without_ticket_after_run_is_unknown():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    again = pool.call("entry-2", POST, user_request_id="r")
    pool.run_until(lambda: again.done)
    assert (again.error, again.outcome) == (KINDS.TICKET_REQUIRED, UNKNOWN)
    assert again.answer.ticket == ticket


def test_answer_over_size_limit_is_gone_and_request_not_rerun():
    pool = make_pool(tickets=model.TicketPolicy(answer_bytes=1))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: first.done)
    again = present_ticket(pool, ticket)
    pool.run_until(lambda: again.done)
    assert (again.error, again.outcome) == (KINDS.ANSWER_GONE, UNKNOWN)
    scenarios.find_only_run(pool, "r")


def test_used_ticket_with_other_content_is_refused():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: first.done)
    other = present_ticket(
        pool, ticket, request=scenarios.post_request("orderline", b"other")
    )
    pool.run_until(lambda: other.done)
    assert other.error is KINDS.TICKET_MISMATCH
    scenarios.find_only_run(pool, "r")


def test_expired_ticket_is_refused_without_run():
    pool = make_pool(tickets=model.TicketPolicy(lifetime_ms=1000))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    pool.run_for(1.1)
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.TICKET_EXPIRED, UNKNOWN)
    assert pool.runs_of("r") == []


def test_table_full_of_used_tickets_issues_none_and_replays_all():
    pool = make_pool(tickets=model.TicketPolicy(table_size=2), count=1)
    used = []
    for name in ("r", "r2"):
        ticket = scenarios.fetch_ticket(pool, "entry-1", POST, name)
        used.append((name, ticket))
        reply = present_ticket(pool, ticket, name=name)
        pool.run_until(lambda reply=reply: reply.done)
    refused = pool.call("entry-1", POST, user_request_id="r3")
    pool.run_until(lambda: refused.done)
    assert (refused.error, refused.outcome) == (
        KINDS.TICKET_TABLE_FULL,
        NOT_RUN,
    )
    for name, ticket in used:
        reply = present_ticket(pool, ticket, name=name)
        pool.run_until(lambda reply=reply: reply.done)
        assert reply.outcome is COMPLETED
        scenarios.find_only_run(pool, name)


def test_flood_of_unused_tickets_does_not_evict_used_ones():
    pool = make_pool(tickets=model.TicketPolicy(table_size=2), count=1)
    first_ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    for number in range(20):
        scenarios.fetch_ticket(pool, "entry-1", POST, f"flood-{number}")
    for _ in range(2):
        reply = present_ticket(pool, first_ticket)
        pool.run_until(lambda reply=reply: reply.done)
        assert reply.outcome is COMPLETED
    scenarios.find_only_run(pool, "r")


def test_unused_ticket_without_table_space_is_unknown():
    pool = make_pool(tickets=model.TicketPolicy(table_size=1), count=1)
    first_ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    other = scenarios.fetch_ticket(pool, "entry-1", POST, "r2")
    reply = present_ticket(pool, other, name="r2")
    pool.run_until(lambda: reply.done)
    refused = present_ticket(pool, first_ticket)
    pool.run_until(lambda: refused.done)
    assert (refused.error, refused.outcome) == (
        KINDS.TICKET_TABLE_FULL,
        UNKNOWN,
    )
    assert pool.runs_of("r") == []


def test_forged_ticket_is_refused():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    reply = present_ticket(pool, ticket[:-1] + bytes([ticket[-1] ^ 1]))
    pool.run_until(lambda: reply.done)
    assert reply.error is KINDS.TICKET_INVALID
    assert pool.runs_of("r") == []


def test_restarted_node_refuses_earlier_ticket():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    host_id = find_issuer(ticket)
    pool.kill_node(host_id)
    pool.start_node(host_id)
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.TICKET_LOST, UNKNOWN)
    assert pool.runs_of("r") == []


def test_entry_with_stale_view_does_not_run_earlier_ticket():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    host_id = find_issuer(ticket)
    old_member = pool.nodes_by_id[host_id].member
    pool.kill_node(host_id)
    pool.start_node(host_id)
    view = {k: v.member for k, v in pool.nodes_by_id.items()}
    view[host_id] = old_member
    pool.send_event("entry-1", messages.MembersChanged(members_by_id=view))
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.TICKET_LOST, UNKNOWN)
    assert pool.runs_of("r") == []


def test_node_killed_during_run_gives_unknown_and_no_rerun():
    pool = make_pool(program=scenarios.work_program(0.5))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    host_id = find_issuer(ticket)
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: pool.runs_of("r"))
    pool.kill_node(host_id)
    pool.run_until(lambda: first.done)
    assert first.outcome is UNKNOWN
    for attempt, entry in enumerate(("entry-2", "entry-1"), start=1):
        again = present_ticket(pool, ticket, host_id=entry, attempt=attempt)
        pool.run_until(lambda again=again: again.done)
        assert again.outcome is UNKNOWN
    pool.start_node(host_id)
    again = present_ticket(pool, ticket, attempt=3)
    pool.run_until(lambda: again.done)
    assert (again.error, again.outcome) == (KINDS.TICKET_LOST, UNKNOWN)
    scenarios.find_only_run(pool, "r")


def test_retry_after_lost_link_joins_or_replays():
    pool = make_pool(program=scenarios.work_program(0.5))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: pool.runs_of("r"))
    pool.links.reset("entry-1", find_issuer(ticket))
    pool.run_until(lambda: first.done)
    assert first.outcome is UNKNOWN
    second = present_ticket(pool, ticket, attempt=1)
    pool.run_until(lambda: second.done)
    assert (second.outcome, second.answer.body) == (COMPLETED, b"ok")
    scenarios.find_only_run(pool, "r")


def fill_server(sim, host_id):
    """Fills the only slot and the queue of a server with critical requests."""
    node = sim.nodes_by_id[host_id]
    service = node.member.server.service
    for number in range(4):
        call = rpc.Call(
            number=1000 + number,
            user_request_id=f"filler-{number}",
            call_id=f"filler-{number}",
            request=scenarios.get_request(service),
            deadline_ms=60_000,
            class_name=model.CRITICAL,
        )
        sim.send_event(host_id, messages.PeerCalled(link_id=77, call=call))


def make_full_pool():
    """Makes a pool whose only server is full, and a ticket for it."""
    pool = make_pool(count=1, slots=1, program=scenarios.work_program(5))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    fill_server(pool, "orderline-1")
    return pool, ticket


def test_refused_ticket_is_burnt_before_delayed_copy_arrives():
    pool, ticket = make_full_pool()
    pool.links.deliver = lambda frame: (
        [30.0] if frame.source == "entry-2" else [0.0005]
    )
    copy = present_ticket(pool, ticket, host_id="entry-2", deadline_ms=60_000)
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: first.done)
    assert (first.error, first.outcome) == (KINDS.SHED, NOT_RUN)
    pool.run_until(lambda: copy.done)
    assert (copy.error, copy.outcome) == (KINDS.TICKET_BURNT, NOT_RUN)
    assert pool.runs_of("r") == []


def test_shed_retry_after_first_attempt_ran_is_unknown():
    pool = make_pool(
        count=1,
        slots=1,
        program=scenarios.work_program(0.01),
        tickets=model.TicketPolicy(answer_bytes=0),
    )
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    pool.links.deliver = lambda frame: (
        [] if isinstance(frame.content, messages.SendAnswer) else [0.0005]
    )
    first = present_ticket(pool, ticket, deadline_ms=100)
    pool.run_until(lambda: first.done)
    assert first.outcome is UNKNOWN
    pool.links.deliver = lambda frame: [0.0005]
    pool.nodes_by_id["orderline-1"].program = scenarios.work_program(5)
    fill_server(pool, "orderline-1")
    for kwargs in ({"ticket": ticket}, {"ticket": ticket, "attempt": 1}, {}):
        again = pool.call("entry-2", POST, user_request_id="r", **kwargs)
        pool.run_until(lambda again=again: again.done)
        assert again.outcome is UNKNOWN, again.error
    scenarios.find_only_run(pool, "r")


def test_shed_retry_of_repeatable_request_is_unknown():
    pool = make_pool(count=1, slots=1, program=scenarios.work_program(5))
    fill_server(pool, "orderline-1")
    for attempt, outcome in ((0, NOT_RUN), (1, UNKNOWN)):
        reply = pool.call(
            "entry-1",
            scenarios.get_request("orderline"),
            user_request_id="r",
            attempt=attempt,
        )
        pool.run_until(lambda reply=reply: reply.done)
        assert (reply.error, reply.outcome) == (KINDS.SHED, outcome)


def test_draining_node_joins_and_replays_ticket_in_flight():
    pool = make_pool(count=2, program=scenarios.work_program(0.5))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    unused = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    assert unused == ticket
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: pool.runs_of("r"))
    pool.drain(find_issuer(ticket))
    joined = present_ticket(pool, ticket, host_id="entry-2", attempt=1)
    pool.run_until(lambda: first.done and joined.done)
    assert first.outcome is joined.outcome is COMPLETED
    replayed = present_ticket(pool, ticket, attempt=2)
    pool.run_until(lambda: replayed.done)
    assert replayed.outcome is COMPLETED
    pool.run_for(10)
    assert pool.nodes_by_id[find_issuer(ticket)].engine.is_idle()


def test_draining_node_burns_unused_ticket():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    pool.drain(find_issuer(ticket))
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert (reply.error, reply.outcome) == (KINDS.DRAINING, NOT_RUN)
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert reply.error is KINDS.TICKET_BURNT
    assert pool.runs_of("r") == []


def test_caller_disconnect_does_not_stop_run_under_ticket():
    pool = make_pool(program=scenarios.work_program(0.5))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket)
    pool.run_until(lambda: pool.runs_of("r"))
    pool.disconnect_caller(first)
    again = present_ticket(pool, ticket, attempt=1)
    pool.run_until(lambda: again.done)
    assert again.outcome is COMPLETED
    scenarios.find_only_run(pool, "r")


def test_answer_after_deadline_is_replayed():
    pool = make_pool(program=scenarios.work_program(3))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket, deadline_ms=500)
    pool.run_until(lambda: first.done)
    assert (first.error, first.outcome) == (KINDS.DEADLINE_EXCEEDED, UNKNOWN)
    again = present_ticket(pool, ticket, attempt=1)
    pool.run_until(lambda: again.done)
    assert (again.outcome, again.answer.body) == (COMPLETED, b"ok")
    scenarios.find_only_run(pool, "r")


def test_endless_run_under_ticket_frees_slot():
    pool = make_pool(count=1, slots=1, program=scenarios.work_program(600))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    first = present_ticket(pool, ticket, deadline_ms=500)
    pool.run_until(lambda: first.done)
    pool.run_for(6)
    assert pool.nodes_by_id["orderline-1"].engine.is_idle()
    again = present_ticket(pool, ticket, attempt=1)
    pool.run_until(lambda: again.done)
    assert again.outcome is UNKNOWN
    scenarios.find_only_run(pool, "r")


def test_joined_call_takes_over_when_first_caller_leaves_queue():
    pool = make_pool(count=1, slots=1, program=scenarios.work_program(0.2))
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    busy = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="b"
    )
    pool.run_until(lambda: pool.runs_of("b"))
    first = present_ticket(pool, ticket)
    second = present_ticket(pool, ticket, host_id="entry-2")
    pool.run_for(0.05)
    assert pool.runs_of("r") == []
    pool.disconnect_caller(first)
    pool.run_until(lambda: second.done)
    assert busy.outcome is second.outcome is COMPLETED
    scenarios.find_only_run(pool, "r")


def test_node_with_old_preset_runs_nothing_without_ticket():
    repeatable = scenarios.make_preset()
    strict = model.Preset(name="strict")
    pool = scenarios.make_pool(repeatable, count=1)
    pool.switch_preset(strict, to=["entry-1"])
    request = scenarios.get_request("orderline")
    scenarios.fetch_ticket(pool, "entry-1", request, "r")
    assert pool.runs_of("r") == []


def test_entry_with_newer_preset_uses_ticket_for_caller():
    pool = scenarios.make_pool(model.Preset(name="strict"), count=1)
    pool.switch_preset(scenarios.make_preset(), to=["entry-1"])
    reply = pool.call(
        "entry-1", scenarios.get_request("orderline"), user_request_id="r"
    )
    pool.run_until(lambda: reply.done)
    assert reply.outcome is COMPLETED
    scenarios.find_only_run(pool, "r")


def test_ticket_of_suspect_host_still_runs():
    pool = make_pool()
    ticket = scenarios.fetch_ticket(pool, "entry-1", POST, "r")
    pool.set_state(find_issuer(ticket), membership.MemberState.SUSPECT)
    reply = present_ticket(pool, ticket)
    pool.run_until(lambda: reply.done)
    assert reply.outcome is COMPLETED
