"""Prints the comparison of all scenarios as a Markdown table."""

import dataclasses

import click

from standins.study import model
from standins.study import report
from standins.study import scenarios


@click.command()
@click.option("--seeds", default=1, help="Number of seeds to run.")
@click.option(
    "--only",
    default="",
    help="Run only scenarios whose name contains this text.",
)
def main(seeds: int, only: str) -> None:
    """Runs the simulation and prints one row per scenario and seed."""
    click.echo(
        "| scenario | goodput | wasted | held | recovery s | critical | calm |"
    )
    click.echo("|---|---|---|---|---|---|---|")
    for scenario in build_comparison():
        if only not in scenario.name:
            continue
        for seed in range(1, seeds + 1):
            seeded = dataclasses.replace(scenario, seed=seed)
            click.echo(report.format_row(seeded, report.run_scenario(seeded)))


def build_comparison() -> list[model.Scenario]:
    """Returns every scenario of the comparison.

    The load scenarios run without control, with all rules, without each rule,
    with other trigger lengths and with larger topologies. The remaining pairs
    show rules whose effect those scenarios don't reveal.
    """
    comparison = []
    for make_scenario in (scenarios.low, scenarios.high):
        full = make_scenario()
        variants = [scenarios.without_control(full), full]
        variants += [
            scenarios.without_rule(full, rule) for rule in scenarios.RULES
        ]
        variants += [
            make_scenario(name="trigger 0.5 s", trigger_s=0.5),
            make_scenario(name="trigger 60 s", trigger_s=60.0),
            scenarios.with_depth(make_scenario(name="depth 8"), 8),
            scenarios.with_many_servers(full),
        ]
        comparison += [
            dataclasses.replace(
                variant, name=f"{make_scenario.__name__}, {variant.name}"
            )
            for variant in variants
        ]
    for full, rule in (
        (scenarios.contention(), "adapt_limit"),
        (scenarios.cold_start(), "slow_start"),
        (scenarios.tight_deadlines(), "check_deadlines"),
    ):
        ablated = scenarios.without_rule(full, rule)
        name = f"{full.name}, {ablated.name}"
        comparison += [full, dataclasses.replace(ablated, name=name)]
    return comparison


if __name__ == "__main__":
    main()
