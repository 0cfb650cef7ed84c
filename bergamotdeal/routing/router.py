"""The choice of a server for each call."""

import random

from bergamotdeal.calls import core as calls
from bergamotdeal.membership import core as membership
from bergamotdeal.presets import model
from bergamotdeal.routing import core
from bergamotdeal.routing import outliers
from bergamotdeal.routing import rendezvous

_RINGS = 3
_SUBSET_MAX = 32
_RING_SHARES = (0.5, 0.75, 1.0)
_OUTLIER_PERIOD_S = 1.0
_MS_PER_S = 1000.0
_RING_PENALTY = 0.15
"""Part of the usual run time that a call may lose to stay one ring nearer."""

_SLOW_FACTOR = 1.6
"""Expected time, in usual run times, above which farther servers are asked."""
_SLOW_START_FLOOR = 0.1
_CHOICES = 2
_REDRAWS = 4


class _Service:
    """The servers of one service.

    Attributes:
      members_by_id: All its members by host id.
      usable: Digests by host id of the members to choose from.
      suspects: Digests by host id of the members to avoid.
      targets: The subset that this node uses.
      targets_by_ring: The same by distance.
      outliers_due: Time of the next search for outliers, monotonic seconds.
      usual_ms: Usual run time of its servers, zero when unknown.
    """

    def __init__(self, *, members_by_id: dict[str, membership.Member]):
        self.members_by_id = members_by_id
        self.usable: dict[str, int] = {}
        self.suspects: dict[str, int] = {}
        self.targets: list[core.Target] = []
        self.targets_by_ring: list[list[core.Target]] = [
            [] for _ in range(_RINGS)
        ]
        self.outliers_due = 0.0
        self.usual_ms = 0.0

    def note_usual(self) -> None:
        """Takes the mean of the run times that the servers report."""
        told = [ms for ms in (each.run_ms() for each in self.targets) if ms > 0]
        self.usual_ms = sum(told) / len(told) if told else 0.0


