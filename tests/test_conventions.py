"""Rules of the code that no linter setting expresses."""

import ast
import importlib.util
import pathlib

import pytest

from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue

ROOT = pathlib.Path(__file__).parent.parent
PRODUCT = ROOT / "bergamotdeal"
FOLDERS = ("bergamotdeal", "platform", "standins", "tests", "tools")
MAX_LINES = 500
TYPE_MODULES = frozenset(("typing", "collections.abc", "__future__"))
PROCESS_MODULES = frozenset(("subprocess", "multiprocessing", "pty"))
PROCESS_CALLS = frozenset(
    ("fork", "forkpty", "popen", "posix_spawn", "spawnv", "system")
)
PROCESS_ATTRIBUTES = frozenset(("spawnProcess", "ProcessPoolExecutor"))
# Twisted puts the installed reactor in the module's place.
OBJECTS_AS_MODULES = frozenset(("twisted.internet.reactor",))
# Twisted's channel builds its requests itself, by position.
POSITIONAL_CONSTRUCTORS = frozenset(("Exchange",))


def _imports_a_name(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level:
            yield "relative import"
        elif node.module not in TYPE_MODULES:
            for alias in node.names:
                dotted = f"{node.module}.{alias.name}"
                if not _is_module(dotted):
                    yield dotted


def _is_module(dotted):
    if dotted in OBJECTS_AS_MODULES:
        return True
    try:
        return importlib.util.find_spec(dotted) is not None
    except ModuleNotFoundError:
        return False


def _constructs_by_position(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        for decorator in node.decorator_list:
            text = ast.unparse(decorator)
            if "dataclass" in text and "kw_only=True" not in text:
                yield node.name
        if node.name in POSITIONAL_CONSTRUCTORS:
            continue
        for item in node.body:
            if getattr(item, "name", "") == "__init__":
                arguments = item.args
                if len(arguments.posonlyargs) + len(arguments.args) > 1:
                    yield node.name


def _starts_a_process(tree):
    for node in ast.walk(tree):
        match node:
            case ast.Import(names=names):
                for alias in names:
                    if alias.name.split(".")[0] in PROCESS_MODULES:
                        yield alias.name
            case ast.ImportFrom(module=str(module)):
                if module.split(".")[0] in PROCESS_MODULES:
                    yield module
            case ast.Attribute(value=ast.Name(id="os"), attr=name):
                if name in PROCESS_CALLS:
                    yield name
            case ast.Attribute(attr=name) if name in PROCESS_ATTRIBUTES:
                yield name


def _is_undocumented(tree):
    if not ast.get_docstring(tree):
        yield "no docstring"


def _files(*folders, with_tests=True):
    for folder in folders:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if with_tests or "tests" not in path.parts:
                yield path


def _violations(rule, paths):
    return [
        f"{path.relative_to(ROOT)}: {found}"
        for path in paths
        for found in rule(ast.parse(path.read_text()))
    ]


def test_imports_are_of_modules_only():
    assert _violations(_imports_a_name, _files(*FOLDERS)) == []


def test_constructors_are_keyword_only():
    paths = _files("bergamotdeal", with_tests=False)
    assert _violations(_constructs_by_position, paths) == []


def test_product_starts_no_process():
    paths = _files("bergamotdeal", with_tests=False)
    assert _violations(_starts_a_process, paths) == []


def test_modules_have_docstrings():
    paths = _files(*FOLDERS, with_tests=False)
    assert _violations(_is_undocumented, paths) == []


@pytest.mark.parametrize(
    ("rule", "code"),
    [
        (_imports_a_name, "from functools import partial"),
        (_imports_a_name, "from bergamotdeal.errors.core import ErrorKind"),
        (_imports_a_name, "from . import core"),
        (_constructs_by_position, "@dataclasses.dataclass\nclass A:\n  b: int"),
        (
            _constructs_by_position,
            "class A:\n  def __init__(self, b):\n    pass",
        ),
        (_starts_a_process, "import subprocess"),
        (_starts_a_process, "from multiprocessing import pool"),
        (_starts_a_process, "os.fork()"),
        (_starts_a_process, "reactor.spawnProcess(None, 'a')"),
        (_is_undocumented, "import os"),
    ],
)
def test_rule_reports_violating_code(rule, code):
    assert list(rule(ast.parse(code)))


def test_files_stay_within_the_line_limit():
    lengths_by_path = {
        str(path.relative_to(ROOT)): len(path.read_text().splitlines())
        for path in _files(*FOLDERS)
    }
    assert {p: n for p, n in lengths_by_path.items() if n > MAX_LINES} == {}


def test_each_event_code_has_a_message():
    assert set(catalogue.MESSAGES_BY_CODE) == set(catalogue.EventCode)


def test_each_error_kind_has_an_answer():
    assert set(errors.ANSWERS_BY_KIND) == set(errors.ErrorKind)


def test_each_subpackage_has_a_tests_folder():
    folders = [p.parent for p in PRODUCT.glob("*/__init__.py")]
    missing = [f.name for f in folders if not (f / "tests").is_dir()]
    assert missing == []


def test_change_fragments_are_named_and_short():
    fragments = set((ROOT / "changes").glob("*")) - {
        ROOT / "changes" / "README.md"
    }
    assert fragments
    for path in fragments:
        kind = path.suffixes[-2:]
        assert kind[0] in (".feature", ".bugfix", ".docs", ".removal"), path
        assert len(path.read_text().splitlines()) <= 6, path
