"""Clocks beside the monotonic one."""

import time


def read_suspend_clock() -> float:
    """Returns seconds since boot, including the time of a suspension."""
    clock_id = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock_id)
