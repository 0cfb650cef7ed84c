"""Call engine: dispatch of a call at its origin, execution at its target."""

__all__ = [
    "deadlines",
    "dispatch",
    "engine",
    "exchanges",
    "execution",
    "messages",
    "runs",
    "state",
    "truth",
]
