"""Prints the comparison as a table."""

import dataclasses

import click

from standins.study import model
from standins.study import report
from standins.study import scenarios


@click.command()
@click.option("--seeds", default=1, help="Seeds to run.")
@click.option("--only", default="", help="Only names that contain this.")
def main(seeds: int, only: str) -> None:
    """Runs the study and prints one line per scenario."""
    click.echo(
        "| scenario | goodput | wasted | held | recovery s | critical | calm |"
    )
    click.echo("|---|---|---|---|---|---|---|")
    for scenario in cases():
        if only not in scenario.name:
            continue
        for seed in range(1, seeds + 1):
            seeded = dataclasses.replace(scenario, seed=seed)
            click.echo(report.line(seeded, report.run(seeded)))


def cases() -> list[model.Scenario]:
    """Returns every scenario of the comparison."""
    found = []
    for make in (scenarios.low, scenarios.high):
        full = make()
        group = [scenarios.off(full), full]
        group += [scenarios.without(full, rule) for rule in scenarios.RULES]
        group += [
            make(name="trigger 0.5 s", trigger_s=0.5),
            make(name="trigger 60 s", trigger_s=60.0),
            scenarios.deep(make(name="depth 8"), 8),
            scenarios.many(full),
        ]
        found += [
            dataclasses.replace(each, name=f"{make.__name__}, {each.name}")
            for each in group
        ]
    for full, rule in (
        (scenarios.contended(), "adapt_limit"),
        (scenarios.cold(), "slow_start"),
        (scenarios.tight(), "check_deadlines"),
    ):
        ablated = scenarios.without(full, rule)
        name = f"{full.name}, {ablated.name}"
        found += [full, dataclasses.replace(ablated, name=name)]
    return found


if __name__ == "__main__":
    main()
