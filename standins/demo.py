"""Demo: a chain of four services under overload, with control on and off."""

import json
import pathlib
import statistics
import tempfile

import click
from twisted.internet import defer
from twisted.internet import reactor as twisted_reactor
from twisted.internet import task
from twisted.internet import threads

from standins import cluster
from standins import load
from standins import presets

SERVERS_PER_SERVICE = 2
DEEPEST_SERVICE = presets.SERVICES[-1]
SLOW_FACTOR = 3.0
BASE_RATE_PER_S = 80.0
DEADLINE_MS = 1500
BASELINE_TRIES = 3
SEED = 7

PHASES = (
    load.Phase(
        name="calm",
        rate_per_s=BASE_RATE_PER_S,
        duration_s=5,
        deadline_ms=DEADLINE_MS,
    ),
    load.Phase(
        name="overload",
        rate_per_s=2 * BASE_RATE_PER_S,
        duration_s=8,
        deadline_ms=DEADLINE_MS,
    ),
    load.Phase(
        name="recovery",
        rate_per_s=BASE_RATE_PER_S,
        duration_s=6,
        deadline_ms=DEADLINE_MS,
    ),
)


def build_cluster(folder: pathlib.Path, *, control: bool) -> cluster.Cluster:
    """Builds the cluster of the demo without starting it.

    Args:
      folder: Directory for the files of the cluster.
      control: Whether overload control is on.
    """
    preset = (
        presets.build_controlled_preset()
        if control
        else presets.build_baseline_preset()
    )
    built = cluster.Cluster(folder=folder, preset=preset)
    next_services = (*presets.SERVICES[1:], "")
    for service, next_service in zip(
        presets.SERVICES, next_services, strict=True
    ):
        is_deepest = service == DEEPEST_SERVICE
        for number in range(1, SERVERS_PER_SERVICE + 1):
            built.add_host(
                f"{service}-{number}",
                "bayan-lepas",
                service=service,
                next_service=next_service,
                slots=15 if is_deepest else 20,
                service_ms=120.0 if is_deepest else 3.0,
                tries=1 if control else BASELINE_TRIES,
            )
    return built


@defer.inlineCallbacks
def run_phases(running: cluster.Cluster, callers: load.Callers):
    """Runs the calm, overload and recovery phases.

    The servers of the deepest service are slowed down during the overload.

    Args:
      running: Started cluster.
      callers: Callers that generate the load.
    """
    deepest = [
        host
        for host in running.hosts_by_id.values()
        if host.service == DEEPEST_SERVICE
    ]

    @defer.inlineCallbacks
    def slow_down(factor: float):
        for host in deepest:
            yield threads.deferToThread(running.control, host, slow=factor)

    calm_s, overload_s = PHASES[0].duration_s, PHASES[1].duration_s
    slowdowns = [
        task.deferLater(twisted_reactor, calm_s, slow_down, SLOW_FACTOR),
        task.deferLater(twisted_reactor, calm_s + overload_s, slow_down, 1.0),
    ]
    yield callers.run(list(PHASES))
    yield defer.gatherResults(slowdowns)


def summarize(requests: list[load.UserRequest]) -> list[dict]:
    """Builds one row of results for each phase and class.

    Args:
      requests: All user requests.
    """
    counts = load.count_outcomes(requests)
    rows = []
    for phase in PHASES:
        for class_name in ("critical", "browse"):
            selected = [
                request
                for request in requests
                if request.phase == phase.name
                and request.is_critical == (class_name == "critical")
            ]
            latencies_ms = [
                1000 * (request.ended_at - request.sent_at)
                for request in selected
                if request.completed
            ]
            row = {"phase": phase.name, "class": class_name}
            row["requests"] = len(selected)
            for outcome in ("completed", "failed", "not-run", "unknown"):
                row[outcome] = counts[phase.name, class_name, outcome]
            row["sendings"] = sum(request.sendings for request in selected)
            row["p50_ms"] = (
                round(statistics.median(latencies_ms)) if latencies_ms else None
            )
            rows.append(row)
    return rows


def print_rows(title: str, rows: list[dict]) -> None:
    """Prints the results of one run as a table.

    Args:
      title: Heading of the table.
      rows: Rows of the table.
    """
    click.echo(f"\n{title}")
    click.echo("".join(f"{name:>10}" for name in rows[0]))
    for row in rows:
        click.echo("".join(f"{row[name]!s:>10}" for name in row))


@defer.inlineCallbacks
def run_variant(folder: pathlib.Path, *, control: bool):
    """Runs the demo once.

    Args:
      folder: Directory for the files of the cluster.
      control: Whether overload control is on.

    Returns:
      A Deferred that fires with the rows and the timeline of one request.
    """
    built = build_cluster(folder, control=control)
    try:
        yield threads.deferToThread(built.start)
        yield threads.deferToThread(built.wait_until_joined)
        callers = load.Callers(
            reactor=twisted_reactor,
            entries=built.entries(presets.SERVICES[0]),
            seed=SEED,
        )
        yield run_phases(built, callers)
        timeline = yield threads.deferToThread(
            read_failed_request_timeline, built, callers.requests
        )
    finally:
        yield threads.deferToThread(built.stop)
    return summarize(callers.requests), timeline


def read_failed_request_timeline(
    running: cluster.Cluster, requests: list[load.UserRequest]
) -> list[str]:
    """Returns the timeline of one request that failed in the overload phase.

    Args:
      running: Started cluster.
      requests: All user requests.
    """
    selected = [
        request
        for request in requests
        if request.phase == "overload" and not request.completed
    ] or requests
    node = next(iter(running.hosts_by_id.values()))
    return running.run_command(
        "timeline",
        "--node",
        f"{node.address}:{cluster.ADMIN_PORT}",
        "--request",
        selected[-1].request_id,
    ).splitlines()


@defer.inlineCallbacks
def run_all(reactor):
    """Runs the demo with control on and off and writes the results.

    Args:
      reactor: Twisted reactor.
    """
    del reactor
    results = {}
    for control in (True, False):
        name = "on" if control else "off"
        with tempfile.TemporaryDirectory() as folder:
            rows, timeline = yield run_variant(
                pathlib.Path(folder), control=control
            )
        results[name] = {"rows": rows, "timeline": timeline}
        print_rows(f"Overload control {name}", rows)
        if control:
            click.echo("\nTimeline of one request of the overload phase")
            click.echo("\n".join(timeline[:12]))
    path = pathlib.Path("build/demo.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(results, indent=2) + "\n")
    click.echo(f"\nWritten to {path}")


if __name__ == "__main__":
    task.react(run_all)
