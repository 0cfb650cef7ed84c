"""Bounded random walks over the faults; ``make soak`` runs longer ones."""

import pytest

from standins import soak


@pytest.mark.parametrize("seed", range(1, 41))
def test_random_walk_keeps_promises(seed):
    walk = soak.run_walk(seed)
    assert walk.violations == [], walk.faults
    assert walk.unfinished_callers == [], walk.faults
