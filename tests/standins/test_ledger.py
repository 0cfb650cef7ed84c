from standins import ledger


def test_body_names_its_request():
    assert ledger.parse_body_key(ledger.make_body("r1", size=100)) == "r1"


def test_no_part_of_a_body_counts_as_whole():
    body = ledger.make_body("r1", size=40)
    for cut in range(len(body)):
        assert ledger.parse_body_key(body[:cut]) is None
    assert ledger.parse_body_key(body + b".") is None


def test_label_survives_its_header():
    label = ledger.Label.for_user(
        "r1", service="s", class_name="browse", repeatable=True
    )
    assert ledger.Label.decode(label.encode()) == label


def test_file_keeps_entries_in_order(tmp_path):
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
