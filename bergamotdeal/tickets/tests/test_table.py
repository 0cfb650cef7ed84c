"""Random walk over a ticket table, checked against a complete history."""

import random

import hypothesis
from hypothesis import strategies

from bergamotdeal.errors import core as errors
from bergamotdeal.presets import model
from bergamotdeal.rpc import core as rpc
from bergamotdeal.tickets import mint
from bergamotdeal.tickets import table

KINDS = errors.ErrorKind
REQUEST = rpc.Request(
    service="orderline", method="POST", path="/x", headers=[], body=b"b"
)
OTHER = rpc.Request(
    service="orderline", method="POST", path="/x", headers=[], body=b"c"
)


def make_table(**policy):
    issuer = mint.TicketIssuer(
        host_id="h", incarnation="ab" * 16, key=b"k" * 32
    )
    return table.TicketTable(policy=model.TicketPolicy(**policy), issuer=issuer)


def answer(body=b"done"):
    return rpc.Answer(outcome=errors.Outcome.COMPLETED, body=body)


class Walk:
    """Random walk over a table that records the use of each ticket."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.table = make_table(
            table_size=self.rng.randint(1, 6),
            lifetime_ms=self.rng.choice((1000, 90_000, 600_000)),
            answer_bytes=self.rng.choice((0, 10, 1000)),
        )
        self.now = 0.0
        self.tickets = []
        self.active = {}
        self.handed_over = set()
        self.burnt = set()

    def step(self):
        self.now += self.rng.choice((0, 0.1, 10, 70))
        self.rng.choice((self.issue, self.present, self.present, self.end))()
        assert len(self.table) <= self.table._policy.table_size

    def issue(self):
        call_id = f"r{self.rng.randrange(10)}"
        record = self.table.issue(call_id, REQUEST, self.now)
        if record is not None:
            self.tickets.append(self.table.encode_ticket(record))

    def present(self):
        if not self.tickets:
            return
        ticket = self.rng.choice(self.tickets)
        verdict = self.table.present(ticket, REQUEST, self.now)
        match verdict:
            case table.Execute(record=record):
                assert ticket not in self.handed_over
                assert ticket not in self.burnt
                assert ticket not in self.active
                self.active[ticket] = record
            case table.Join():
                assert ticket in self.active
            case table.Replay():
                assert ticket in self.handed_over

    def end(self):
        if not self.active:
            return
        ticket = self.rng.choice(list(self.active))
        record = self.active.pop(ticket)
        match self.rng.randrange(3):
            case 0:
                self.table.finish(record, answer())
                self.handed_over.add(ticket)
            case 1:
                self.table.burn(record)
                self.burnt.add(ticket)
            case 2:
                self.table.release(record)


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(strategies.integers(0, 2**32))
def test_ticket_never_runs_twice_or_after_refusal(seed):
    walk = Walk(seed)
    for _ in range(200):
        walk.step()


def test_unused_ticket_expires_after_first_use_window():
    tickets = make_table()
    ticket = tickets.encode_ticket(tickets.issue("r", REQUEST, 0.0))
    late_verdict = tickets.present(
        ticket, REQUEST, table.FIRST_USE_WINDOW_MS / 1000
    )
    assert late_verdict == table.Reject(kind=KINDS.TICKET_EXPIRED)
    other_tickets = make_table()
    ticket = other_tickets.encode_ticket(other_tickets.issue("r", REQUEST, 0.0))
    verdict = other_tickets.present(
        ticket, REQUEST, table.FIRST_USE_WINDOW_MS / 1000 - 1
    )
    assert isinstance(verdict, table.Execute)


def test_answer_is_replayed_until_ticket_expires():
    tickets = make_table(lifetime_ms=600_000)
    ticket = tickets.encode_ticket(tickets.issue("r", REQUEST, 0.0))
    tickets.finish(tickets.present(ticket, REQUEST, 1.0).record, answer())
    replayed = tickets.present(ticket, REQUEST, 599.0)
    assert replayed == table.Replay(answer=answer())
    expired = tickets.present(ticket, REQUEST, 600.0)
    assert expired == table.Reject(kind=KINDS.TICKET_EXPIRED)
    tickets.issue("r2", REQUEST, 601.0)
    assert len(tickets) == 1


def test_refused_tickets_are_removed_after_first_use_window():
    tickets = make_table(table_size=2)
    for name in ("r1", "r2"):
        ticket = tickets.encode_ticket(tickets.issue(name, REQUEST, 0.0))
        tickets.burn(tickets.present(ticket, REQUEST, 0.0).record)
    assert tickets.issue("r3", REQUEST, 1.0) is None
    assert tickets.issue("r3", REQUEST, 61.0) is not None


def test_used_ticket_with_other_content_is_refused():
    tickets = make_table()
    ticket = tickets.encode_ticket(tickets.issue("r", REQUEST, 0.0))
    tickets.present(ticket, OTHER, 0.0)
    verdict = tickets.present(ticket, REQUEST, 0.0)
    assert verdict == table.Reject(kind=KINDS.TICKET_MISMATCH)


def test_kept_answers_stay_within_size_limit():
    tickets = make_table(answer_bytes=10)
    kept = []
    for name in ("r1", "r2", "r3"):
        ticket = tickets.encode_ticket(tickets.issue(name, REQUEST, 0.0))
        record = tickets.present(ticket, REQUEST, 0.0).record
        tickets.finish(record, answer(b"12345"))
        kept.append(ticket)
    verdicts = [tickets.present(ticket, REQUEST, 0.0) for ticket in kept]
    assert verdicts[0] == table.Reject(kind=KINDS.ANSWER_GONE)
    assert all(isinstance(v, table.Replay) for v in verdicts[1:])
