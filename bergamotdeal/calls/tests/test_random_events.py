"""Random events, also inconsistent ones, cause no internal failure."""

import collections
import random

import hypothesis
from hypothesis import strategies

from bergamotdeal.calls import engine
from bergamotdeal.calls import messages
from bergamotdeal.calls.tests import scenarios
from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.telemetry import catalogue
from bergamotdeal.telemetry import records

STEPS = 300
HOSTS = ("here", "there", "elsewhere")
FAILURES = list(messages.RunFailure)
OUTCOMES = list(errors.Outcome)
KINDS = [None, *errors.ErrorKind]


def make_member(host_id, rng):
    return membership.Member(
        host_id=host_id,
        incarnation=host_id.encode().hex().ljust(32, "0"),
        state=rng.choice(list(membership.MemberState)),
        data_centre="prai",
        region="default",
        address="127.0.0.1",
        peer_port=1,
        server=membership.Server(service="orderline", slots=2, connections=9),
    )


class Walk:
    """Random walk that sends events to one engine and records its effects."""

    def __init__(self, seed):
        rng = random.Random(seed)
        self.rng = rng
        self.now = 0.0
        self.preset = scenarios.make_preset(
            accepts_cancellation=rng.random() < 0.5,
            tickets=model.TicketPolicy(table_size=4, answer_bytes=10),
        )
        self.engine = engine.Engine(
            identity=make_member("here", rng),
            preset=self.preset,
            epoch=1,
            rng=random.Random(seed),
        )
        self.origin_ids = []
        self.calls = []
        self.sent = []
        self.run_ids = [0]
        self.contexts = [""]
        self.tickets = [b"", b"rubbish"]
        self.replies = collections.Counter()
        self.answers = collections.Counter()
        self.failures = []
        self.post_event(self.members())
        self.post_event(self.server_announced())

    def step(self):
        self.now += self.rng.choice((0.0, 0.001, 0.01, 0.3))
        event_factories = (
            [self.call_arrived] * 8
            + [self.peer_called] * 8
            + [self.run_answered] * 4
            + [self.peer_answered] * 4
            + [
                self.run_failed,
                self.dispatch_failed,
                self.caller_disconnected,
                self.peer_cancelled,
                self.link_closed,
                self.server_announced,
                self.members,
                self.preset_in_force,
                messages.TimePassed,
                messages.TimePassed,
            ]
        )
        rare_events = (
            messages.ServerStopped,
            messages.ServerUnresponsive,
            self.server_rate_limited,
            messages.DrainStarted,
        )
        is_rare = self.rng.random() < 0.005
        self.post_event(
            self.rng.choice(rare_events if is_rare else event_factories)()
        )

    def post_event(self, event):
        for effect in self.engine.handle(event, self.now):
            self.record_effect(effect)

    def record_effect(self, effect):
        match effect:
            case messages.ReplyToCaller():
                self.replies[effect.origin_id] += 1
                self.tickets.append(effect.answer.ticket)
            case messages.SendAnswer():
                self.answers[effect.link_id, effect.number] += 1
                self.tickets.append(effect.answer.ticket)
            case messages.SendCall():
                self.sent.append((effect.host_id, effect.call))
            case messages.StartRun():
                self.run_ids.append(effect.run_id)
                self.contexts.append(effect.context)
            case records.EventRecord():
                if effect.code is catalogue.EventCode.CALL_FAILED_INTERNALLY:
                    self.failures.append(effect.fields["trace"])

    def server_rate_limited(self):
        rate_limit = self.rng.choice((None, 0.0, 3.0, 50.0))
        return messages.ServerRateLimited(rate_limit=rate_limit)

    def request(self):
        make = self.rng.choice((scenarios.get_request, scenarios.post_request))
        service = self.rng.choice(("kitview", "nowhere"))
        return make("orderline" if self.rng.random() < 0.8 else service)

    def user_request_id(self):
        return f"r{self.rng.randrange(5)}"

    def call_arrived(self):
        self.origin_ids.append(len(self.origin_ids) + 1)
        return messages.CallArrived(
            origin_id=self.origin_ids[-1],
            face=self.rng.choice(list(messages.Face)),
            request=self.request(),
            user_request_id=self.user_request_id(),
            deadline_ms=self.rng.choice((None, 1, 5000)),
            attempt=self.rng.choice((0, 0, 1)),
            ticket=self.rng.choice(self.tickets),
            context=self.rng.choice(self.contexts),
            idempotency_key=self.rng.choice(("", "k")),
        )

    def peer_called(self):
        link_id = self.rng.randrange(3)
        if self.calls and self.rng.random() < 0.1:
            return messages.PeerCalled(
                link_id=link_id, call=self.rng.choice(self.calls)
            )
        user_request_id = self.user_request_id()
        call = rpc.Call(
            number=len(self.calls) + 1,
            user_request_id=user_request_id,
            call_id=user_request_id,
            request=self.request(),
            deadline_ms=self.rng.choice((0, 50, 5000, 60_000)),
            may_have_run=self.rng.random() < 0.2,
            tokens=self.rng.randrange(4),
            ticket=self.rng.choice(self.tickets),
            class_name=self.rng.choice(("", "critical", "unheard-of")),
            depth=self.rng.randrange(40),
            needs_ticket=self.rng.random() < 0.2,
            only_repeatable=self.rng.random() < 0.2,
        )
        self.calls.append(call)
        return messages.PeerCalled(link_id=link_id, call=call)

    def run_answered(self):
        return messages.RunAnswered(
            run_id=self.rng.choice(self.run_ids),
            status=self.rng.choice((200, 503)),
            headers=[],
            body=b"12345",
        )

    def run_failed(self):
        return messages.RunFailed(
            run_id=self.rng.choice(self.run_ids),
            failure=self.rng.choice(FAILURES),
        )

    def peer_answered(self):
        if not self.sent:
            return messages.TimePassed()
        host_id, call = self.rng.choice(self.sent)
        answer = rpc.Answer(
            outcome=self.rng.choice(OUTCOMES),
            error=self.rng.choice(KINDS),
            ticket=self.rng.choice(self.tickets),
            tokens_left=self.rng.randrange(5),
            repeatable=self.rng.random() < 0.5,
            threshold=self.rng.random(),
        )
        return messages.PeerAnswered(
            host_id=host_id,
            number=call.number,
            user_request_id=call.user_request_id,
            answer=answer,
        )

    def dispatch_failed(self):
        if not self.sent:
            return messages.TimePassed()
        _, call = self.rng.choice(self.sent)
        return messages.DispatchFailed(
            number=call.number, may_have_been_sent=self.rng.random() < 0.5
        )

    def caller_disconnected(self):
        return messages.CallerDisconnected(origin_id=self.rng.randrange(50))

    def peer_cancelled(self):
        return messages.PeerCancelled(
            link_id=self.rng.randrange(3), number=self.rng.randrange(50)
        )

    def link_closed(self):
        return messages.PeerLinkClosed(link_id=self.rng.randrange(3))

    def server_announced(self):
        return messages.ServerAnnounced(
            service="kitview" if self.rng.random() < 0.1 else "orderline",
            slots=self.rng.choice((0, 1, 2, 3, 3, 3)),
            connections=9,
        )

    def members(self):
        return messages.MembersChanged(
            members_by_id={
                host_id: make_member(host_id, self.rng) for host_id in HOSTS
            }
        )

    def preset_in_force(self):
        return messages.PresetInForce(
            epoch=self.rng.randrange(10),
            preset=self.rng.choice((self.preset, model.Preset(name="strict"))),
        )


@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 2**32))
def test_exchange_under_random_events_is_answered_exactly_once(seed):
    walk = Walk(seed)
    for _ in range(STEPS):
        walk.step()
    for _ in range(50):
        walk.now += 1000.0
        walk.post_event(messages.TimePassed())
    assert walk.failures == []
    assert set(walk.replies) == set(walk.origin_ids)
    assert set(walk.replies.values()) <= {1}
    assert walk.engine.is_idle()
