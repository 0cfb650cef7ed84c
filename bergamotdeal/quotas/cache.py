"""The entry's side of caps: tokens held, requests waiting for one, fetches.

A token is valid until its lifetime has passed since the request for it was
sent, so that neither a late grant nor a process that was stopped uses a token
after the bucket owner regards it as expired.
"""

from collections.abc import Callable
import enum
import heapq
import random

import msgspec

from bergamotdeal.quotas import account as account_state
from bergamotdeal.quotas import core
from bergamotdeal.quotas import hosts
from bergamotdeal.quotas import messages
from bergamotdeal.quotas import peers as owner_peers
from bergamotdeal.routing import rendezvous

MAX_WAITING = 256
"""Maximum number of requests that wait for a token of one organisation."""

WAIT_S = 0.1
"""Longest wait of a request for a token."""

AHEAD_S = 0.25
"""Time for which an entry fetches tokens ahead of its need."""

MAX_RETRY_AFTER_S = 30.0
PLACEMENT_AGE_S = 1.0
"""Minimum time between two updates of an entry's list of bucket owners.
Ranking all hosts takes a millisecond in a large fleet."""

REFUSED_PLACEMENT_AGE_S = 0.1
"""The same while a host of the list says that it isn't an owner."""

_MS_PER_S = 1000


