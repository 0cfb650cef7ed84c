"""A restore of the store, of which a few nodes notice and gossip tells."""

import pytest

from bergamotdeal.membership import messages
from standins import gossip_fleet as fleets

KNOWN_EVERYWHERE_S = 2.0


def list_told_eras(fleet, host_id):
    return [
        effect.era
        for effect in fleet.effects_by_id[host_id]
        if isinstance(effect, messages.StoreEraAdvertised)
    ]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_era_reaches_forty_nodes_in_four_data_centres(seed):
    fleet = fleets.Fleet(
        seed=seed,
        size=40,
        data_centres=("odori", "kotoni", "makomanai", "teine"),
    )
    fleet.run_until(fleet.is_converged, within_s=10)
    fleet.run(20)
    fleet.send_event("host-3", messages.StoreEraChanged(era=4))
    others = [host for host in fleet.cores_by_id if host != "host-3"]
    fleet.run_until(
        lambda: all(list_told_eras(fleet, host) for host in others),
        within_s=KNOWN_EVERYWHERE_S,
    )
    # Nobody is told twice, nor by a node that had been cut off meanwhile.
    fleet.send_event("host-7", messages.StoreEraChanged(era=3))
    fleet.run(10)
    assert all(list_told_eras(fleet, host) == [4] for host in others)


def test_two_restores_in_a_row_end_at_the_later_era():
    fleet = fleets.Fleet(seed=1, size=12)
    fleet.run_until(fleet.is_converged, within_s=10)
    fleet.send_event("host-1", messages.StoreEraChanged(era=4))
    fleet.send_event("host-2", messages.StoreEraChanged(era=5))
    fleet.run(5)
    assert all(
        list_told_eras(fleet, host)[-1] == 5
        for host in fleet.cores_by_id
        if host != "host-2"
    )
