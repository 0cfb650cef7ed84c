"""Checks code conventions that no linter setting expresses."""

import ast
import importlib.util
import pathlib

import pytest

from bergamotdeal.errors import core as errors
from bergamotdeal.telemetry import catalogue

ROOT = pathlib.Path(__file__).parent.parent
PRODUCT = ROOT / "bergamotdeal"
FOLDERS = ("bergamotdeal", "platform", "standins", "tests", "tools")
MAX_LINES_PER_FILE = 500
TYPE_MODULES = frozenset(("typing", "collections.abc", "__future__"))
PROCESS_MODULES = frozenset(("subprocess", "multiprocessing", "pty"))
PROCESS_CALLS = frozenset(
    ("fork", "forkpty", "popen", "posix_spawn", "spawnv", "system")
)
PROCESS_ATTRIBUTES = frozenset(("spawnProcess", "ProcessPoolExecutor"))
# Twisted replaces this module in sys.modules by the installed reactor, which
# has no module spec.
REACTOR_MODULES = frozenset(("twisted.internet.reactor",))
# Twisted's HTTP channel constructs its requests with positional arguments.
POSITIONAL_CONSTRUCTORS = frozenset(("Exchange",))
MODEL_OPTIONS = ("array_like=", "rename=", "forbid_unknown_fields=")


def _find_name_imports(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        if node.level:
            yield "relative import"
        elif node.module not in TYPE_MODULES:
            for alias in node.names:
                dotted_name = f"{node.module}.{alias.name}"
                if not _is_module(dotted_name):
                    yield dotted_name


def _is_module(dotted_name):
    if dotted_name in REACTOR_MODULES:
        return True
    try:
        return importlib.util.find_spec(dotted_name) is not None
    except ModuleNotFoundError:
        return False


def _find_positional_constructors(tree):
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        for decorator in node.decorator_list:
            text = ast.unparse(decorator)
            if "dataclass" in text and "kw_only=True" not in text:
                yield node.name
        if _has_positional_fields(node):
            yield node.name
        if node.name in POSITIONAL_CONSTRUCTORS:
            continue
        for member in node.body:
            if getattr(member, "name", "") == "__init__":
                arguments = member.args
                if len(arguments.posonlyargs) + len(arguments.args) > 1:
                    yield node.name


def _has_positional_fields(node):
    """Returns whether a class is a struct without keyword-only fields.

    A model of a message or document is exempt: msgspec constructs it.
    """
    options = [ast.unparse(keyword) for keyword in node.keywords]
    return (
        any(ast.unparse(base) == "msgspec.Struct" for base in node.bases)
        and "kw_only=True" not in options
        and not any(option.startswith(MODEL_OPTIONS) for option in options)
    )


def _find_process_starts(tree):
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


def _find_missing_docstring(tree):
    if not ast.get_docstring(tree):
        yield "no docstring"


def _iter_source_paths(*folders, include_tests=True):
    for folder in folders:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if include_tests or "tests" not in path.parts:
                yield path


def _find_violations(rule, paths):
    return [
        f"{path.relative_to(ROOT)}: {violation}"
        for path in paths
        for violation in rule(ast.parse(path.read_text()))
    ]


def test_imports_are_of_modules_only():
    assert (
        _find_violations(_find_name_imports, _iter_source_paths(*FOLDERS)) == []
    )


def test_constructors_are_keyword_only():
    paths = _iter_source_paths("bergamotdeal", include_tests=False)
    assert _find_violations(_find_positional_constructors, paths) == []


def test_product_starts_no_process():
    paths = _iter_source_paths("bergamotdeal", include_tests=False)
    assert _find_violations(_find_process_starts, paths) == []


def test_modules_have_docstrings():
    paths = _iter_source_paths(*FOLDERS, include_tests=False)
    assert _find_violations(_find_missing_docstring, paths) == []


@pytest.mark.parametrize(
    ("rule", "code"),
    [
        (_find_name_imports, "from functools import partial"),
        (_find_name_imports, "from bergamotdeal.errors.core import ErrorKind"),
        (_find_name_imports, "from . import core"),
        (
            _find_positional_constructors,
            "@dataclasses.dataclass\nclass A:\n  b: int",
        ),
        (
            _find_positional_constructors,
            "class A(msgspec.Struct, frozen=True):\n  b: int",
        ),
        (
            _find_positional_constructors,
            "class A:\n  def __init__(self, b):\n    pass",
        ),
        (_find_process_starts, "import subprocess"),
        (_find_process_starts, "from multiprocessing import pool"),
        (_find_process_starts, "os.fork()"),
        (_find_process_starts, "reactor.spawnProcess(None, 'a')"),
        (_find_missing_docstring, "import os"),
    ],
)
def test_rule_reports_violating_code(rule, code):
    assert list(rule(ast.parse(code)))


def test_files_stay_within_the_line_limit():
    lengths_by_path = {
        str(path.relative_to(ROOT)): len(path.read_text().splitlines())
        for path in _iter_source_paths(*FOLDERS)
    }
    assert {
        p: n for p, n in lengths_by_path.items() if n > MAX_LINES_PER_FILE
    } == {}


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
        suffixes = path.suffixes[-2:]
        assert suffixes[0] in (".feature", ".bugfix", ".docs", ".removal"), path
        assert len(path.read_text().splitlines()) <= 6, path
