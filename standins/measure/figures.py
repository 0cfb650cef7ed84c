"""Figures of a benchmark run, their targets and the report of them."""

import dataclasses
import enum
import json
import pathlib


class Bound(enum.Enum):
    """Side of its target on which a figure has to lie."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
      name: Name of the measured quantity.
      variant: Configuration, load or fleet size of the measurement.
      value: Measured value in ``unit``, or None when the run yielded none.
      unit: Unit of value and target.
      target: Target in ``unit``, or None for a figure without a target.
      bound: Side of the target on which the value has to lie.
      note: Explanation for the reader, such as the likely cause of a missed
        target.
    """

    name: str
    variant: str = "control on"
    value: float | None
    unit: str
    target: float | None = None
    bound: Bound = Bound.AT_MOST
    note: str = ""

    @property
    def meets_target(self) -> bool | None:
        """Whether the value meets the target, or None without a target.

        A figure with a target and no value misses it.
        """
        if self.target is None:
            return None
        if self.value is None:
            return False
        match self.bound:
            case Bound.AT_LEAST:
                return self.value >= self.target
            case Bound.AT_MOST:
                return self.value <= self.target


@dataclasses.dataclass(kw_only=True)
class Report:
    """Report of a benchmark run.

    Attributes:
      conditions: Machine, sizes and durations of the run, by name.
      figures: Figures in the order of measurement.
    """

    conditions: dict[str, str] = dataclasses.field(default_factory=dict)
    figures: list[Figure] = dataclasses.field(default_factory=list)

    def add(self, name: str, value: float | None, unit: str, **fields) -> None:
        """Adds a figure, its value rounded to six decimals.

        Args:
          name: Name of the measured quantity.
          value: Measured value, or None when the run yielded none.
          unit: Unit of the value and of the target.
          **fields: Further fields of ``Figure``.
        """
        if value is not None:
            value = round(value, _DECIMALS)
        self.figures.append(Figure(name=name, value=value, unit=unit, **fields))

    def find_value(self, name: str, variant: str) -> float | None:
        """Returns the value of a figure, or None when it was not measured."""
        for figure in self.figures:
            if (figure.name, figure.variant) == (name, variant):
                return figure.value
        return None

    def write(self, directory: pathlib.Path) -> None:
        """Writes ``measure.json`` and ``measure.txt`` into a directory."""
        directory.mkdir(parents=True, exist_ok=True)
        (directory / "measure.json").write_text(self.to_json())
        (directory / "measure.txt").write_text(self.to_text())

    def to_json(self) -> str:
        """Renders the report as JSON."""
        rows = []
        for figure in self.figures:
            row = {
                "figure": figure.name,
                "variant": figure.variant,
                "value": figure.value,
                "unit": figure.unit,
                "target": figure.target,
                "bound": figure.bound.value,
                "met": figure.meets_target,
                "note": figure.note,
            }
            rows.append(row)
        content = {
            "conditions": self.conditions,
            "figures": rows,
        }
        return json.dumps(content, indent=1) + "\n"

    def to_text(self) -> str:
        """Renders the report as text: conditions, table, missed targets."""
        lines = [f"{name}: {value}" for name, value in self.conditions.items()]
        lines += ["", _HEADER]
        lines += [_format_row(figure) for figure in self.figures]
        missed = [
            figure for figure in self.figures if figure.meets_target is False
        ]
        lines += ["", f"Missed targets: {len(missed)}"]
        for figure in missed:
            lines.append(f"  {figure.name} ({figure.variant}): {figure.note}")
        return "\n".join(lines) + "\n"


def read_report(path: pathlib.Path) -> Report:
    """Reads a report from ``measure.json``."""
    content = json.loads(path.read_text())
    return Report(
        conditions=content["conditions"],
        figures=[
            Figure(
                name=row["figure"],
                variant=row["variant"],
                value=row["value"],
                unit=row["unit"],
                target=row["target"],
                bound=Bound(row["bound"]),
                note=row["note"],
            )
            for row in content["figures"]
        ],
    )


_DECIMALS = 6
_HEADER = (
    f"{'figure':<44} {'variant':<26} {'value':>12} {'unit':<14} "
    f"{'target':>12} met"
)


def _format_row(figure: Figure) -> str:
    value = "none" if figure.value is None else f"{figure.value:g}"
    target = ""
    if figure.target is not None:
        operator = ">=" if figure.bound is Bound.AT_LEAST else "<="
        target = f"{operator} {figure.target:g}"
    verdict = {True: "yes", False: "NO", None: ""}[figure.meets_target]
    return (
        f"{figure.name:<44} {figure.variant:<26} {value:>12} "
        f"{figure.unit:<14} {target:>12} {verdict}"
    ).rstrip()
