"""Bounded random walks over the faults; ``make soak`` runs longer ones."""

import pytest

from standins import soak

REGRESSIONS = (
    # The run ids of two lives of a node were equal, as the ledger shortened
    # their incarnations to 16 bits.
    343782063,
    # Tickets bound all critical requests to one host, whose slots were taken
    # by runs that can't be cancelled; browse requests ran at the other host.
    2404640548,
)


@pytest.mark.parametrize("seed", [*range(1, 41), *REGRESSIONS])
def test_random_walk_keeps_promises(seed):
    walk = soak.run_walk(seed)
    assert walk.violations == [], walk.faults
    assert walk.unfinished_callers == [], walk.faults
