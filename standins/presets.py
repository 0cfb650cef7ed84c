"""Presets of the demo and the measures, with control on and off."""

SERVICES = ("kitview", "feederdesk", "stencilhub", "orderline")

_ROUTES = """
[route {service} GET /kits]
class = browse
repeatable = yes
[route {service} POST /reservations]
class = critical
repeatable = no
[service {service}]
accepts_cancellation = yes
"""

_OFF = """
[admission]
limits = no
adapt_limit = no
class_order = no
consistent_hash = no
feedback = no
slow_start = no
check_deadlines = no
[retries]
allowance = 0
[quarantine]
enabled = no
"""


def build_controlled_preset(services: tuple[str, ...] = SERVICES) -> str:
    """Returns the preset with every rule in force.

    Args:
      services: Services of the chain.
    """
    routes = "".join(_ROUTES.format(service=name) for name in services)
    return f"[preset]\nname = ordinary\n{routes}"


def build_baseline_preset(services: tuple[str, ...] = SERVICES) -> str:
    """Returns the baseline: no limits, no shedding, no re-sends by nodes.

    The services retry by themselves at each level then; see the ``--tries``
    option of the stand-in server.

    Args:
      services: Services of the chain.
    """
    return (
        build_controlled_preset(services).replace("ordinary", "baseline") + _OFF
    )
