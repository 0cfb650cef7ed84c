"""Intervals and fan-outs of the gossip protocol."""

import msgspec

from bergamotdeal.membership import suspicion


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and fan-outs of the protocol.

    Attributes:
      probe_interval_s: Seconds between two probes by this node.
      indirect_probe_delay_s: Seconds without an ack until indirect probes.
      indirect_probe_fanout: Number of members asked for an indirect probe.
      gossip_interval_s: Seconds between gossip rounds while rumours are queued.
      gossip_fanout: Number of members addressed in each gossip round.
      pause_threshold_s: Seconds without events that indicate a paused process.
      suspicion_check_interval_s: Minimum seconds between two checks of the
        timeouts of suspect members, which examine all members.
      bounds: Limits of suspicion and eviction.
    """

    probe_interval_s: float = 1.0
    indirect_probe_delay_s: float = 0.4
    indirect_probe_fanout: int = 3
    gossip_interval_s: float = 0.2
    gossip_fanout: int = 3
    pause_threshold_s: float = 2.5
    suspicion_check_interval_s: float = 0.5
    bounds: suspicion.Bounds = msgspec.field(default_factory=suspicion.Bounds)


DEFAULT_TIMING = Timing()
