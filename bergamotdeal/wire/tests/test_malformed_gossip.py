"""Fuzzing of the decoders of gossip: any bytes are an error or a message.

An exception would end the handling of a datagram, or the answer to a bulk
request, of a node that knows the key and is faulty.
"""

import hmac
import random

import hypothesis
from hypothesis import strategies
import result

from bergamotdeal.membership import core
from bergamotdeal.membership import gossip as gossip_core
from bergamotdeal.membership import messages
from bergamotdeal.wire import gossip

KEY = b"k" * 16
WORD_BYTES = 8
MUTATIONS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 4000),
        strategies.sampled_from([0, 1, 2, 3, 4, 127, 128, 255]),
    ),
    min_size=1,
    max_size=6,
)
CUTS = strategies.integers(0, 40)


def build_member(host_id):
    return core.Member(
        host_id=host_id,
        incarnation="1f",
        state_number=7,
        data_centre="prai",
        region="penang",
        address="10.0.0.1",
        peer_port=7620,
        server=core.Server(service="kitview", slots=8, connections=9),
    )


def build_datagram(host_id="host-1"):
    return messages.Datagram(
        sender=build_member(host_id),
        epoch=3,
        store_era=1,
        body=messages.Ping(number=5, host_id=""),
        rumours=(
            messages.RecordRumour(member=build_member("host-2")),
            messages.VerdictRumour(
                host_id="host-3",
                incarnation="2e",
                state_number=1,
                health=messages.Health.SUSPECT,
            ),
        ),
    )


BULKS = [
    messages.SyncRequest(
        sender=build_member("host-1"), epoch=3, digests=tuple(range(64))
    ),
    messages.SyncPush(
        entries=(
            messages.KnownMember(
                member=build_member("host-2"), health=messages.Health.ALIVE
            ),
        )
    ),
    messages.PresetRequest(known_digests=(b"d" * 16,)),
    messages.PresetResponse(
        epoch=3,
        operation_id="op",
        sections=(
            messages.Section(name="header", digest=b"d" * 16, content=b"{}"),
        ),
    ),
]


def mutate(data, changes, cut):
    mutated = bytearray(data)
    for offset, value in changes:
        mutated[offset % len(mutated)] = value
    return bytes(mutated[: max(0, len(mutated) - cut * WORD_BYTES)])


def sign(content):
    return hmac.digest(KEY, content, "sha256")[: gossip.MAC_BYTES] + content


def build_core():
    return gossip_core.Gossip(
        own_record=build_member("own"), rng=random.Random(1), now=0.0
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_an_error_or_a_message(data):
    for decoded in (
        gossip.decode_datagram(data, KEY),
        gossip.decode_datagram(sign(data), KEY),
        gossip.decode_bulk(data),
    ):
        assert isinstance(decoded, result.Ok | result.Err)


# Guards against a member whose malformed datagram ends the gossip of others.
@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(MUTATIONS, CUTS)
def test_node_goes_on_after_a_malformed_datagram(changes, cut):
    node = build_core()
    source = messages.Endpoint(address="10.0.0.9", port=7620)
    content = gossip.encode_datagram(build_datagram(), KEY)[gossip.MAC_BYTES :]
    decoded = gossip.decode_datagram(sign(mutate(content, changes, cut)), KEY)
    if decoded.is_ok():
        event = messages.DatagramArrived(
            datagram=decoded.ok_value, source=source
        )
        effects = node.handle(event, 1.0)
        for effect in effects:
            if isinstance(effect, messages.SendDatagram):
                gossip.encode_datagram(effect.datagram, KEY)
    sound = messages.DatagramArrived(
        datagram=build_datagram("sound"), source=source
    )
    node.handle(sound, 2.0)
    assert node.member("sound") is not None


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.sampled_from(BULKS), MUTATIONS, CUTS)
def test_node_goes_on_after_a_malformed_bulk_message(bulk, changes, cut):
    node = build_core()
    decoded = gossip.decode_bulk(mutate(gossip.encode_bulk(bulk), changes, cut))
    match decoded:
        case result.Ok(messages.SyncRequest() | messages.SyncPush() as request):
            answer, _ = node.answer_sync(request, 1.0)
            gossip.encode_bulk(answer)
    sound = messages.SyncPush(
        entries=(
            messages.KnownMember(
                member=build_member("sound"), health=messages.Health.ALIVE
            ),
        )
    )
    node.answer_sync(sound, 2.0)
    assert node.member("sound") is not None
