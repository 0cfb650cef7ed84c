"""Prints the comparison as a table."""

import dataclasses

import click

from standins.study import report
from standins.study import scenarios


@click.command()
@click.option("--seeds", default=1, help="Seeds to run.")
@click.option("--only", default="", help="Only names that contain this.")
@click.option(
    "--load", type=click.Choice(["low", "high", "both"]), default="both"
)
def main(seeds: int, only: str, load: str) -> None:
    """Runs the study and prints one line per scenario."""
    click.echo(
        "| rule | goodput | wasted | held | recovery s | critical | calm |"
    )
    click.echo("|---|---|---|---|---|---|---|")
    for make in (scenarios.low, scenarios.high):
        if load not in ("both", make.__name__):
            continue
        full = make()
        cases = [scenarios.off(full), full]
        cases += [scenarios.without(full, rule) for rule in scenarios.RULES]
        cases += [
            make(name="trigger 0.5 s", trigger_s=0.5),
            make(name="trigger 60 s", trigger_s=60.0),
            scenarios.deep(make(name="depth 8"), 8),
            make(
                name="4 servers, 12 entries",
                servers=4,
                demand=4 * full.demand,
                entries=12,
            ),
        ]
        for case in cases:
            if only not in case.name:
                continue
            for seed in range(1, seeds + 1):
                name = f"{make.__name__} {case.name}"
                seeded = dataclasses.replace(case, seed=seed, name=name)
                click.echo(report.line(seeded, report.run(seeded)))


if __name__ == "__main__":
    main()
