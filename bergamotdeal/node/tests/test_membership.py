"""Membership task with a simulated clock and no network."""

import random

from twisted.internet import task

from bergamotdeal.calls import messages
from bergamotdeal.membership import core
from bergamotdeal.node import membership
from bergamotdeal.settings import model as settings

OWN = "host-1"


class SilentPort:
    """UDP port that sends and receives nothing."""

    def getHost(self):
        return self

    port = 7000

    def write(self, data, address):
        """Drops a datagram."""


class Reactor(task.Clock):
    """Simulated clock with UDP ports."""

    def listenUDP(self, *args, **kwargs):
        return SilentPort()


# Guards against a status that lists a server before the call engine knows it:
# tests and operators that waited for the server got 404 for the next request.
def test_routed_members_are_those_that_the_call_engine_has():
    reactor = Reactor()
    posted = []
    membership_task = membership.MembershipTask(
        settings=settings.Settings(
            node=settings.NodeSection(host_id=OWN, data_centre="prai"),
            peer=settings.PeerSection(key="k" * 32),
        ),
        incarnation="1",
        reactor=reactor,
        post=posted.append,
        rng=random.Random(1),
        clock=reactor.seconds,
        wall_clock=reactor.seconds,
    )
    membership_task.start(peer_port=7000)
    membership_task.deliver(
        messages.ServerAnnounced(service="kitview", slots=5, connections=10)
    )
    server = core.Server(service="kitview", slots=5, connections=10)
    assert membership_task.members_by_id()[OWN].server == server
    assert membership_task.routed_by_id()[OWN].server is None
    assert membership_task.routed_by_id() == posted[-1].members_by_id
    reactor.advance(1.0)
    assert membership_task.routed_by_id()[OWN].server == server
    assert membership_task.routed_by_id() == posted[-1].members_by_id
