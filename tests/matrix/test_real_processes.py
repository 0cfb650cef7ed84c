"""TCP faults between real nodes, their backend server and callers."""

import itertools

import pytest

from standins import checker
from standins import cluster as clusters
from tests.matrix import kernel

# Before a message, in its head, in its body, and beyond its end.
_FAULT_OFFSETS_BYTES = (0, 40, 200, 50_000)
_OFFSETS_IN_MESSAGE = _FAULT_OFFSETS_BYTES[:3]
_FAULTS_BY_NAME = {
    f"{kind} {direction} after {offset}": {
        "type": kind,
        "direction": direction,
        "after_bytes": offset,
    }
    for kind, direction, offset in itertools.product(
        ("Cut", "Truncate", "HalfClose", "Blackhole"),
        ("up", "down"),
        _FAULT_OFFSETS_BYTES,
    )
}
_FAULTS_BY_NAME["Delay up"] = {
    "type": "Delay",
    "direction": "up",
    "seconds": 0.2,
}
_FAULTS_BY_NAME["Delay down"] = {
    "type": "Delay",
    "direction": "down",
    "seconds": 0.2,
}
_FAULTS_BY_NAME["Refuse"] = {"type": "Refuse"}
_FAULTS_BY_NAME["DuplicateConnect"] = {"type": "DuplicateConnect"}


_CONNECT_FAULTS = ("Refuse", "DuplicateConnect")
_CALL_FAILING_FAULTS = [
    name
    for name, fault in _FAULTS_BY_NAME.items()
    if fault.get("after_bytes") in _OFFSETS_IN_MESSAGE or name == "Refuse"
]


@pytest.fixture(scope="module")
def fault_testbed(tmp_path_factory):
    started = kernel.FaultTestbed(folder=tmp_path_factory.mktemp("kernel"))
    yield started
    started.close()


@pytest.fixture(autouse=True)
def _clear_faults_after_test(fault_testbed):
    fault_testbed.wait_until_known()
    fault_testbed.ledger_entries.clear()
    yield
    fault_testbed.clear_faults()


@pytest.mark.parametrize("repeatable", [True, False], ids=["browse", "ticket"])
@pytest.mark.parametrize("name", _FAULTS_BY_NAME)
def test_fault_between_node_and_server_keeps_promises(
    fault_testbed, name, repeatable
):
    caller = kernel.Caller(
        fault_testbed=fault_testbed, key=f"server {name}", repeatable=repeatable
    )
    if name in _CONNECT_FAULTS:
        fault_testbed.server_proxy.reset_connections()
    fault_testbed.server_proxy.faults(_FAULTS_BY_NAME[name])
    completed = caller.send(clusters.ENTRY_PORT)
    assert completed == (name not in _CALL_FAILING_FAULTS)
    fault_testbed.clear_faults()
    caller.send_until_completed(clusters.ENTRY_PORT)
    fault_testbed.wait_until_serving(name)
    assert checker.check(fault_testbed.ledger_entries) == []


@pytest.mark.parametrize("repeatable", [True, False], ids=["browse", "ticket"])
@pytest.mark.parametrize("name", _FAULTS_BY_NAME)
def test_fault_between_caller_and_entry_keeps_promises(
    fault_testbed, name, repeatable
):
    caller = kernel.Caller(
        fault_testbed=fault_testbed, key=f"caller {name}", repeatable=repeatable
    )
    fault_testbed.entry_proxy.faults(_FAULTS_BY_NAME[name])
    assert caller.send_until_completed(fault_testbed.entry_proxy.port)
    assert checker.check(fault_testbed.ledger_entries) == []


def test_silent_server_connections_are_replaced(fault_testbed):
    fault_testbed.server_proxy.silence_connections()
    caller = kernel.Caller(
        fault_testbed=fault_testbed, key="silent", repeatable=False
    )
    caller.send_until_completed(clusters.ENTRY_PORT)
    fault_testbed.wait_until_serving("silence")
    assert checker.check(fault_testbed.ledger_entries) == []
