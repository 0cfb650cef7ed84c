"""A changed file is noticed once."""

from bergamotdeal.utils import file_stamp


def test_change_is_noticed_until_it_is_taken(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a")
    stamp = file_stamp.FileChangeDetector(path=path)
    assert not stamp.has_changed()
    path.write_text("ab")
    assert stamp.has_changed()
    stamp.mark_seen()
    assert not stamp.has_changed()


def test_lost_file_is_a_change(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a")
    stamp = file_stamp.FileChangeDetector(path=path)
    path.unlink()
    assert stamp.has_changed()
