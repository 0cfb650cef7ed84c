"""Tests of the labels, bodies and files of the ledger."""

from standins import ledger


def test_parse_body_key_of_intact_body_returns_key():
    assert ledger.parse_body_key(ledger.make_body("r1", size=100)) == "r1"


def test_parse_body_key_of_truncated_or_extended_body_is_none():
    body = ledger.make_body("r1", size=40)
    for length in range(len(body)):
        assert ledger.parse_body_key(body[:length]) is None
    assert ledger.parse_body_key(body + b".") is None


def test_label_encoded_and_decoded_is_equal():
    label = ledger.Label.for_user(
        "r1", service="s", class_name="browse", repeatable=True
    )
    assert ledger.Label.decode(label.encode()) == label


def test_read_file_of_two_writers_sorts_entries_by_time(tmp_path):
    path = tmp_path / "ledger"
    first, second = ledger.Writer(path=path), ledger.Writer(path=path)
    label = ledger.Label.for_user(
        "r1", service="s", class_name="browse", repeatable=True
    )
    late = ledger.RunEnded(at=2.0, run_id="a", completed=True)
    early = ledger.Sent(at=1.0, label=label)
    first.write(late)
    second.write(early)
    assert ledger.read(path) == [early, late]
    first.close()
    second.close()
