"""Rows of the capacity page: formulas over measured figures."""

import dataclasses

from standins.measure import figures

NODES = 1300
SERVICES = 34
CALLS_PER_S = 70_000
DEPTH = 16
DATA_CENTRES = 8
REGIONS = 2
CHANGES_PER_DAY = 3600
FAILURES_PER_DAY = 7
RESTARTS_PER_DAY = 220
RACK_NODES = 40
DAY_S = 86_400

BYTES_BOUND_PER_S = 19_000
CPU_BOUND = 0.036
MEMORY_BOUND_MB = 32.0
ADDED_MS_BOUND = 0.56
SWITCH_BOUND_S = 5.0
STORE_READS_BOUND = 2000
STORE_WRITES_BOUND = 300

WATCHERS = 2 * DATA_CENTRES
WATCH_RENEWAL_S = 50
REGISTRY_POLL_S = 600
POLLS_AT_START = 6
ENTRIES_PER_PAGE = 500
ENTRY_BYTES = 120
OPERATOR_READS = 2
RUMOUR_BUDGET_PER_S = 8000

NODE_CALLS_PER_S = CALLS_PER_S / NODES
USER_REQUESTS_PER_S = CALLS_PER_S / DEPTH
NODE_ENTRY_PER_S = USER_REQUESTS_PER_S / NODES
NODE_EGRESS_PER_S = NODE_CALLS_PER_S - NODE_ENTRY_PER_S