class Refusal(enum.Enum):
    """Reason for which a request gets no token."""

    EXCEEDED = "exceeded"  # All buckets are empty.
    UNREACHABLE = "unreachable"  # A bucket owner doesn't answer.


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """A token for one request.

    Attributes:
      digest: Digest of the organisation's name.
      expires_at: Time of expiry on the clock that counts suspended time.
    """

    digest: int
    expires_at: float


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a request for a token.

    Attributes:
      origin_id: Number of the request.
      token: The token, or None if the request is refused.
      refusal: Reason of the refusal, or None.
      retry_after_s: Seconds after which a token is expected for a refused
        caller.
      reason: Description of the refusal.
    """

    origin_id: int
    token: Token | None = None
    refusal: Refusal | None = None
    retry_after_s: float = 0.0
    reason: str = ""


SendRequest = Callable[[str, int, messages.Want], None]


class TokenCache:
    """Tokens of an entry and the requests that wait for them.

    Args:
      counted: The hosts among which the parts of caps are divided.
      rng: Random number generator.
      send: Called with an owner's host, a number and the tokens wanted. The
        number is used for one organisation only.

    Attributes:
      expired_count: Number of tokens that expired unused.
      verdicts: Results since the last ``take_verdicts``.
    """

    def __init__(
        self,
        *,
        counted: hosts.CountedHosts,
        rng: random.Random,
        send: SendRequest,
    ):
        self._counted = counted
        self._rng = rng
        self._send = send
        self._caps: core.CapTable | None = None
        self._accounts_by_digest: dict[int, account_state.Account] = {}
        self._accounts_by_origin: dict[int, account_state.Account] = {}
        self._accounts_by_number: dict[int, account_state.Account] = {}
        self._peers = owner_peers.OwnerPeers()
        self._timers: list[tuple[float, int]] = []
        # A grant to an earlier process on this host must not match.
        self._number = rng.getrandbits(31)
        self.expired_count = 0
        self.verdicts: list[Verdict] = []

    def set_caps(self, caps: core.CapTable) -> None:
        """Applies the caps of a new preset."""
        self._caps = caps
        for account in list(self._accounts_by_digest.values()):
            account.placed_at = float("-inf")
            account.version = -1
            is_idle = not account.waiting and not account.fetches_by_number
            if account.digest not in caps.caps_by_digest and is_idle:
                del self._accounts_by_digest[account.digest]

    def take_verdicts(self) -> list[Verdict]:
        """Returns and clears the results of requests."""
        verdicts, self.verdicts = self.verdicts, []
        return verdicts

    def request(self, origin_id: int, digest: int, now: float) -> None:
        """Asks for a token; the verdict may come at once or later.

        Args:
          origin_id: Number of the request.
          digest: Digest of the organisation's name.
          now: Time in seconds on the clock that counts suspended time.
        """
        if self._caps is None or digest not in self._caps.caps_by_digest:
            token = Token(digest=digest, expires_at=now)
            self.verdicts.append(Verdict(origin_id=origin_id, token=token))
            return
        account = self._accounts_by_digest.get(digest)
        if account is None:
            account = account_state.Account(digest=digest, now=now)
            self._accounts_by_digest[digest] = account
        account.requests += 1
        account.demand.add(1, now)
        account.waiting[origin_id] = now + WAIT_S
        self._accounts_by_origin[origin_id] = account
        self._advance(account, now)
        if len(account.waiting) > MAX_WAITING:
            self._refuse(account, origin_id, Refusal.EXCEEDED, now)
        elif origin_id in account.waiting:
            heapq.heappush(self._timers, (now + WAIT_S, 0))

    def cancel(self, origin_id: int) -> None:
        """Ends the wait of a request whose caller has disconnected."""
        account = self._accounts_by_origin.pop(origin_id, None)
        if account is not None:
            account.waiting.pop(origin_id, None)

    def refund(self, token: Token, now: float) -> None:
        """Takes back the token of a request that reached no server."""
        account = self._accounts_by_digest.get(token.digest)
        if account is not None and now < token.expires_at:
            heapq.heappush(account.held, (token.expires_at, 1))
            self._advance(account, now)

    def handle_grant(self, message: messages.TokenGrant, now: float) -> None:
        """Handles the answer of a bucket owner.

        Args:
          message: The answer.
          now: Time in seconds on the clock that counts suspended time.
        """
        account = self._accounts_by_number.pop(message.number, None)
        if account is None:
            return  # A duplicate would copy the tokens.
        fetch = account.fetches_by_number.pop(message.number)
        self._peers.record_answer(fetch.owner_id, now - fetch.sent_at, now)
        grant = next(
            (item for item in message.grants if item.digest == fetch.digest),
            None,
        )
        if grant is not None and grant.is_owner:
            self._apply_grant(account, fetch, grant, now)
        else:
            view = account.views_by_owner.setdefault(
                fetch.owner_id, account_state.OwnerView()
            )
            view.record_refusal_to_grant(now)
        self._advance(account, now)

    def advance(self, now: float) -> None:
        """Applies time-outs of bucket owners and of waiting requests.

        Args:
          now: Time in seconds on the clock that counts suspended time.
        """
        due = False
        while self._timers and self._timers[0][0] <= now:
            _, number = heapq.heappop(self._timers)
            due = True
            account = self._accounts_by_number.get(number)
            if account is not None:
                self._expire_fetch(account, number, now)
        if due:
            for account in list(self._accounts_by_digest.values()):
                if account.waiting:
                    self._advance(account, now)

    def next_wakeup(self) -> float | None:
        """Returns when ``advance`` is due, or None."""
        return self._timers[0][0] if self._timers else None

    def held_count(self) -> int:
        """Returns the number of tokens that are held."""
        return sum(
            account.held_count()
            for account in self._accounts_by_digest.values()
        )

    def list_usage(self) -> list[tuple[int, int, int]]:
        """Returns the digest, requests and refusals of each organisation."""
        return [
            (account.digest, account.requests, account.refusals)
            for account in self._accounts_by_digest.values()
        ]

    def _apply_grant(
        self,
        account: account_state.Account,
        fetch: account_state.Fetch,
        grant: messages.Grant,
        now: float,
    ) -> None:
        view = account.views_by_owner.setdefault(
            fetch.owner_id, account_state.OwnerView()
        )
        view.level = grant.level
        view.reported_at = now
        view.refused_to_grant = False
        view.retry_s = 0.0
        view.empty_until = now + grant.wait_ms / _MS_PER_S
        tokens = min(grant.tokens, fetch.wanted)
        expires_at = fetch.sent_at + grant.lifetime_ms / _MS_PER_S
        if tokens > 0:
            account.supply.add(tokens, now)
            heapq.heappush(account.held, (expires_at, tokens))

    def _expire_fetch(
        self, account: account_state.Account, number: int, now: float
    ) -> None:
        fetch = account.fetches_by_number[number]
        if not fetch.is_late:
            # The grant may still come, as from another region.
            fetch.is_late = True
            self._peers.record_timeout(fetch.owner_id, now)
            heapq.heappush(
                self._timers, (fetch.sent_at + core.MAX_LIFETIME_S, number)
            )
        else:
            del account.fetches_by_number[number]
            del self._accounts_by_number[number]
        self._advance(account, now)

    def _advance(self, account: account_state.Account, now: float) -> None:
        """Serves, asks and refuses for the waiting requests."""
        self.expired_count += account.drop_expired(now)
        while account.waiting and account.held:
            origin_id, _ = account.waiting.popitem(last=False)
            self._accounts_by_origin.pop(origin_id, None)
            token = Token(digest=account.digest, expires_at=account.take())
            self.verdicts.append(Verdict(origin_id=origin_id, token=token))
        self._place(account, now)
        self._fetch(account, now)
        if account.waiting:
            self._refuse_unservable(account, now)

    def _place(self, account: account_state.Account, now: float) -> None:
        """Updates the list of the organisation's bucket owners."""
        counted = self._counted
        if account.version == counted.version:
            return
        is_refused = any(
            view.refused_to_grant for view in account.views_by_owner.values()
        )
        min_age_s = REFUSED_PLACEMENT_AGE_S if is_refused else PLACEMENT_AGE_S
        if account.owners and now - account.placed_at < min_age_s:
            return
        account.version = counted.version
        account.placed_at = now
        account.plan = self._caps and self._caps.find_plan(
            account.digest, len(counted.digests_by_host)
        )
        plan = account.plan
        parts = plan.parts if plan else 0
        standby_count = plan.standby.parts if plan and plan.standby else 0
        ranked = rendezvous.rank_names_by_digest(
            account.digest, counted.digests_by_host, parts + standby_count
        )
        account.owners = ranked[:parts]
        account.standbys = ranked[parts:]
        account.views_by_owner = {
            owner: view
            for owner, view in account.views_by_owner.items()
            if owner in ranked
        }

    def _fetch(self, account: account_state.Account, now: float) -> None:
        """Asks bucket owners for the tokens that are needed."""
        if account.plan is None:
            return
        horizon_s = min(AHEAD_S, account.plan.lifetime_s / 2)
        ahead = int(account.demand.read(now) * horizon_s)
        held = account.held_count()
        need = len(account.waiting) - account.coming_count(now - WAIT_S)
        if 2 * held < ahead:
            need += ahead - held
        while need > 0:
            owner = self._choose_owner(account, now)
            if owner is None:
                return
            wanted = min(need, messages.MAX_WANTED)
            self._ask(account, owner, wanted, now)
            need -= wanted

    def _choose_owner(
        self, account: account_state.Account, now: float
    ) -> str | None:
        # Older fetches are those of before a stop of this process.
        asked = {
            fetch.owner_id
            for fetch in account.fetches_by_number.values()
            if now - fetch.sent_at < WAIT_S
        }
        best = None
        best_rank = (-1.0, 0.0)
        candidates = account.owners
        if any(self._is_down(account, owner, now) for owner in candidates):
            candidates = candidates + account.standbys
        for owner in candidates:
            if owner in asked or not self._can_answer(owner, now):
                continue
            view = account.views_by_owner.get(owner)
            if view is not None and view.empty_until > now:
                continue
            level = 1.0
            if view is not None:
                level = view.estimate_level(account.plan, now)
            rank = (level, self._rng.random())
            if rank > best_rank:
                best, best_rank = owner, rank
        return best

    def _can_answer(self, owner: str, now: float) -> bool:
        return self._counted.is_present(owner) and self._peers.is_reachable(
            owner, now
        )

    def _ask(
        self,
        account: account_state.Account,
        owner: str,
        wanted: int,
        now: float,
    ) -> None:
        self._number += 1
        number = self._number
        account.fetches_by_number[number] = account_state.Fetch(
            owner_id=owner, digest=account.digest, wanted=wanted, sent_at=now
        )
        self._accounts_by_number[number] = account
        due_at = now + self._peers.timeout_s(owner)
        heapq.heappush(self._timers, (due_at, number))
        self._send(
            owner, number, messages.Want(digest=account.digest, tokens=wanted)
        )

    def _refuse_unservable(
        self, account: account_state.Account, now: float
    ) -> None:
        """Refuses waiting requests for which no grant can come in time."""
        may_come = any(
            now - fetch.sent_at < WAIT_S
            for fetch in account.fetches_by_number.values()
        )
        refusal = Refusal.EXCEEDED
        if not account.owners or not all(
            self._is_known_empty(account, owner, now)
            for owner in account.owners
        ):
            refusal = Refusal.UNREACHABLE
        if account.plan is None and self._counted.digests_by_host:
            refusal = Refusal.EXCEEDED  # The bound allows no request.
        for origin_id, give_up_at in list(account.waiting.items()):
            if may_come and now < give_up_at:
                break  # Those behind arrived later.
            self._refuse(account, origin_id, refusal, now)

    def _is_down(
        self, account: account_state.Account, owner: str, now: float
    ) -> bool:
        """Returns whether a bucket owner can't be reached or doesn't grant."""
        if not self._can_answer(owner, now):
            return True
        view = account.views_by_owner.get(owner)
        return (
            view is not None
            and view.refused_to_grant
            and view.empty_until > now
        )

    def _is_known_empty(
        self, account: account_state.Account, owner: str, now: float
    ) -> bool:
        view = account.views_by_owner.get(owner)
        return (
            view is not None
            and not view.refused_to_grant
            and view.empty_until > now
        ) and self._can_answer(owner, now)

    def _refuse(
        self,
        account: account_state.Account,
        origin_id: int,
        refusal: Refusal,
        now: float,
    ) -> None:
        account.waiting.pop(origin_id, None)
        self._accounts_by_origin.pop(origin_id, None)
        account.refusals += 1
        self.verdicts.append(
            Verdict(
                origin_id=origin_id,
                refusal=refusal,
                retry_after_s=self._assign_retry(account, now),
                reason=self._describe(account, now),
            )
        )

    def _describe(self, account: account_state.Account, now: float) -> str:
        """Describes why an organisation gets no token, by bucket owner."""
        if not account.owners:
            return "no host owns a part of the cap"
        parts = []
        for owner in account.owners:
            view = account.views_by_owner.get(owner)
            if not self._can_answer(owner, now):
                state = "does not answer"
            elif view is None or view.empty_until <= now:
                state = "asked"
            elif view.refused_to_grant:
                state = "does not grant"
            else:
                wait_ms = (view.empty_until - now) * _MS_PER_S
                state = f"empty for {wait_ms:.0f} ms"
            parts.append(f"{owner} {state}")
        return ", ".join(parts)

    def _assign_retry(
        self, account: account_state.Account, now: float
    ) -> float:
        """Returns when a token is expected for one more refused caller.

        Callers are spread by the rate at which this entry receives tokens.
        """
        times = [
            view.empty_until
            for view in account.views_by_owner.values()
            if view.empty_until > now
        ]
        token_at = min(times, default=now + WAIT_S)
        host_count = max(1, len(self._counted.digests_by_host))
        rate = account.plan.rate if account.plan else 0.0
        supply = max(account.supply.read(now), rate / host_count, 1e-3)
        retry_at = min(max(token_at, account.retry_at), now + MAX_RETRY_AFTER_S)
        account.retry_at = retry_at + 1.0 / supply
        return retry_at - now
