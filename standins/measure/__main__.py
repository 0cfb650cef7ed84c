"""Runs all benchmarks (``make measure``), or those named as arguments."""

import os
import pathlib
import platform
import time

import click
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task
from twisted.internet import threads

from standins.measure import call_cost
from standins.measure import control
from standins.measure import figures
from standins.measure import latency
from standins.measure import operations
from standins.measure import overload
from standins.measure import resends
from standins.measure import scale

OUTPUT_DIRECTORY = pathlib.Path("build")
BENCHMARKS = (
    "latency",
    "overload",
    "operations",
    "control",
    "scale",
    "resends",
    "call-cost",
)


@defer.inlineCallbacks
def run_benchmarks(
    report: figures.Report,
    benchmarks: tuple[str, ...],
    fleet_sizes: tuple[int, ...],
):
    """Runs the named benchmarks, one after the other.

    The report is written after each of them, so that an interrupted run keeps
    the figures of the benchmarks that completed.

    Args:
      report: Report that receives the figures.
      benchmarks: Names from ``BENCHMARKS``.
      fleet_sizes: Fleet sizes, in nodes, for the cost of control.
    """
    for benchmark in benchmarks:
        start = twisted_reactor.seconds()
        click.echo(f"{benchmark} ...")
        match benchmark:
            case "latency":
                yield latency.measure(report)
            case "overload":
                yield overload.measure(report, overload.build_scenarios())
            case "operations":
                yield operations.measure(report)
            case "control":
                yield threads.deferToThread(
                    control.measure, report, fleet_sizes
                )
            case "scale":
                scale.measure(report)
            case "resends":
                resends.measure(report)
            case "call-cost":
                call_cost.measure(report)
        elapsed_s = twisted_reactor.seconds() - start
        report.conditions[f"time for {benchmark}"] = f"{elapsed_s:.0f} s"
        report.write(OUTPUT_DIRECTORY)


def _describe_conditions() -> dict[str, str]:
    load_1, load_5, _ = os.getloadavg()
    return {
        "machine": f"{os.cpu_count()} cores, Python "
        f"{platform.python_version()}, {platform.system()}",
        "load average before": f"{load_1:.1f} over 1 min, {load_5:.1f} over "
        "5 min; other work on the machine raises the tails",
    }


@click.command()
@click.argument("benchmarks", nargs=-1, type=click.Choice(BENCHMARKS))
@click.option(
    "--sizes",
    default=",".join(str(size) for size in control.FLEET_SIZES),
    help="Fleet sizes, in nodes, for the cost of control.",
)
def main(benchmarks: tuple[str, ...], sizes: str) -> None:
    """Runs benchmarks; writes build/measure.json and build/measure.txt."""
    report = figures.Report(conditions=_describe_conditions())
    fleet_sizes = tuple(int(size) for size in sizes.split(","))
    start = time.monotonic()

    def run(_reactor):
        return run_benchmarks(report, benchmarks or BENCHMARKS, fleet_sizes)

    try:
        task.react(run)
    finally:
        elapsed_s = time.monotonic() - start
        report.conditions["time for all"] = f"{elapsed_s:.0f} s"
        report.write(OUTPUT_DIRECTORY)
        click.echo(report.to_text())


if __name__ == "__main__":
    main()