_LOAD = "54 calls/s"
_STORED_ANSWERS_MB = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """A row of the capacity table.

    Attributes:
      role: Role of a node or another part that bears the cost.
      item: Kind of cost: state, messages, processor time or memory.
      formula: Derivation of the result from the measured figures.
      result: Cost at the design size, in `unit`.
      unit: Unit of the result and the bound.
      bound: Upper bound that the design sets, or None.
      run: Name of the measured figure or origin of the constants.
      mechanism: Mechanism that limits the cost.
    """

    role: str
    item: str
    formula: str
    result: float
    unit: str
    bound: float | None = None
    run: str
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether the result is within its bound, as printed in the table."""
        if self.bound is None:
            return "no bound set"
        return "yes" if self.result <= self.bound else "**NO**"


class Measurements:
    """A set of measured figures, all of which must be present.

    Args:
      report: Figures of a benchmark run.
    """

    def __init__(self, *, report: figures.Report):
        self._report = report

    def get(self, name: str, variant: str) -> float:
        """Returns a measured value.

        Raises:
          KeyError: The run did not measure the figure.
        """
        value = self._report.find_value(name, variant)
        if value is None:
            raise KeyError(f"{name} ({variant}) was not measured")
        return value

    def value_at_largest_size(self, name: str, suffix: str) -> float:
        """Returns the value of a figure at the largest measured size."""
        values_by_size = [
            (int(figure.variant.split()[0]), figure.value)
            for figure in self._report.figures
            if figure.name == name and figure.variant.endswith(suffix)
        ]
        return max(values_by_size)[1]

    def extrapolate(self, kind: str) -> float:
        """Extrapolates a figure of the control plane to the design size.

        A negative slope counts as zero.
        """
        slope = max(0.0, self.get(f"control slope, {kind}", "fit"))
        return self.get(f"control base, {kind}", "fit") + slope * NODES


def build_rows(report: figures.Report) -> list[Row]:
    """Builds all rows of the table."""
    measured = Measurements(report=report)
    return [
        *_build_data_path_rows(measured),
        *_build_member_rows(measured),
        *_build_store_rows(measured),
        *_build_operator_rows(measured),
    ]


def _build_data_path_rows(measured: Measurements) -> list[Row]:
    entry_ms = measured.get("processor time per call, entry node", _LOAD)
    callee_ms = measured.get("processor time per call, callee node", _LOAD)
    entry_mb = measured.get("resident memory, entry node", "540 calls/s")
    callee_mb = measured.get("resident memory, callee node", "540 calls/s")
    import_mb = measured.get("resident memory after import", "node")
    deadline_s = 5.0
    entry_run = f"processor time per call, entry node, {_LOAD}"
    callee_run = f"processor time per call, callee node, {_LOAD}"
    return [
        Row(
            role="entry",
            item="state",
            formula=f"{NODE_ENTRY_PER_S:.2f}/s x {deadline_s:g} s deadline",
            result=NODE_ENTRY_PER_S * deadline_s,
            unit="open exchanges at most",
            run="rates of the design size; default deadline of a preset",
            mechanism="each exchange ends by its deadline",
        ),
        Row(
            role="entry",
            item="messages",
            formula=f"2 frames x {NODE_ENTRY_PER_S:.2f} user requests/s",
            result=2 * NODE_ENTRY_PER_S,
            unit="frames/s",
            run="rates of the design size",
            mechanism="one call frame and one answer frame a dispatch",
        ),
        Row(
            role="entry",
            item="processor",
            formula=f"{NODE_ENTRY_PER_S:.2f}/s x {entry_ms:.3g} ms",
            result=NODE_ENTRY_PER_S * entry_ms / 1000,
            unit="cores",
            run=entry_run,
            mechanism="one parse of HTTP, one frame each way",
        ),
        Row(
            role="entry",
            item="memory",
            formula=f"{entry_mb:.1f} MB under load - {import_mb:.1f} MB code",
            result=entry_mb - import_mb,
            unit="MB",
            run="resident memory, entry node, 540 calls/s",
            mechanism="open exchanges, links, the ring buffer of events",
        ),
        Row(
            role="egress",
            item="state",
            formula=f"{NODE_EGRESS_PER_S:.1f}/s x {deadline_s:g} s deadline",
            result=NODE_EGRESS_PER_S * deadline_s,
            unit="open exchanges at most",
            run="rates of the design size; default deadline of a preset",
            mechanism="each exchange ends by its parent's deadline",
        ),
        Row(
            role="egress",
            item="messages",
            formula=f"2 frames x {NODE_EGRESS_PER_S:.1f} calls/s",
            result=2 * NODE_EGRESS_PER_S,
            unit="frames/s",
            run="rates of the design size",
            mechanism="thresholds, load and unused re-sends are carried on "
            "answers",
        ),
        Row(
            role="egress",
            item="processor",
            formula=f"{NODE_EGRESS_PER_S:.1f}/s x {entry_ms:.3g} ms",
            result=NODE_EGRESS_PER_S * entry_ms / 1000,
            unit="cores",
            run=entry_run + " (same path as the entry's)",
            mechanism="two random choices by load, no scan of the fleet",
        ),
        Row(
            role="egress",
            item="memory",
            formula=f"routing state of {NODES} members",
            result=measured.get("engine's routing state", f"{NODES} members"),
            unit="MB",
            run=f"engine's routing state, {NODES} members",
            mechanism="members by service; load known for picked ones only",
        ),
        Row(
            role="callee",
            item="state",
            formula=f"{NODE_CALLS_PER_S:.1f}/s x {deadline_s:g} s deadline",
            result=NODE_CALLS_PER_S * deadline_s,
            unit="runs and queued calls at most",
            run="rates of the design size; default deadline of a preset",
            mechanism="bounded queue, concurrency limit, deadlines",
        ),
        Row(
            role="callee",
            item="messages",
            formula=f"2 frames x {NODE_CALLS_PER_S:.1f} calls/s",
            result=2 * NODE_CALLS_PER_S,
            unit="frames/s",
            run="rates of the design size",
            mechanism="one answer frame a call",
        ),
        Row(
            role="callee",
            item="processor",
            formula=f"{NODE_CALLS_PER_S:.1f}/s x {callee_ms:.3g} ms",
            result=NODE_CALLS_PER_S * callee_ms / 1000,
            unit="cores",
            run=callee_run,
            mechanism="admission in constant time a call",
        ),
        Row(
            role="callee",
            item="memory",
            formula=f"{callee_mb:.1f} MB - {import_mb:.1f} MB code "
            f"+ {_STORED_ANSWERS_MB:g} MB answers kept for tickets",
            result=callee_mb - import_mb + _STORED_ANSWERS_MB,
            unit="MB",
            run="resident memory, callee node, 540 calls/s",
            mechanism="answer_bytes and table_size of the preset",
        ),
        Row(
            role="two nodes",
            item="added latency p99",
            formula="two nodes - direct call, same run",
            result=measured.get("added latency p99", f"two nodes, {_LOAD}"),
            unit="ms",
            bound=ADDED_MS_BOUND,
            run=f"added latency p99, two nodes, {_LOAD}; the null relay of "
            "the same run added "
            f"{measured.get('added latency p99', f'null relay, {_LOAD}'):.3g}"
            " ms",
            mechanism="one parse, one frame, one write a hop",
        ),
    ]


def _build_member_rows(measured: Measurements) -> list[Row]:
    members_mb = measured.get("records of the members", f"{NODES} members")
    routing_mb = measured.get("engine's routing state", f"{NODES} members")
    idle_mb = measured.value_at_largest_size(
        "resident memory of an idle node", " nodes"
    )
    change_ms = measured.get(
        "processor time of one membership change", f"{NODES} members"
    )
    events_per_s = 3 * (FAILURES_PER_DAY + 2 * RESTARTS_PER_DAY) / DAY_S
    death_bytes = measured.value_at_largest_size(
        "bytes sent per node for one death", " cores"
    )
    bytes_per_s = measured.extrapolate("bytes_per_s")
    cpu = measured.extrapolate("cpu_share")
    return [
        Row(
            role="member",
            item="state",
            formula=f"records of {NODES} members",
            result=members_mb,
            unit="MB",
            run=f"records of the members, {NODES} members",
            mechanism="one record a member; the dead are dropped in time",
        ),
        Row(
            role="member",
            item="messages, at rest",
            formula=f"base + max(0, slope) x {NODES}",
            result=bytes_per_s,
            unit="bytes/s",
            bound=BYTES_BOUND_PER_S,
            run="control base and slope, bytes_per_s",
            mechanism="one probe per second at any size; one sync per 15 s",
        ),
        Row(
            role="member",
            item="messages, at rest, cores alone",
            formula="largest of three sizes; grows with log n",
            result=measured.value_at_largest_size(
                "encoded gossip sent", " cores"
            ),
            unit="bytes/s",
            bound=BYTES_BOUND_PER_S,
            run="encoded gossip sent, largest size",
            mechanism="a sync sends a digest while the views agree",
        ),
        Row(
            role="member",
            item="messages, ordinary day",
            formula=f"at rest + {death_bytes:.0f} bytes x "
            f"{events_per_s:.4f} events/s",
            result=bytes_per_s + death_bytes * events_per_s,
            unit="bytes/s",
            bound=BYTES_BOUND_PER_S,
            run="bytes sent per node for one death, largest size",
            mechanism="each rumour is sent a bounded number of times",
        ),
        Row(
            role="member",
            item="processor",
            formula=f"base + max(0, slope) x {NODES} + {change_ms:.3g} ms x "
            f"{events_per_s:.4f} changes/s",
            result=cpu + change_ms / 1000 * events_per_s,
            unit="cores",
            bound=CPU_BOUND,
            run="control base and slope, cpu_share; processor time of one "
            "membership change",
            mechanism="probes at a fixed rate; changes published together",
        ),
        Row(
            role="member",
            item="memory, whole process",
            formula=f"{idle_mb:.1f} MB idle + {members_mb:.2f} MB "
            f"+ {routing_mb:.2f} MB",
            result=idle_mb + members_mb + routing_mb,
            unit="MB",
            bound=MEMORY_BOUND_MB,
            run="resident memory of an idle node, largest size",
            mechanism="mostly libraries; see below",
        ),
    ]


def _build_store_rows(measured: Measurements) -> list[Row]:
    changes_per_s = CHANGES_PER_DAY / DAY_S
    watch_calls = WATCHERS * (1 / WATCH_RENEWAL_S + changes_per_s)
    turnover_per_s = (FAILURES_PER_DAY + RESTARTS_PER_DAY) / DAY_S
    pages = -(-NODES // ENTRIES_PER_PAGE)
    registry_reads = pages * (
        NODES / REGISTRY_POLL_S + POLLS_AT_START * turnover_per_s
    )
    start_reads = (DATA_CENTRES + 1) * turnover_per_s
    preset_bytes = measured.get("preset pulled whole", "10 routes a service")
    reads = watch_calls + registry_reads + start_reads
    reads += OPERATOR_READS * changes_per_s
    writes = changes_per_s + turnover_per_s
    return [
        Row(
            role="store watcher",
            item="state",
            formula="one waiting watch and the object in force",
            result=preset_bytes / 1e6,
            unit="MB",
            run="preset pulled whole, 10 routes a service",
            mechanism="two hash-chosen nodes a data centre",
        ),
        Row(
            role="store watcher",
            item="messages",
            formula=f"1/{WATCH_RENEWAL_S} s + {CHANGES_PER_DAY}/day",
            result=watch_calls / WATCHERS,
            unit="store calls/s each",
            run="constants of store_watch",
            mechanism="a watch is a long poll; the other nodes learn by gossip",
        ),
        Row(
            role="registry",
            item="messages",
            formula=f"{pages} pages each {REGISTRY_POLL_S} s and "
            f"{POLLS_AT_START} times at each start",
            result=registry_reads / NODES,
            unit="store calls/s each",
            run="constants of the registry task",
            mechanism="stale listings; each node writes its own entry alone",
        ),
        Row(
            role="store",
            item="reads and watches",
            formula=f"{WATCHERS} watchers + the registry + starting "
            f"nodes + {OPERATOR_READS} a change",
            result=reads,
            unit="calls/s",
            bound=STORE_READS_BOUND,
            run="sum of the lines above",
            mechanism="nothing on the path of a request waits for the store",
        ),
        Row(
            role="store",
            item="writes",
            formula=f"{CHANGES_PER_DAY}/day + an entry for each replaced host",
            result=writes,
            unit="calls/s",
            bound=STORE_WRITES_BOUND,
            run="sum of the lines above",
            mechanism="one conditional write a switch",
        ),
        Row(
            role="store",
            item="state",
            formula=f"object in force + {NODES} entries",
            result=(preset_bytes + NODES * ENTRY_BYTES) / 1e6,
            unit="MB",
            run="preset pulled whole, 10 routes a service",
            mechanism="the last 16 switches are kept, no more",
        ),
    ]


def _build_operator_rows(measured: Measurements) -> list[Row]:
    switch_s = measured.get(
        "switch accepted to in force everywhere, maximum", "12 nodes"
    )
    return [
        Row(
            role="operator's command",
            item="messages",
            formula=f"{OPERATOR_READS} reads and 1 write a switch",
            result=(OPERATOR_READS + 1) * CHANGES_PER_DAY / DAY_S,
            unit="store calls/s",
            run="test_store_calls_are_limited_to_watchers",
            mechanism="pushes the accepted switch to nodes that it knows",
        ),
        Row(
            role="operator's command",
            item="time until all nodes know",
            formula="largest of three sizes; grows with log n",
            result=measured.value_at_largest_size(
                "epoch told to all by rumour", " cores"
            ),
            unit="s",
            bound=SWITCH_BOUND_S,
            run="epoch told to all by rumour, largest size",
            mechanism="the epoch is carried on every datagram",
        ),
        Row(
            role="operator's command",
            item="time to in force everywhere",
            formula="measured on 12 nodes; rumours reach n nodes in log n",
            result=switch_s,
            unit="s",
            bound=SWITCH_BOUND_S,
            run="switch accepted to in force everywhere, maximum, 12 nodes",
            mechanism="gossip by datagram, then a pull of changed sections",
        ),
    ]
