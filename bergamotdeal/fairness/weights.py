"""Weights of organisations in fair sharing."""

from collections.abc import Iterable

from bergamotdeal.presets import model


def compute_weights(
    organisations: Iterable[model.Organisation],
) -> dict[str, float]:
    """Returns the weight of each organisation, 1.0 on average.

    Caps are set in proportion to the usual demand, so an organisation's weight
    is its cap. One without a cap weighs as much as the average of the others.

    Args:
      organisations: Organisations of the preset.
    """
    rates_by_name = {each.name: each.rate_per_s for each in organisations}
    rates = [rate for rate in rates_by_name.values() if rate > 0.0]
    if not rates:
        return dict.fromkeys(rates_by_name, 1.0)
    mean = sum(rates) / len(rates)
    return {
        name: rate / mean if rate > 0.0 else 1.0
        for name, rate in rates_by_name.items()
    }
