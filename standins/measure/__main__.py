"""Takes all measures: ``make measure``, or some of them by name."""

import os
import pathlib
import platform
import time

import click
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task
from twisted.internet import threads

from standins.measure import control
from standins.measure import figures
from standins.measure import latency
from standins.measure import operations
from standins.measure import overload
from standins.measure import profile
from standins.measure import resends
from standins.measure import scale

FOLDER = pathlib.Path("build")
PARTS = (
    "latency",
    "overload",
    "operations",
    "control",
    "scale",
    "resends",
    "profile",
)


@defer.inlineCallbacks
def take(
    report: figures.Report, parts: tuple[str, ...], sizes: tuple[int, ...]
):
    """Takes the named parts, one after the other.

    Args:
      report: Takes the figures.
      parts: Names out of ``PARTS``.
      sizes: Numbers of nodes for the cost of control.
    """
    for part in parts:
        start = twisted_reactor.seconds()
        click.echo(f"{part} ...")
        match part:
            case "latency":
                yield latency.measure(report)
            case "overload":
                yield overload.measure(report, overload.build_scenarios())
            case "operations":
                yield operations.measure(report)
            case "control":
                yield threads.deferToThread(control.measure, report, sizes)
            case "scale":
                scale.measure(report)
            case "resends":
                resends.measure(report)
            case "profile":
                yield profile.measure(report)
        elapsed_s = twisted_reactor.seconds() - start
        report.conditions[f"time for {part}"] = f"{elapsed_s:.0f} s"
        report.write(FOLDER)


def _conditions() -> dict[str, str]:
    load_1, load_5, _ = os.getloadavg()
    return {
        "machine": f"{os.cpu_count()} cores, Python "
        f"{platform.python_version()}, {platform.system()}",
        "load average before": f"{load_1:.1f} over 1 min, {load_5:.1f} over "
        "5 min; other work on the machine raises the tails",
    }


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(PARTS))
@click.option(
    "--sizes",
    default=",".join(str(size) for size in control.SIZES),
    help="Numbers of nodes for the cost of control.",
)
def main(parts: tuple[str, ...], sizes: str) -> None:
    """Writes build/measure.json and build/measure.txt."""
    report = figures.Report(conditions=_conditions())
    chosen_sizes = tuple(int(size) for size in sizes.split(","))
    start = time.monotonic()

    def run(_reactor):
        return take(report, parts or PARTS, chosen_sizes)

    try:
        task.react(run)
    finally:
        elapsed_s = time.monotonic() - start
        report.conditions["time for all"] = f"{elapsed_s:.0f} s"
        report.write(FOLDER)
        click.echo(report.to_text())


if __name__ == "__main__":
    main()
