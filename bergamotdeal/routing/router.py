"""Load balancing: selection of a server for each call."""

import random

from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import core
from bergamotdeal.routing import outliers
from bergamotdeal.routing import rendezvous
from bergamotdeal.routing import service_servers
from bergamotdeal.routing import spill
from bergamotdeal.rpc import core as rpc

_MAX_SUBSET_SIZE = 32
_SUBSET_SHARE_BY_TIER = (0.5, 0.75, 1.0)
_OUTLIER_CHECK_INTERVAL_S = 1.0
_MS_PER_S = 1000.0
_TIER_PENALTY = 0.4
"""Extra completion time, as a part of the mean run time, that is accepted to
stay one locality tier nearer."""

_SLOW_COMPLETION_FACTOR = 1.6
"""Expected completion time, in mean run times, above which the next tier is
sampled as well."""

_MIN_SLOW_START_WEIGHT = 0.1
_SAMPLES_PER_TIER = 2

_MAX_UNEVEN_SAMPLES = 8
"""Maximum samples per tier where speeds are uneven. Two samples are both slow
too often when one server in seven is slow at any moment."""

_GOOD_COMPLETION_FACTOR = 0.8
"""Expected completion time, in mean run times, up to which no further server
is sampled where speeds are uneven."""

_MAX_RESAMPLES = 4


