"""Runs a node whose entry takes the organisation of a request from a header.

The preset of the settings gets one organisation with a cap. Tests of caps use
this in place of keys.
"""

import dataclasses
import os

from bergamotdeal import __main__ as program
from bergamotdeal.calls import intake
from bergamotdeal.presets import files
from bergamotdeal.presets import model

ORGANISATION_HEADER = "x-standin-organisation"
ORGANISATION = "acme"
RATE_VARIABLE = "STANDIN_CAP_RATE"
BURST_VARIABLE = "STANDIN_CAP_BURST"


def _add_cap(preset: model.Preset | None) -> model.Preset | None:
    organisation = model.Organisation(
        name=ORGANISATION,
        rate_per_s=float(os.environ[RATE_VARIABLE]),
        burst=float(os.environ[BURST_VARIABLE]),
    )
    return preset and dataclasses.replace(preset, organisations=(organisation,))


def main() -> None:
    """Runs ``bergamotdeal`` with the organisation of the header."""
    open_exchange = intake.Intake.open
    read_optional = files.read_optional

    def open_with_organisation(self, event):
        exchange = open_exchange(self, event)
        for name, value in event.request.headers:
            if name.lower() == ORGANISATION_HEADER:
                exchange.organisation = value
        return exchange

    intake.Intake.open = open_with_organisation
    files.read_optional = lambda name: read_optional(name).map(_add_cap)
    program.run()


if __name__ == "__main__":
    main()
