import hypothesis
from hypothesis import strategies

from bergamotdeal.quotas import messages
from bergamotdeal.wire import gossip
from bergamotdeal.wire import quotas

_KEY = b"key"
_U32 = strategies.integers(0, 2**32 - 1)
_U64 = strategies.integers(0, 2**64 - 1)
_STAGES = strategies.sampled_from(messages.Stage)
_MESSAGES = strategies.one_of(
    strategies.builds(
        messages.TokenRequest,
        number=_U32,
        wants=strategies.lists(
            strategies.builds(
                messages.Want, digest=_U64, tokens=strategies.integers(0, 255)
            ),
            max_size=messages.MAX_ITEMS,
        ).map(tuple),
    ),
    strategies.builds(
        messages.TokenGrant,
        number=_U32,
        grants=strategies.lists(
            strategies.builds(
                messages.Grant,
                digest=_U64,
                is_owner=strategies.booleans(),
                tokens=strategies.integers(0, 255),
                level=_U32,
                wait_ms=_U32,
                lifetime_ms=_U32,
            ),
            max_size=messages.MAX_ITEMS,
        ).map(tuple),
    ),
    strategies.builds(
        messages.IntroductionReply,
        host_id=strategies.text(max_size=64),
        nonce=_U32,
        stage=_STAGES,
        own_stage=_STAGES,
        active=strategies.lists(_U64, max_size=100).map(tuple),
    ),
)


@hypothesis.given(message=_MESSAGES)
def test_decoded_message_equals_the_encoded_one(message):
    assert quotas.decode(quotas.encode(message, _KEY), _KEY).unwrap() == message


@hypothesis.given(data=strategies.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_without_exception(data):
    assert quotas.decode(quotas.MARKER + data, _KEY).is_err()


def test_authentic_but_malformed_content_is_rejected():
    for content in (b"\x93\xa1r\xff\x90", b"\x91\xa1r", b"\xc1", b""):
        data = quotas.MARKER + quotas._compute_mac(content, _KEY) + content
        assert quotas.decode(data, _KEY).is_err()


def test_node_of_an_older_version_drops_quota_datagrams():
    request = messages.TokenRequest(number=1, wants=())
    data = quotas.encode(request, _KEY)
    assert gossip.decode_datagram(data, _KEY).is_err()
    assert quotas.decode(data, b"other").is_err()
