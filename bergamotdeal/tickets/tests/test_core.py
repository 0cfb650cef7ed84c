import hypothesis
from hypothesis import strategies

from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core as rpc
from bergamotdeal.tickets import core
from bergamotdeal.tickets import mint

INCARNATION = "ab" * 16
names = strategies.text(
    alphabet="abcdefghijklmnopqrstuvwxyz0123456789-", min_size=1, max_size=64
)
numbers = strategies.integers(0, 2**64 - 1)


def make_issuer(*, incarnation=INCARNATION, key=b"k" * mint.KEY_BYTES):
    return mint.TicketIssuer(
        host_id="orderline-1", incarnation=incarnation, key=key
    )


def issue(issuer):
    return issuer.issue(
        service="orderline", serial=1, use_by_ms=5, expires_ms=9
    )


def request(**kwargs):
    fields = {
        "service": "orderline",
        "method": "POST",
        "path": "/x",
        "headers": [],
        "body": b"b",
    }
    return rpc.Request(**(fields | kwargs))


@hypothesis.given(names, names, numbers, numbers, numbers)
def test_ticket_round_trips_through_encoding(
    service, host_id, serial, use, expiry
):
    ticket = core.Ticket(
        service=service,
        host_id=host_id,
        incarnation=INCARNATION,
        serial=serial,
        use_by_ms=use,
        expires_ms=expiry,
        mac=b"m" * core.MAC_BYTES,
    )
    assert core.decode(ticket.encode()).ok_value == ticket


@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_are_refused(data):
    verified = make_issuer().verify(data)
    assert verified.err_value in (
        errors.ErrorKind.TICKET_INVALID,
        errors.ErrorKind.TICKET_LOST,
    )


@hypothesis.given(strategies.data())
def test_flipped_bit_is_rejected(data):
    issuer = make_issuer()
    encoded = issue(issuer)
    bit_index = data.draw(strategies.integers(0, 8 * len(encoded) - 1))
    changed = bytearray(encoded)
    changed[bit_index // 8] ^= 1 << bit_index % 8
    assert issuer.verify(bytes(changed)).is_err()


def test_ticket_is_accepted_only_by_issuing_incarnation():
    encoded = issue(make_issuer())
    assert make_issuer().verify(encoded).is_ok()
    other_key = make_issuer(key=b"x" * mint.KEY_BYTES)
    assert other_key.verify(encoded).is_err()
    restarted = make_issuer(incarnation="cd" * 16)
    lost = restarted.verify(encoded).err_value
    assert lost is errors.ErrorKind.TICKET_LOST


def test_fingerprint_distinguishes_requests_and_ignores_headers():
    same = core.compute_fingerprint(request(headers=[("x-trace", "1")]))
    assert core.compute_fingerprint(request()) == same
    different = {
        core.compute_fingerprint(request()),
        core.compute_fingerprint(request(method="PUT")),
        core.compute_fingerprint(request(path="/y")),
        core.compute_fingerprint(request(body=b"c")),
        core.compute_fingerprint(request(service="orderlin", method="ePOST")),
    }
    assert len(different) == 5