class Router:
    """Load balancer with two random choices within a stable server subset.

    Args:
      policy: Routing policy of the preset in force.
      host_id: Id of this host; determines its subset of servers.
      data_centre: Data centre of this host.
      region: Region of this host.
      rng: Random source.
    """

    def __init__(
        self,
        *,
        policy: model.RoutingPolicy,
        host_id: str,
        data_centre: str,
        region: str,
        rng: random.Random,
    ):
        self._policy = policy
        self._host_id = host_id
        self._data_centre = data_centre
        self._region = region
        self._rng = rng
        self._targets_by_id: dict[str, core.Target] = {}
        self._services_by_name: dict[str, service_servers.ServiceServers] = {}
        self._new_outliers: list[str] = []
        self._spill_changes: list[tuple[str, bool]] = []

    def pop_new_outliers(self) -> list[str]:
        """Returns the host ids of new outliers since the last call."""
        new_outliers = self._new_outliers
        self._new_outliers = []
        return new_outliers

    def pop_spill_changes(self) -> list[tuple[str, bool]]:
        """Returns changes of the spill to other data centres.

        Returns:
          Services, and whether their calls began to spill or no longer do, in
          the order of the changes since the last call.
        """
        spill_changes = self._spill_changes
        self._spill_changes = []
        return spill_changes

    def explain_choice(
        self, host_id: str, now: float
    ) -> dict[str, int | float]:
        """Returns what is known of a server, as fields of an event.

        Args:
          host_id: Host of the server.
          now: Monotonic seconds.
        """
        target = self._targets_by_id.get(host_id)
        if target is None or target.load_report is None:
            return {}
        return {
            "load": round(target.projected_utilization(now), 2),
            "work_factor": round(target.work_factor(now), 2),
            "report_ms": int((now - target.reported_at) * _MS_PER_S),
        }

    def set_policy(self, policy: model.RoutingPolicy) -> None:
        """Applies the policy of a new preset."""
        changes_tiers = policy.prefer_near != self._policy.prefer_near
        self._policy = policy
        if changes_tiers:
            for name, service in self._services_by_name.items():
                members_by_id = service.members_by_id
                self._services_by_name[name] = self._build_service(
                    members_by_id, was_known=True
                )
            self._index_targets()

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Rebuilds changed services from the membership view.

        Args:
          members_by_id: Every known member by host id.
        """
        members_by_service: dict[str, dict[str, membership.Member]] = {}
        for host_id, member in members_by_id.items():
            if member.server is not None:
                service_members = members_by_service.setdefault(
                    member.server.service, {}
                )
                service_members[host_id] = member
        previous = self._services_by_name
        services: dict[str, service_servers.ServiceServers] = {}
        for name, service_members in members_by_service.items():
            service = previous.get(name)
            if service is None or service.members_by_id != service_members:
                was_known = service is not None and bool(service.targets)
                service = self._build_service(
                    service_members, was_known=was_known
                )
                if name in previous:
                    service.spill.inherit(previous[name].spill)
            services[name] = service
        self._services_by_name = services
        self._index_targets()

    def list_services(self) -> list[str]:
        """Returns the services of which a member announces a server."""
        return list(self._services_by_name)

    def select_server(
        self, service: str, *, exclude: frozenset[str], now: float
    ) -> str | None:
        """Selects a server for a call.

        Args:
          service: Service to call.
          exclude: Host ids that must not be selected.
          now: Monotonic seconds.

        Returns:
          A host id, or None if no server is available.
        """
        servers = self._services_by_name.get(service)
        if servers is None:
            return None
        self._check_outliers(servers, now)
        targets_by_tier = servers.targets_by_tier
        if self._policy.refusal_bytes and self._policy.prefer_near:
            targets_by_tier = self._select_data_centre(
                servers, is_resent=bool(exclude), now=now
            )
            is_spilling = servers.spill.pop_change(now)
            if is_spilling is not None:
                self._spill_changes.append((service, is_spilling))
        if exclude:
            targets_by_tier = [
                [each for each in tier if each.member.host_id not in exclude]
                for tier in targets_by_tier
            ]
        if self._policy.weigh_speed:
            target = self._select_by_completion(servers, targets_by_tier, now)
        else:
            target = self._select_by_utilization(targets_by_tier, now)
        if target is not None:
            return target.member.host_id
        return self._select_fallback(servers, exclude)

    def _select_data_centre(
        self,
        service: service_servers.ServiceServers,
        *,
        is_resent: bool,
        now: float,
    ) -> list[list[core.Target]]:
        """Returns the servers of one data centre by locality tier."""
        selected = service.spill.select_targets(
            refusal_bytes=self._policy.refusal_bytes,
            is_resent=is_resent,
            rng=self._rng,
            now=now,
        )
        targets_by_tier: list[list[core.Target]] = [
            [] for _ in range(service_servers.LOCALITY_TIERS)
        ]
        for target in selected:
            targets_by_tier[target.locality_tier].append(target)
        return targets_by_tier

    def record_call_size(self, service: str, size_bytes: int) -> None:
        """Records the bytes of a request and its answer.

        Args:
          service: Service that was called.
          size_bytes: Bytes of both bodies.
        """
        servers = self._services_by_name.get(service)
        if servers is not None:
            servers.spill.record_call_size(size_bytes)

    def select_server_by_hash(
        self, service: str, key: str, *, exclude: frozenset[str]
    ) -> str | None:
        """Selects the same server as every node with the same membership view.

        Args:
          service: Service to call.
          key: Key for rendezvous hashing, such as a user request id.
          exclude: Host ids that must not be selected.

        Returns:
          A host id, or None if no server is available.
        """
        servers = self._services_by_name.get(service)
        if servers is None:
            return None
        for digests in (
            servers.eligible_digests,
            servers.suspect_digests,
        ):
            candidates = digests
            if exclude:
                candidates = {
                    name: digest
                    for name, digest in digests.items()
                    if name not in exclude
                }
            if candidates:
                return rendezvous.select_name(key, candidates)
        return None

    def record_call_start(self, host_id: str, now: float) -> None:
        """Records that a call was sent to a server."""
        target = self._targets_by_id.get(host_id)
        if target is None:
            return
        target.in_flight += 1
        if target.first_call_at is None:
            target.first_call_at = now

    def record_call_end(
        self,
        host_id: str,
        *,
        latency_s: float | None,
        succeeded: bool,
        load: rpc.Load | None,
        now: float,
    ) -> None:
        """Records the end of a call to a server.

        Args:
          host_id: Host of the server.
          latency_s: Time from sending to completion, seconds; None for a
            refused call, because a fast refusal does not mean a fast server.
          succeeded: False if the server or its node caused a failure.
          load: Load reported in the answer, or None.
          now: Monotonic seconds.
        """
        target = self._targets_by_id.get(host_id)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        target.calls += 1
        target.ended_at = now
        failed = 0.0 if succeeded else 1.0
        weight = core.EWMA_WEIGHT
        target.failure_rate += weight * (failed - target.failure_rate)
        if succeeded and latency_s is not None:
            before = target.latency_s or latency_s
            target.latency_s = before + weight * (latency_s - before)
        if load is not None:
            target.load_report = load
            target.reported_at = now
            target.in_flight_at_report = target.in_flight

    def _index_targets(self) -> None:
        self._targets_by_id = {
            target.member.host_id: target
            for service in self._services_by_name.values()
            for target in service.targets
        }

    def _build_service(
        self, members_by_id: dict[str, membership.Member], *, was_known: bool
    ) -> service_servers.ServiceServers:
        service = service_servers.ServiceServers(members_by_id=members_by_id)
        for host_id, member in members_by_id.items():
            if member.state is membership.MemberState.ALIVE:
                service.eligible_digests[host_id] = rendezvous.digest(host_id)
            elif member.state is membership.MemberState.SUSPECT:
                service.suspect_digests[host_id] = rendezvous.digest(host_id)
        if len(service.suspect_digests) > len(service.eligible_digests):
            # Mass suspicion more likely indicates a fault of this node.
            service.eligible_digests.update(service.suspect_digests)
            service.suspect_digests.clear()
        self._select_subset(service, was_known=was_known)
        return service

    def _select_subset(
        self, service: service_servers.ServiceServers, *, was_known: bool
    ) -> None:
        digests_by_tier: list[dict[str, int]] = [
            {} for _ in range(service_servers.LOCALITY_TIERS)
        ]
        for host_id, digest in service.eligible_digests.items():
            tier = self._locality_tier(service.members_by_id[host_id])
            digests_by_tier[tier][host_id] = digest
        for tier, share in enumerate(_SUBSET_SHARE_BY_TIER):
            remaining_size = int(_MAX_SUBSET_SIZE * share) - len(
                service.targets
            )
            candidates = rendezvous.rank_names(
                self._host_id, digests_by_tier[tier], remaining_size
            )
            for host_id in candidates:
                member = service.members_by_id[host_id]
                target = self._get_or_create_target(
                    member, tier, was_known=was_known
                )
                service.targets.append(target)
                service.targets_by_tier[tier].append(target)
        near, *far = service.targets_by_tier
        service.spill = spill.SpillController(
            near=near, far=[target for tier in far for target in tier]
        )

    def _get_or_create_target(
        self, member: membership.Member, tier: int, *, was_known: bool
    ) -> core.Target:
        previous = self._targets_by_id.get(member.host_id)
        if (
            previous is not None
            and previous.member.incarnation == member.incarnation
        ):
            previous.member = member
            previous.locality_tier = tier
            return previous
        return core.Target(member=member, locality_tier=tier, is_new=was_known)

    def _locality_tier(self, member: membership.Member) -> int:
        if not self._policy.prefer_near:
            return 0
        if member.data_centre == self._data_centre:
            return 0
        return 1 if member.region == self._region else 2

    def _select_by_utilization(
        self, targets_by_tier: list[list[core.Target]], now: float
    ) -> core.Target | None:
        """Returns the less utilized of two servers of the nearest usable tier.

        If the better of the two sampled servers exceeds the utilization that
        the policy allows, the next tier is sampled as well. The least utilized
        server of all samples is returned.
        """
        best: core.Target | None = None
        best_utilization = 0.0
        for targets in targets_by_tier:
            if not targets:
                continue
            for _ in range(_SAMPLES_PER_TIER):
                target = self._sample(targets, now)
                utilization = target.projected_utilization(now)
                if best is None or utilization < best_utilization:
                    best = target
                    best_utilization = utilization
            if best_utilization <= self._policy.spill_share:
                break
        return best

    def _select_by_completion(
        self,
        service: service_servers.ServiceServers,
        targets_by_tier: list[list[core.Target]],
        now: float,
    ) -> core.Target | None:
        """Returns the sampled server with the earliest expected completion.

        Two servers of a tier are sampled, and more where speeds are uneven and
        all of them are slow. Not all servers are compared, because nodes with
        reports of the same age would all choose the same one. A farther tier
        is sampled only if the best server so far exceeds the utilization that
        the policy allows or is much slower than the mean.
        """
        best: core.Target | None = None
        best_completion = best_utilization = 0.0
        for tier, targets in enumerate(targets_by_tier):
            if not targets:
                continue
            tier_penalty = 1.0 + _TIER_PENALTY * tier
            samples = min(_SAMPLES_PER_TIER, len(targets))
            max_samples = (
                min(_MAX_UNEVEN_SAMPLES, len(targets))
                if service.has_uneven_speeds
                else samples
            )
            good_completion = _GOOD_COMPLETION_FACTOR * tier_penalty
            for sample in range(max_samples):
                if sample >= samples and best_completion <= good_completion:
                    break
                target = self._sample(targets, now)
                utilization = target.projected_utilization(now)
                completion = tier_penalty * target.expected_completion(
                    utilization,
                    service.mean_run_ms,
                    now=now,
                    has_uneven_speeds=service.has_uneven_speeds,
                )
                if best is None or completion < best_completion:
                    best, best_completion, best_utilization = (
                        target,
                        completion,
                        utilization,
                    )
            is_slow = best_completion > _SLOW_COMPLETION_FACTOR * tier_penalty
            if best_utilization <= self._policy.spill_share and not is_slow:
                break
        return best

    def _sample(self, targets: list[core.Target], now: float) -> core.Target:
        target = self._sample_uniformly(targets)
        for _ in range(_MAX_RESAMPLES):
            weight = self._weight(target, now)
            if weight >= 1.0 or self._rng.random() < weight:
                break
            target = self._sample_uniformly(targets)
        return target

    def _sample_uniformly(self, targets: list[core.Target]) -> core.Target:
        # random.choice is several times slower, and each call samples twice.
        return targets[int(self._rng.random() * len(targets))]

    def _weight(self, target: core.Target, now: float) -> float:
        if target.is_outlier:
            return self._policy.outlier_weight
        if not target.is_new:
            return 1.0
        if target.first_call_at is None:
            return _MIN_SLOW_START_WEIGHT
        slow_start_s = self._policy.slow_start_ms / _MS_PER_S
        age_share = (now - target.first_call_at) / slow_start_s
        if age_share >= 1.0:
            target.is_new = False
            return 1.0
        return max(_MIN_SLOW_START_WEIGHT, age_share)

    def _check_outliers(
        self, service: service_servers.ServiceServers, now: float
    ) -> None:
        if now < service.next_outlier_check:
            return
        service.next_outlier_check = now + _OUTLIER_CHECK_INTERVAL_S
        for target in service.targets:
            target.expire_report(now)
        service.update_speeds()
        self._new_outliers += outliers.update_outliers(
            service.targets, self._policy, now
        )

    def _select_fallback(
        self, service: service_servers.ServiceServers, exclude: frozenset[str]
    ) -> str | None:
        for host_ids in (
            service.eligible_digests,
            service.suspect_digests,
        ):
            candidates = [name for name in host_ids if name not in exclude]
            if candidates:
                return self._rng.choice(candidates)
        return None
