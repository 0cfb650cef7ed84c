"""Presets of the demo and the benchmarks, with overload control on or off."""

SERVICES = ("kitview", "feederdesk", "stencilhub", "orderline")

_SERVICE_TEMPLATE = """
[route {service} GET /kits]
class = browse
repeatable = yes
[route {service} POST /reservations]
class = critical
repeatable = no
[service {service}]
accepts_cancellation = yes
"""

_CONTROL_OFF = """
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
    """Builds the preset with overload control on.

    Args:
      services: Names of the services of the chain.

    Returns:
      The preset in INI.
    """
    routes = "".join(
        _SERVICE_TEMPLATE.format(service=name) for name in services
    )
    return f"[preset]\nname = ordinary\n{routes}"


def build_baseline_preset(services: tuple[str, ...] = SERVICES) -> str:
    """Builds the baseline preset: no limits, no shedding, no retries by nodes.

    Without retries by the nodes, the services retry at each level; see the
    ``--tries`` option of the simulated server.

    Args:
      services: Names of the services of the chain.

    Returns:
      The preset in INI.
    """
    return (
        build_controlled_preset(services).replace("ordinary", "baseline")
        + _CONTROL_OFF
    )
