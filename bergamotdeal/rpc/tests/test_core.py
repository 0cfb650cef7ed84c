import pytest

from bergamotdeal.errors import core as errors
from bergamotdeal.rpc import core


@pytest.mark.parametrize("kind", list(errors.ErrorKind))
def test_error_answer_after_possible_run_does_not_claim_not_run(kind):
    # Guards against a false "not run" for a request that was sent before.
    answer = core.build_error_answer(kind, may_have_run=True)
    assert answer.outcome is not errors.Outcome.NOT_RUN


def test_error_answer_contains_given_detail():
    kind = errors.ErrorKind.MALFORMED_REQUEST
    answer = core.build_error_answer(kind, detail="port 0 is out of range")
    assert answer.body == b"port 0 is out of range\n"
    assert answer.status == errors.ANSWERS_BY_KIND[kind].status
