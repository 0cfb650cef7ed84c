"""Platform terms stay in the adapter, which takes no control decisions."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PLATFORM = ROOT / "platform"
MAX_TOTAL_LINES = 1500

PLATFORM_TERMS = re.compile(
    r"x-bergamotdeal|storeRevision|coldRemainingMs|trafficSplit|heartbeatAddr"
    r"|pathPrefix|routeType|targetLatencyMs|retryBudgetSlack|sidecar\b"
    r"|non_idempotent|appAddr|nodeName|listenAddrs|server-limit"
    r"|server-leaving|tenant|apiKeys|ratePerS|strictRevoke|revokeMs"
    r"|quotaWindowS|quotaOvershoot|quotaSlack",
    re.IGNORECASE,
)
DECISION_MODULES = (
    "bergamotdeal.admission",
    "bergamotdeal.pricing",
    "bergamotdeal.quarantine",
    "bergamotdeal.retries",
    "bergamotdeal.routing",
    "bergamotdeal.tickets",
    "bergamotdeal.calls.engine",
    "bergamotdeal.calls.dispatch",
    "bergamotdeal.calls.execution",
    "bergamotdeal.calls.truth",
)


def _list_source_paths(folder):
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_product_contains_no_platform_terms():
    found = [
        str(path.relative_to(ROOT))
        for folder in ("bergamotdeal", "standins", "tools")
        for path in _list_source_paths(ROOT / folder)
        if PLATFORM_TERMS.search(path.read_text())
    ]
    assert found == []


def test_platform_imports_no_decision_modules():
    found = []
    for path in _list_source_paths(PLATFORM):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom):
                names = [f"{node.module}.{n.name}" for n in node.names]
                found += [n for n in names if n.startswith(DECISION_MODULES)]
    assert found == []


def test_platform_stays_within_the_line_limit():
    sources = [
        p for p in _list_source_paths(PLATFORM) if "standin" not in p.parts
    ]
    assert (
        sum(len(p.read_text().splitlines()) for p in sources) < MAX_TOTAL_LINES
    )
