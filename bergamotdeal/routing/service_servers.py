"""Servers of one service, as a node sees them."""

from bergamotdeal.membership import core as membership
from bergamotdeal.routing import core
from bergamotdeal.routing import spill

LOCALITY_TIERS = 3


class ServiceServers:
    """Servers of one service and the subset that this node uses.

    Attributes:
      members_by_id: All members that announce the service, by host id.
      eligible_digests: Rendezvous digests of the members eligible for
        selection, by host id.
      suspect_digests: Rendezvous digests of suspected members, which are
        used only as a fallback, by host id.
      targets: Subset of servers that this node uses.
      targets_by_tier: The same servers by locality tier.
      next_outlier_check: Time of the next outlier detection, monotonic
        seconds.
      mean_run_ms: Mean run time of the servers, milliseconds; zero when
        unknown.
      spill: Spill of calls to other data centres.
      has_uneven_speeds: Whether servers report that their speed differs from
        the usual one.
    """

    def __init__(self, *, members_by_id: dict[str, membership.Member]):
        self.members_by_id = members_by_id
        self.eligible_digests: dict[str, int] = {}
        self.suspect_digests: dict[str, int] = {}
        self.targets: list[core.Target] = []
        self.targets_by_tier: list[list[core.Target]] = [
            [] for _ in range(LOCALITY_TIERS)
        ]
        self.spill = spill.SpillController(near=[], far=[])
        self.next_outlier_check = 0.0
        self.mean_run_ms = 0.0
        self.has_uneven_speeds = False

    def update_speeds(self) -> None:
        """Summarizes the run times and speeds that the servers report."""
        self.has_uneven_speeds = any(
            each.load_report is not None and each.load_report.work_factor != 1.0
            for each in self.targets
        )
        reported_ms = [
            ms for ms in (each.run_ms() for each in self.targets) if ms > 0
        ]
        self.mean_run_ms = (
            sum(reported_ms) / len(reported_ms) if reported_ms else 0.0
        )
