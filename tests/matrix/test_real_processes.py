"""Faults of TCP itself between real nodes, their server and callers."""

import itertools

import pytest

from standins import checker
from standins import cluster as clusters
from tests.matrix import kernel

# Before a message, within its head and its body, and long after its end.
_OFFSETS = (0, 40, 200, 50_000)
_STRIKING_OFFSETS = _OFFSETS[:3]
_FAULTS = {
    f"{kind} {direction} after {offset}": {
        "type": kind,
        "direction": direction,
        "after_bytes": offset,
    }
    for kind, direction, offset in itertools.product(
        ("Cut", "Truncate", "HalfClose", "Blackhole"),
        ("up", "down"),
        _OFFSETS,
    )
}
_FAULTS["Delay up"] = {"type": "Delay", "direction": "up", "seconds": 0.2}
_FAULTS["Delay down"] = {"type": "Delay", "direction": "down", "seconds": 0.2}
_FAULTS["Refuse"] = {"type": "Refuse"}
_FAULTS["DuplicateConnect"] = {"type": "DuplicateConnect"}


_AT_CONNECT = ("Refuse", "DuplicateConnect")
_STRIKING = [
    name
    for name, fault in _FAULTS.items()
    if fault.get("after_bytes") in _STRIKING_OFFSETS or name == "Refuse"
]


@pytest.fixture(scope="module")
def bench(tmp_path_factory):
    started = kernel.Bench(folder=tmp_path_factory.mktemp("kernel"))
    yield started
    started.close()


@pytest.fixture(autouse=True)
def _healed(bench):
    bench.entries.clear()
    yield
    bench.heal()


@pytest.mark.parametrize("repeatable", [True, False], ids=["browse", "ticket"])
@pytest.mark.parametrize("name", _FAULTS)
def test_fault_between_node_and_server_keeps_promises(bench, name, repeatable):
    caller = kernel.Caller(
        bench=bench, key=f"server {name}", repeatable=repeatable
    )
    if name in _AT_CONNECT:
        bench.server_proxy.cut()
    bench.server_proxy.faults(_FAULTS[name])
    completed = caller.send(clusters.ENTRY_PORT)
    assert completed == (name not in _STRIKING)
    bench.heal()
    caller.send_until_done(clusters.ENTRY_PORT)
    bench.wait_working(name)
    assert checker.check(bench.entries) == []


@pytest.mark.parametrize("repeatable", [True, False], ids=["browse", "ticket"])
@pytest.mark.parametrize("name", _FAULTS)
def test_fault_between_caller_and_entry_keeps_promises(bench, name, repeatable):
    caller = kernel.Caller(
        bench=bench, key=f"caller {name}", repeatable=repeatable
    )
    bench.entry_proxy.faults(_FAULTS[name])
    assert caller.send_until_done(bench.entry_proxy.port)
    assert checker.check(bench.entries) == []


def test_silent_server_connections_are_replaced(bench):
    bench.server_proxy.silence()
    caller = kernel.Caller(bench=bench, key="silent", repeatable=False)
    caller.send_until_done(clusters.ENTRY_PORT)
    bench.wait_working("silence")
    assert checker.check(bench.entries) == []