class Router:
    """Chooses by two random choices within a stable subset of servers."""

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
        self._services_by_name: dict[str, _Service] = {}
        self._found_outliers: list[str] = []

    def pop_new_outliers(self) -> list[str]:
        """Returns the hosts that became outliers since the last time."""
        found = self._found_outliers
        self._found_outliers = []
        return found

    def set_policy(self, policy: model.RoutingPolicy) -> None:
        """Takes the policy of a new preset."""
        changes_rings = policy.prefer_near != self._policy.prefer_near
        self._policy = policy
        if changes_rings:
            for name, service in self._services_by_name.items():
                members_by_id = service.members_by_id
                self._services_by_name[name] = self._service(
                    members_by_id, was_known=True
                )
            self._index_targets()

    def update_members(
        self, members_by_id: dict[str, membership.Member]
    ) -> None:
        """Takes the membership view.

        Args:
          members_by_id: Every known member by host id.
        """
        groups: dict[str, dict[str, membership.Member]] = {}
        for host_id, member in members_by_id.items():
            if member.server is not None:
                group = groups.setdefault(member.server.service, {})
                group[host_id] = member
        old = self._services_by_name
        services: dict[str, _Service] = {}
        for name, group in groups.items():
            service = old.get(name)
            if service is None or service.members_by_id != group:
                was_known = service is not None and bool(service.targets)
                service = self._service(group, was_known=was_known)
            services[name] = service
        self._services_by_name = services
        self._index_targets()

    def has_service(self, service: str) -> bool:
        """Tells whether any member announces a server of the service."""
        return service in self._services_by_name

    def select_server(
        self, service: str, *, exclude: frozenset[str], now: float
    ) -> str | None:
        """Chooses a server for a call.

        Args:
          service: Service to call.
          exclude: Host ids that are not to be chosen.
          now: Monotonic seconds.

        Returns:
          A host id, or None when no server is left.
        """
        known = self._services_by_name.get(service)
        if known is None:
            return None
        self._refresh_outliers(known, now)
        targets_by_ring = known.targets_by_ring
        if exclude:
            targets_by_ring = [
                [each for each in ring if each.member.host_id not in exclude]
                for ring in targets_by_ring
            ]
        if self._policy.weigh_speed:
            target = self._pick_soonest(targets_by_ring, known.usual_ms, now)
        else:
            target = self._pick(targets_by_ring, now)
        if target is not None:
            return target.member.host_id
        return self._fallback(known, exclude)

    def select_server_by_hash(
        self, service: str, key: str, *, exclude: frozenset[str]
    ) -> str | None:
        """Chooses the server that every node with the same view chooses.

        Args:
          service: Service to call.
          key: What the choice depends on, such as a user request id.
          exclude: Host ids that are not to be chosen.
        """
        known = self._services_by_name.get(service)
        if known is None:
            return None
        for digests in (known.usable, known.suspects):
            names = digests
            if exclude:
                names = {
                    name: digest
                    for name, digest in digests.items()
                    if name not in exclude
                }
            if names:
                return rendezvous.best(key, names)
        return None

    def record_call_start(self, host_id: str, now: float) -> None:
        """Notes that a call was sent to a server."""
        target = self._targets_by_id.get(host_id)
        if target is None:
            return
        target.in_flight += 1
        if target.first_chosen is None:
            target.first_chosen = now

    def record_call_end(
        self,
        host_id: str,
        *,
        latency_s: float | None,
        succeeded: bool,
        load: calls.Load | None,
        now: float,
    ) -> None:
        """Notes that a call to a server ended.

        Args:
          host_id: The server's host.
          latency_s: Time from the sending to the end, seconds; None when the
            call was refused, as a quick refusal makes no server quick.
          succeeded: False when the server or its node is to blame.
          load: Load that the answer carried, or None.
          now: Monotonic seconds.
        """
        target = self._targets_by_id.get(host_id)
        if target is None:
            return
        target.in_flight = max(0, target.in_flight - 1)
        target.calls += 1
        failed = 0.0 if succeeded else 1.0
        weight = core.LATENCY_WEIGHT
        target.failure_share += weight * (failed - target.failure_share)
        if succeeded and latency_s is not None:
            before = target.latency_s or latency_s
            target.latency_s = before + weight * (latency_s - before)
        if load is not None:
            target.reported = load
            target.reported_at = now
            target.in_flight_at_report = target.in_flight

    def _index_targets(self) -> None:
        self._targets_by_id = {
            target.member.host_id: target
            for service in self._services_by_name.values()
            for target in service.targets
        }

    def _service(
        self, members_by_id: dict[str, membership.Member], *, was_known: bool
    ) -> _Service:
        service = _Service(members_by_id=members_by_id)
        for host_id, member in members_by_id.items():
            if member.state is membership.MemberState.ALIVE:
                service.usable[host_id] = rendezvous.digest(host_id)
            elif member.state is membership.MemberState.SUSPECT:
                service.suspects[host_id] = rendezvous.digest(host_id)
        if len(service.suspects) > len(service.usable):
            # Mass suspicion says more about this node than about them.
            service.usable.update(service.suspects)
            service.suspects.clear()
        self._fill(service, was_known=was_known)
        return service

    def _fill(self, service: _Service, *, was_known: bool) -> None:
        digests_by_ring: list[dict[str, int]] = [{} for _ in range(_RINGS)]
        for host_id, digest in service.usable.items():
            ring = self._ring(service.members_by_id[host_id])
            digests_by_ring[ring][host_id] = digest
        for ring, share in enumerate(_RING_SHARES):
            room = int(_SUBSET_MAX * share) - len(service.targets)
            names = rendezvous.ranked(
                self._host_id, digests_by_ring[ring], room
            )
            for host_id in names:
                member = service.members_by_id[host_id]
                target = self._target(member, ring, was_known=was_known)
                service.targets.append(target)
                service.targets_by_ring[ring].append(target)

    def _target(
        self, member: membership.Member, ring: int, *, was_known: bool
    ) -> core.Target:
        old = self._targets_by_id.get(member.host_id)
        if old is not None and old.member.incarnation == member.incarnation:
            old.member = member
            old.ring = ring
            return old
        return core.Target(member=member, ring=ring, is_new=was_known)

    def _ring(self, member: membership.Member) -> int:
        if not self._policy.prefer_near:
            return 0
        if member.data_centre == self._data_centre:
            return 0
        return 1 if member.region == self._region else 2

    def _pick(
        self, targets_by_ring: list[list[core.Target]], now: float
    ) -> core.Target | None:
        """Returns the better of two servers of the nearest ring with room.

        A ring spills by what is sampled: when the better of its two servers
        is fuller than the policy allows, the next ring is sampled as well,
        and the least filled server of all rings sampled is taken.
        """
        best: core.Target | None = None
        best_score = 0.0
        for targets in targets_by_ring:
            if not targets:
                continue
            for _ in range(_CHOICES):
                target = self._draw(targets, now)
                score = target.score(now)
                if best is None or score < best_score:
                    best = target
                    best_score = score
            if best_score <= self._policy.spill_share:
                break
        return best

    def _pick_soonest(
        self,
        targets_by_ring: list[list[core.Target]],
        usual_ms: float,
        now: float,
    ) -> core.Target | None:
        """Returns the server among some at random that ends a call soonest.

        A nearer ring is left only if its sampled servers are fuller than the
        policy allows, or much slower than usual.
        """
        best: core.Target | None = None
        best_finish = best_fill = 0.0
        for ring, targets in enumerate(targets_by_ring):
            if not targets:
                continue
            distance = 1.0 + _RING_PENALTY * ring
            for _ in range(min(_CHOICES, len(targets))):
                target = self._draw(targets, now)
                fill = target.score(now)
                finish = distance * target.finish(fill, usual_ms)
                if best is None or finish < best_finish:
                    best, best_finish, best_fill = target, finish, fill
            is_slow = best_finish > _SLOW_FACTOR * distance
            if best_fill <= self._policy.spill_share and not is_slow:
                break
        return best

    def _draw(self, targets: list[core.Target], now: float) -> core.Target:
        target = self._any_of(targets)
        for _ in range(_REDRAWS):
            weight = self._weight(target, now)
            if weight >= 1.0 or self._rng.random() < weight:
                break
            target = self._any_of(targets)
        return target

    def _any_of(self, targets: list[core.Target]) -> core.Target:
        # choice() takes several times as long, and each call draws twice.
        return targets[int(self._rng.random() * len(targets))]

    def _weight(self, target: core.Target, now: float) -> float:
        if target.is_outlier:
            return self._policy.outlier_weight
        if not target.is_new:
            return 1.0
        if target.first_chosen is None:
            return _SLOW_START_FLOOR
        slow_start_s = self._policy.slow_start_ms / _MS_PER_S
        age = (now - target.first_chosen) / slow_start_s
        if age >= 1.0:
            target.is_new = False
            return 1.0
        return max(_SLOW_START_FLOOR, age)

    def _refresh_outliers(self, service: _Service, now: float) -> None:
        if now < service.outliers_due:
            return
        service.outliers_due = now + _OUTLIER_PERIOD_S
        service.note_usual()
        self._found_outliers += outliers.mark(service.targets, self._policy)

    def _fallback(
        self, service: _Service, exclude: frozenset[str]
    ) -> str | None:
        for host_ids in (service.usable, service.suspects):
            names = [name for name in host_ids if name not in exclude]
            if names:
                return self._rng.choice(names)
        return None
