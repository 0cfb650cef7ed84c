"""Writes docs/CAPACITY.md from the slopes in build/measure.json.

python -m standins.capacity
"""

import pathlib

from standins import capacity_rows
from standins.measure import figures

MEASURES = pathlib.Path("build/measure.json")
PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def build(report: figures.Report) -> str:
    """Returns the page."""
    lines = [_HEAD]
    lines += [f"- {name}: {value}" for name, value in report.conditions.items()]
    lines += ["", _TABLE_HEAD]
    lines += [_line(row) for row in capacity_rows.rows(report)]
    lines += ["", "## Lines that break a bound", ""]
    broken = [
        row for row in capacity_rows.rows(report) if row.verdict == "**NO**"
    ]
    lines += [_broken(row) for row in broken] or ["- None."]
    lines += ["", *_switches(report), "", *_events(report), "", _LIMITS]
    return "\n".join(lines)


def _line(row: capacity_rows.Row) -> str:
    bound = "none" if row.bound is None else f"{row.bound:g}"
    return (
        f"| {row.role} | {row.item} | {row.formula} | "
        f"{row.result:.4g} {row.unit} | {bound} | {row.verdict} | "
        f"{row.run} | {row.mechanism} |"
    )


def _broken(row: capacity_rows.Row) -> str:
    return (
        f"- **{row.role}, {row.item}**: {row.result:.3g} {row.unit} against "
        f"{row.bound:g}. {_REMEDIES.get(row.item, _UNEXPLAINED)}"
    )


_UNEXPLAINED = "What changes it is not known yet."
_REMEDIES = {
    "memory, whole process": "The libraries alone pass the bound (see "
    "`resident memory after import`); fewer imports, or the bound read as "
    "control's own growth, which is the two last terms.",
    "added latency p99": "The next causes are in the run's profile; compare "
    "the null relay of the same run, which has the same hops and reads "
    "nothing.",
}


def _switches(report: figures.Report) -> list[str]:
    slopes = capacity_rows.Slopes(report=report)
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
        "| content | whole | one route changed | sent a node, mean | "
        "within 19,000 |",
        "|---|---|---|---|---|",
    ]
    for routes in (2, 10, 50):
        variant = f"{routes} routes a service"
        whole = slopes.get("preset pulled whole", variant)
        part = slopes.get("preset pulled, one route changed", variant)
        mean = part * per_s
        verdict = "yes" if mean <= bound else "**NO**"
        lines.append(
            f"| {services} services, {variant} | {whole:.0f} bytes | "
            f"{part:.0f} bytes | {mean:.0f} bytes/s | {verdict} |"
        )
    return lines


def _events(report: figures.Report) -> list[str]:
    slopes = capacity_rows.Slopes(report=report)
    death = slopes.largest("bytes sent per node for one death", " cores")
    rest = slopes.at_size("bytes_per_s")
    centre_nodes = capacity_rows.NODES // capacity_rows.DATA_CENTRES
    region_nodes = capacity_rows.NODES // capacity_rows.REGIONS
    budget = capacity_rows.RUMOUR_BUDGET_PER_S

    def line(name: str, events: int, text: str) -> str:
        total = death * events
        seconds = total / budget
        peak = rest + min(budget, total)
        verdict = "yes" if peak <= capacity_rows.BYTES_BOUND_PER_S else "**NO**"
        return (
            f"| {name} | {events} | {total / 1e6:.3g} MB | "
            f"{seconds:.3g} s | {peak:.0f} bytes/s | {verdict} | {text} |"
        )

    return [
        "## Days that are not ordinary",
        "",
        f"One change of a member costs each node {death:.0f} bytes (bytes "
        "sent per node for one death). Rumours are held to "
        f"{budget} bytes/s a node, so many changes take longer rather than "
        "cost more a second; a call avoids a dead node by its lost "
        "link, before any rumour.",
        "",
        "| event | changes | sent a node | time to tell all | peak | "
        "within 19,000 | what carries it |",
        "|---|---|---|---|---|---|---|",
        line(
            "rolling restart of all",
            3 * capacity_rows.NODES,
            "a planned stop, a new incarnation and a new server each",
        ),
        line(
            "rack loss",
            capacity_rows.RACK_NODES,
            "suspicion, then death, one rumour each",
        ),
        line(
            "data centre loss",
            centre_nodes,
            "mass suspicion freezes eviction; calls spill to other centres",
        ),
        line(
            "regions apart for an hour",
            region_nodes,
            "eviction is frozen; on return one sync a node repairs the view",
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
## What these figures can't say

The slopes come from one machine: real nodes up to the largest size in the run,
cores under an injected clock up to 80, and one engine that knows 1,300
members. Nothing here ran 1,300 processes. A slope that the fit found negative
counts as zero. Latency between hosts, packet loss and the platform's own store
are not in them.
"""


def main() -> None:
    """Writes the page."""
    PAGE.write_text(build(figures.read_report(MEASURES)))


if __name__ == "__main__":
    main()
