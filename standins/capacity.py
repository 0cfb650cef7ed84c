"""Writes docs/CAPACITY.md from the figures in build/measure.json.

python -m standins.capacity
"""

import pathlib

from standins import capacity_rows
from standins.measure import figures

REPORT_PATH = pathlib.Path("build/measure.json")
OTHER_FIGURES_PATH = pathlib.Path(__file__).parent / "capacity_figures.md"
"""Figures of runs that ``make measure`` doesn't make."""

PAGE_PATH = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def build(report: figures.Report) -> str:
    """Builds the page.

    Args:
      report: Figures of a benchmark run.

    Returns:
      The page in Markdown.
    """
    lines = [_HEAD]
    lines += [f"- {name}: {value}" for name, value in report.conditions.items()]
    lines += ["", _TABLE_HEAD]
    lines += [_format_row(row) for row in capacity_rows.build_rows(report)]
    lines += ["", "## Rows that exceed a bound", ""]
    exceeded = [
        row
        for row in capacity_rows.build_rows(report)
        if row.verdict == "**NO**"
    ]
    lines += [_format_exceeded_row(row) for row in exceeded] or ["- None."]
    lines += [
        "",
        *_format_switches(report),
        "",
        *_format_failures(report),
        "",
        OTHER_FIGURES_PATH.read_text(),
        _LIMITS,
    ]
    return "\n".join(lines)


def _format_row(row: capacity_rows.Row) -> str:
    bound = "none" if row.bound is None else f"{row.bound:g}"
    return (
        f"| {row.role} | {row.item} | {row.formula} | "
        f"{row.result:.4g} {row.unit} | {bound} | {row.verdict} | "
        f"{row.run} | {row.mechanism} |"
    )


def _format_exceeded_row(row: capacity_rows.Row) -> str:
    return (
        f"- **{row.role}, {row.item}**: {row.result:.3g} {row.unit} against "
        f"{row.bound:g}. {_REMEDIES.get(row.item, _UNEXPLAINED)}"
    )


_UNEXPLAINED = "No remedy is known yet."
_REMEDIES = {
    "memory, whole process": "The libraries alone pass the bound (see "
    "`resident memory after import`); fewer imports, or the bound read as "
    "control's own growth, which is the two last terms.",
    "added latency p99": "The call cost is the part of the decisions; compare "
    "the null relay of the same run, which has the same hops and reads "
    "nothing.",
}


def _format_switches(report: figures.Report) -> list[str]:
    measured = capacity_rows.Measurements(report=report)
    changes = capacity_rows.CHANGES_PER_DAY
    bound = capacity_rows.BYTES_BOUND_PER_S
    services = capacity_rows.SERVICES
    per_s = changes / capacity_rows.DAY_S
    lines = [
        "## A switch, by the size of its content",
        "",
        f"Each of {changes} switches a day reaches a node by one pull of the "
        "sections that it lacks. A node serves, on average, as many "
        "pulls as it makes.",
        "",
        "| content | whole | one route changed | sent per node, mean | "
        "within 19,000 |",
        "|---|---|---|---|---|",
    ]
    for routes in (2, 10, 50):
        variant = f"{routes} routes a service"
        full_bytes = measured.get("preset pulled whole", variant)
        delta_bytes = measured.get("preset pulled, one route changed", variant)
        mean = delta_bytes * per_s
        verdict = "yes" if mean <= bound else "**NO**"
        lines.append(
            f"| {services} services, {variant} | {full_bytes:.0f} bytes | "
            f"{delta_bytes:.0f} bytes | {mean:.0f} bytes/s | {verdict} |"
        )
    return lines


def _format_failures(report: figures.Report) -> list[str]:
    measured = capacity_rows.Measurements(report=report)
    death_bytes = measured.value_at_largest_size(
        "bytes sent per node for one death", " cores"
    )
    idle_bytes_per_s = measured.extrapolate("bytes_per_s")
    centre_nodes = capacity_rows.NODES // capacity_rows.DATA_CENTRES
    region_nodes = capacity_rows.NODES // capacity_rows.REGIONS
    budget = capacity_rows.RUMOUR_BUDGET_PER_S

    def format_line(name: str, events: int, text: str) -> str:
        total_bytes = death_bytes * events
        seconds = total_bytes / budget
        peak = idle_bytes_per_s + min(budget, total_bytes)
        verdict = "yes" if peak <= capacity_rows.BYTES_BOUND_PER_S else "**NO**"
        return (
            f"| {name} | {events} | {total_bytes / 1e6:.3g} MB | "
            f"{seconds:.3g} s | {peak:.0f} bytes/s | {verdict} | {text} |"
        )

    return [
        "## Large failures and restarts",
        "",
        f"One change of a member costs each node {death_bytes:.0f} bytes "
        "(bytes sent per node for one death). Rumours are limited to "
        f"{budget} bytes/s per node, so many changes take longer instead of "
        "costing more per second; a call avoids a dead node by its lost "
        "link, before any rumour.",
        "",
        "| event | changes | sent per node | dissemination time | peak | "
        "within 19,000 | mechanism |",
        "|---|---|---|---|---|---|---|",
        format_line(
            "rolling restart of all",
            3 * capacity_rows.NODES,
            "a planned stop, a new incarnation and a new server each",
        ),
        format_line(
            "rack loss",
            capacity_rows.RACK_NODES,
            "one gossip update each for suspicion and death",
        ),
        format_line(
            "data centre loss",
            centre_nodes,
            "mass suspicion freezes eviction; calls spill to other centres",
        ),
        format_line(
            "regions partitioned for an hour",
            region_nodes,
            "eviction is frozen; on reconnection one sync per node repairs "
            "the view",
        ),
    ]


_HEAD = """\
# Capacity

What each role costs at 1,300 nodes in 34 services, 70,000 calls a second up to
16 deep, 2 regions and 8 data centres, with 3,600 switches a day. Written by
`python -m standins.capacity` from `build/measure.json`, which `make measure`
writes. A line without a bound of its own counts into none of the bounds, which
are for control: 3.6% of a core, 32 MB and 19 KB a second a node.

The run that gave the slopes:
"""

_TABLE_HEAD = """\
| role | item | formula | at that size | bound | within | run | mechanism |
|---|---|---|---|---|---|---|---|"""

_LIMITS = """\
## Limits of these figures

The slopes come from one machine: real nodes up to the largest size in the run,
cores under an injected clock up to 80, and one engine that knows 1,300
members. Nothing here ran 1,300 processes. A slope that the fit found negative
counts as zero. Latency between hosts, packet loss and the platform's own store
are not in them.
"""


def main() -> None:
    """Writes the page to docs/CAPACITY.md."""
    PAGE_PATH.write_text(build(figures.read_report(REPORT_PATH)))


if __name__ == "__main__":
    main()
