"""Load: all hosts start at once, and no host has a preset to tell of."""

from bergamotdeal.presets import epoch_wait


def _hear(wait, count, *, at, host_count=71):
    for index in range(count):
        wait.record_host_without_preset(
            f"host-{index}", host_count=host_count, now=at
        )


def test_wait_is_short_once_several_hosts_have_no_preset():
    wait = epoch_wait.EpochWait(now=10.0)
    _hear(wait, epoch_wait.MIN_HOSTS_HEARD, at=10.1)
    assert wait.remaining_s(10.1) > 0.0
    assert wait.remaining_s(10.1 + epoch_wait.SPREAD_S) == 0.0


def test_one_host_that_repeats_itself_does_not_shorten_the_wait():
    # Another host may have kept a newer preset while this one restarted, too.
    wait = epoch_wait.EpochWait(now=10.0)
    for _ in range(10):
        _hear(wait, 1, at=10.1)
    assert wait.remaining_s(11.0) > 0.0


def test_small_fleet_needs_all_other_hosts():
    wait = epoch_wait.EpochWait(now=10.0)
    _hear(wait, 1, at=10.1, host_count=3)
    assert wait.remaining_s(11.0) > 0.0
    _hear(wait, 2, at=11.0, host_count=3)
    assert wait.remaining_s(11.0) == 0.0


def test_wait_ends_without_other_hosts_and_with_a_told_epoch():
    wait = epoch_wait.EpochWait(now=10.0)
    assert wait.remaining_s(10.0 + epoch_wait.MAX_WAIT_S) == 0.0
    wait.finish()
    assert wait.remaining_s(10.0) == 0.0
