"""Detection of file changes."""

from bergamotdeal.utils import file_stamp


def test_change_is_reported_until_marked_seen(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a")
    detector = file_stamp.FileChangeDetector(path=path)
    assert not detector.has_changed()
    path.write_text("ab")
    assert detector.has_changed()
    detector.mark_seen()
    assert not detector.has_changed()


def test_removed_file_is_a_change(tmp_path):
    path = tmp_path / "settings"
    path.write_text("a")
    detector = file_stamp.FileChangeDetector(path=path)
    path.unlink()
    assert detector.has_changed()
