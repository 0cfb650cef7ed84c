"""Start of a whole fleet, and of one node in it: reads of the store.

The store's calls are priced, so they must not grow with the number of nodes.
"""

import random

import pytest

from bergamotdeal.presets import follower
from bergamotdeal.presets import messages as preset_messages
from bergamotdeal.presets.tests import test_follower

STEP_S = 0.05
RUMOUR_S = 0.5
"""Time in which an epoch that one node reads reaches the others by gossip."""


class StartingFleet:
    """Followers that start together and tell one another their epochs."""

    def __init__(self, size):
        self.host_ids = [f"host-{i}" for i in range(size)]
        members_by_id = test_follower.make_members(*self.host_ids)
        self.reads = 0
        self.advertised_at = None
        self.followers_by_id = {}
        for number, host_id in enumerate(self.host_ids):
            node = follower.Follower(
                host_id=host_id,
                data_centre="odori",
                has_store=True,
                rng=random.Random(number),
                now=0.0,
            )
            event = preset_messages.MembershipUpdated(
                members_by_id=members_by_id
            )
            node.handle(event, 0.1)
            self.followers_by_id[host_id] = node

    def run(self, seconds):
        for step in range(1, round(seconds / STEP_S)):
            now = step * STEP_S
            for node in self.followers_by_id.values():
                if node.epoch == follower.NO_EPOCH:
                    self._advance(node, now)

    def _advance(self, node, now):
        is_told = (
            self.advertised_at is not None
            and now >= self.advertised_at + RUMOUR_S
        )
        if is_told:
            test_follower.push(node, 7, now)
            return
        effects = node.handle(preset_messages.TimePassed(), now)
        if test_follower.filter_effects(effects, preset_messages.ReadStore):
            self.reads += 1
            document = test_follower.make_document(7)
            node.handle(preset_messages.StoreRead(document=document), now)
            if self.advertised_at is None:
                self.advertised_at = now


@pytest.mark.parametrize("size", [14, 81, 196, 1300])
def test_few_nodes_of_a_starting_fleet_read_the_store(size):
    fleet = StartingFleet(size)
    fleet.run(2.0)
    assert all(node.epoch == 7 for node in fleet.followers_by_id.values())
    assert 1 <= fleet.reads <= 3 * follower.EARLY_READERS


def test_single_node_reads_the_store_without_waiting_for_others():
    fleet = StartingFleet(1)
    fleet.run(1.0)
    assert fleet.reads == 1
