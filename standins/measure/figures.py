"""Figures of a measuring run, their targets and the table of them."""

import dataclasses
import enum
import json
import pathlib


class Bound(enum.Enum):
    """On which side of its target a figure has to lie."""

    AT_LEAST = "at least"
    AT_MOST = "at most"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Figure:
    """One measured figure.

    Attributes:
      name: What was measured.
      variant: Under which rules or at which size.
      value: The value, or None when the run gave none.
      unit: Unit of value and target.
      target: Value to reach, or None for a figure without a target.
      bound: On which side of the target the value has to lie.
      note: What a reader has to know, such as the next cause of a miss.
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
        """Whether the target is met, or None without a target."""
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
    """All figures of a run.

    Attributes:
      conditions: Machine, sizes and durations of the run, by name.
      figures: The figures, in the order taken.
      profile: The profile's top lines.
    """

    conditions: dict[str, str] = dataclasses.field(default_factory=dict)
    figures: list[Figure] = dataclasses.field(default_factory=list)
    profile: list[str] = dataclasses.field(default_factory=list)

    def add(self, name: str, value: float | None, unit: str, **rest) -> None:
        """Adds a figure; ``rest`` are further fields of ``Figure``."""
        if value is not None:
            value = round(value, _DECIMALS)
        self.figures.append(Figure(name=name, value=value, unit=unit, **rest))

    def find_value(self, name: str, variant: str) -> float | None:
        """Returns the value of a figure, or None when it was not taken."""
        for figure in self.figures:
            if (figure.name, figure.variant) == (name, variant):
                return figure.value
        return None

    def write(self, folder: pathlib.Path) -> None:
        """Writes ``measure.json`` and ``measure.txt``."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "measure.json").write_text(self.to_json())
        (folder / "measure.txt").write_text(self.to_text())

    def to_json(self) -> str:
        """Returns the report as JSON."""
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
            "profile": self.profile,
        }
        return json.dumps(content, indent=1) + "\n"

    def to_text(self) -> str:
        """Returns the report as a table."""
        lines = [f"{name}: {value}" for name, value in self.conditions.items()]
        lines += ["", _HEAD]
        lines += [_row(figure) for figure in self.figures]
        missed = [
            figure for figure in self.figures if figure.meets_target is False
        ]
        lines += ["", f"Missed targets: {len(missed)}"]
        for figure in missed:
            lines.append(f"  {figure.name} ({figure.variant}): {figure.note}")
        if self.profile:
            lines += ["", "Profile of an entry node, by own time:"]
            lines += self.profile
        return "\n".join(lines) + "\n"


def read_report(path: pathlib.Path) -> Report:
    """Reads a report from ``measure.json``."""
    content = json.loads(path.read_text())
    return Report(
        conditions=content["conditions"],
        profile=content["profile"],
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
_HEAD = (
    f"{'figure':<44} {'variant':<26} {'value':>12} {'unit':<14} "
    f"{'target':>12} met"
)


def _row(figure: Figure) -> str:
    value = "none" if figure.value is None else f"{figure.value:g}"
    target = ""
    if figure.target is not None:
        sign = ">=" if figure.bound is Bound.AT_LEAST else "<="
        target = f"{sign} {figure.target:g}"
    met = {True: "yes", False: "NO", None: ""}[figure.meets_target]
    return (
        f"{figure.name:<44} {figure.variant:<26} {value:>12} "
        f"{figure.unit:<14} {target:>12} {met}"
    ).rstrip()
