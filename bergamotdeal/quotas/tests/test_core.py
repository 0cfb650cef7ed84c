import hypothesis
from hypothesis import strategies

from bergamotdeal.presets import model as preset_model
from bergamotdeal.quotas import core
from bergamotdeal.quotas import messages
from bergamotdeal.quotas import owner
from bergamotdeal.quotas.tests import model

_STEP_S = 0.01


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    rate=strategies.floats(0.1, 400),
    burst=strategies.floats(0, 400),
    overshoot=strategies.sampled_from([0.0, 0.02, 0.1]),
    slack=strategies.sampled_from([0, 3, 20]),
    window_ms=strategies.sampled_from([1000, 5000]),
    host_count=strategies.integers(1, 12),
)
def test_hoarding_entry_stays_within_the_bound(
    rate, burst, overshoot, slack, window_ms, host_count
):
    # An entry takes all tokens and uses those that are about to expire at the
    # start of the window and all others in it.
    policy = {"window_ms": window_ms, "overshoot": overshoot, "slack": slack}
    caps = core.CapTable(
        preset=model.build_preset({"o": (rate, burst)}, **policy)
    )
    names = [f"h{n}" for n in range(host_count)]
    counted = model.EstablishedHosts(names)
    owners = [owner.BucketOwner(host_id=n, counted=counted) for n in names]
    (digest,) = caps.caps_by_digest
    want = messages.Want(digest=digest, tokens=messages.MAX_WANTED)
    for bucket_owner in owners:
        bucket_owner.set_caps(caps, 0.0)
        bucket_owner.advance(0.0)
    fill_s = 100.0
    used = 0
    now = fill_s
    expires_at = None
    while expires_at is None or now < expires_at + window_ms / 1000:
        for bucket_owner in owners:
            grant = bucket_owner.grant(want, now)
            used += grant.tokens
            if expires_at is None and grant.is_owner and grant.tokens:
                expires_at = now + grant.lifetime_ms / 1000
        now += _STEP_S
        if expires_at is None and now > 2 * fill_s:
            break
    bound = core.compute_bound(
        policy=preset_model.QuotaPolicy(**policy),
        rate_per_s=rate,
        burst=burst,
    )
    assert used <= bound + 1e-6


def test_no_request_runs_if_the_bound_is_less_than_one():
    policy = preset_model.QuotaPolicy(overshoot=0.0, slack=0)
    plan = core.compute_plan(
        policy=policy, rate_per_s=0.1, burst=0.0, host_count=8
    )
    assert plan is None


def test_usual_caps_keep_their_rate_and_burst():
    for rate in (8.0, 160.0):
        plan = core.compute_plan(
            policy=preset_model.QuotaPolicy(),
            rate_per_s=rate,
            burst=rate,
            host_count=71,
        )
        assert (plan.rate, plan.capacity) == (rate, rate)
        assert plan.lifetime_s > 0.25
