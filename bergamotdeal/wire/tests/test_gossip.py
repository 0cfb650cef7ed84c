"""Gossip codec: round trips, size limits, authentication, malformed input."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bergamotdeal.membership import core
from bergamotdeal.membership import messages
from bergamotdeal.membership import rumours
from bergamotdeal.wire import gossip

KEY = b"k" * 16
NAMES = st.text(
    st.characters(min_codepoint=33, max_codepoint=126), min_size=1, max_size=64
)
NUMBERS = st.integers(0, 2**62)
PORTS = st.integers(0, 65_535)
SERVERS = st.builds(
    core.Server,
    service=NAMES,
    slots=st.integers(0, 2**32 - 1),
    connections=st.integers(0, 2**32 - 1),
)
STATES = st.sampled_from(
    [core.MemberState.ALIVE, core.MemberState.DRAINING, core.MemberState.DEAD]
)
MEMBERS = st.builds(
    core.Member,
    host_id=NAMES,
    incarnation=NAMES,
    state=STATES,
    state_number=NUMBERS,
    data_centre=NAMES,
    region=NAMES,
    address=NAMES,
    peer_port=PORTS,
    admin_port=PORTS,
    server=st.none() | SERVERS,
)
RUMOURS = st.one_of(
    st.builds(messages.RecordRumour, member=MEMBERS),
    st.builds(
        messages.VerdictRumour,
        host_id=NAMES,
        incarnation=NAMES,
        state_number=NUMBERS,
        health=st.sampled_from(messages.Health),
    ),
    st.builds(
        messages.CrashRumour,
        report=st.builds(
            core.CrashReport,
            fingerprint=NAMES,
            host_id=NAMES,
            death_id=NAMES,
            age_s=st.integers(0, 2**32 - 1).map(lambda ms: ms / 1000),
        ),
    ),
)
BODIES = st.one_of(
    st.builds(messages.Ping, number=NUMBERS, host_id=st.just("") | NAMES),
    st.builds(messages.PingRequest, number=NUMBERS, host_id=NAMES),
    st.builds(messages.Ack, number=NUMBERS),
    st.builds(messages.EmptyBody),
)


@hypothesis.given(MEMBERS, NUMBERS, BODIES, st.lists(RUMOURS, max_size=12))
def test_datagram_fits_its_size_limit_and_round_trips(
    sender, epoch, body, queued
):
    queue = rumours.RumourQueue()
    for rumour in queued:
        queue.add(rumour)
    room = rumours.compute_rumour_budget(sender, body)
    chosen = queue.take(max_bytes=room, fleet_size=10)
    datagram = messages.Datagram(
        sender=sender, epoch=epoch, body=body, rumours=chosen
    )
    data = gossip.encode_datagram(datagram, KEY)
    assert len(data) <= rumours.estimate_datagram_bytes(datagram)
    assert len(data) <= rumours.MAX_DATAGRAM_BYTES
    assert gossip.decode_datagram(data, KEY).unwrap() == datagram


MEMBER = core.Member(
    host_id="h",
    incarnation="i",
    data_centre="odori",
    region="north",
    address="127.0.0.1",
    peer_port=7,
    server=core.Server(service="dispatch", slots=3, connections=4),
)
KNOWN_MEMBER = messages.KnownMember(
    member=MEMBER, health=messages.Health.SUSPECT
)
CRASH_REPORT = core.CrashReport(
    fingerprint="f", host_id="h", death_id="i.1", age_s=2.5
)
BULK_MESSAGES = [
    messages.SyncRequest(sender=MEMBER, epoch=3, digests=(1, 2**64 - 1)),
    messages.SyncResponse(buckets=(1, 63), entries=(KNOWN_MEMBER,)),
    messages.SyncRequest(
        sender=MEMBER, epoch=3, digests=(1,), crash_digest=2**64 - 1
    ),
    messages.SyncResponse(
        buckets=(),
        entries=(),
        crash_digest=1,
        crash_reports=(CRASH_REPORT, CRASH_REPORT),
    ),
    messages.SyncPush(entries=(KNOWN_MEMBER, KNOWN_MEMBER)),
    messages.CrashPush(reports=(CRASH_REPORT,)),
    messages.SyncDone(),
    messages.PresetRequest(known_digests=(b"a" * 16, b"b" * 16)),
    messages.PresetResponse(
        epoch=4,
        operation_id="4-x",
        sections=(
            messages.Section(name="retries", digest=b"d", content=b"{}"),
            messages.Section(name="routing", digest=b"e", content=None),
        ),
    ),
]
DATAGRAM = messages.Datagram(
    sender=MEMBER,
    epoch=9,
    body=messages.Ping(number=5, host_id="h"),
    rumours=(messages.RecordRumour(member=MEMBER),),
)


@pytest.mark.parametrize("bulk", BULK_MESSAGES, ids=lambda b: type(b).__name__)
def test_decode_of_an_encoded_bulk_message_returns_the_message(bulk):
    assert gossip.decode_bulk(gossip.encode_bulk(bulk)).unwrap() == bulk


@pytest.mark.parametrize("bulk", BULK_MESSAGES, ids=lambda b: type(b).__name__)
def test_truncated_bulk_is_rejected_and_flipped_bit_does_not_raise(bulk):
    rng = random.Random(3)
    data = gossip.encode_bulk(bulk)
    for length in range(len(data)):
        assert gossip.decode_bulk(data[:length]).is_err()
    for _ in range(1000):
        corrupted = bytearray(data)
        corrupted[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        gossip.decode_bulk(bytes(corrupted))


def test_datagram_with_a_flipped_bit_is_rejected():
    data = gossip.encode_datagram(DATAGRAM, KEY)
    for position in range(8 * len(data)):
        corrupted = bytearray(data)
        corrupted[position // 8] ^= 1 << position % 8
        assert gossip.decode_datagram(bytes(corrupted), KEY).is_err()


def test_datagram_signed_with_another_key_is_rejected():
    data = gossip.encode_datagram(DATAGRAM, b"x" * 16)
    assert (
        gossip.decode_datagram(data, KEY).unwrap_err()
        == "authentication code does not match"
    )


def test_authenticated_malformed_content_does_not_raise():
    rng = random.Random(4)
    content = gossip.encode_datagram(DATAGRAM, KEY)[gossip.MAC_BYTES :]
    for _ in range(2000):
        corrupted = bytearray(content)
        for _ in range(rng.randrange(1, 6)):
            corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
        data = gossip._compute_mac(bytes(corrupted), KEY) + bytes(corrupted)
        gossip.decode_datagram(data, KEY)


@pytest.mark.parametrize("length", [0, 1, 15, 16, 17, 24, 1200, 1201, 4000])
def test_unauthenticated_datagram_of_any_length_is_rejected(length):
    assert gossip.decode_datagram(b"\0" * length, KEY).is_err()
