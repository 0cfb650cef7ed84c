"""Fair sharing of scarce capacity among organisations."""

from bergamotdeal.fairness import gate
from bergamotdeal.fairness import maxmin
from bergamotdeal.fairness import rounds
from bergamotdeal.fairness import weights

__all__ = ["gate", "maxmin", "rounds", "weights"]
