"""Tests of the search for live hosts among the listed ones."""

import random

import pytest

from bergamotdeal.membership import contact_search
from bergamotdeal.membership import registry

FIRST_BATCH = (
    contact_search.FIRST_LOCAL_CONTACTS + contact_search.FIRST_REMOTE_CONTACTS
)


def build_candidate(*, data_centre="prai", version=1):
    entry = registry.Entry(
        address="10.1.0.8", port=7620, data_centre=data_centre
    )
    return contact_search.Candidate(entry=entry, version=version)


def build_search(candidates_by_host, seed=1):
    return contact_search.ContactSearch(
        candidates_by_host=candidates_by_host,
        data_centre="prai",
        rng=random.Random(seed),
    )


def run_search(search, live):
    """Returns the batches of a search in which only live hosts answer."""
    batches = []
    known = set()
    while batch := search.next_batch(known):
        batches.append(list(batch))
        known.update(host for host in batch if host in live)
    return batches


def test_first_contacts_are_few_and_mostly_in_the_own_data_centre():
    """Guards against a start of 196 nodes in which each one pings all."""
    candidates_by_host = {
        f"host-{i}": build_candidate(
            data_centre="prai" if i % 5 == 0 else "kulim"
        )
        for i in range(196)
    }
    batch = build_search(candidates_by_host).next_batch(set())
    centres = [candidates_by_host[host].entry.data_centre for host in batch]
    assert centres.count("prai") == contact_search.FIRST_LOCAL_CONTACTS
    assert centres.count("kulim") == contact_search.FIRST_REMOTE_CONTACTS


@pytest.mark.parametrize("count", [8, 71, 1300])
def test_search_ends_when_half_of_a_batch_answers(count):
    hosts = [f"host-{i}" for i in range(count)]
    candidates_by_host = {host: build_candidate() for host in hosts}
    (batch,) = run_search(build_search(candidates_by_host), set(hosts))
    assert len(batch) <= FIRST_BATCH


# Guards against a start that takes minutes, since the few live hosts are not
# found among the entries of hosts that are gone.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("gone_count", [30, 300, 1000])
def test_each_live_host_is_contacted_among_many_that_are_gone(gone_count, seed):
    live = {f"live-{i}" for i in range(5)}
    hosts = [*sorted(live), *(f"gone-{i}" for i in range(gone_count))]
    candidates_by_host = {
        host: build_candidate(data_centre=("prai", "kulim")[i % 2])
        for i, host in enumerate(hosts)
    }
    batches = run_search(build_search(candidates_by_host, seed), live)
    contacted = [host for batch in batches for host in batch]
    assert len(contacted) == len(set(contacted))
    assert live <= set(contacted)
    assert len(batches) <= 9


def test_recent_entries_are_preferred_but_not_by_all_nodes():
    candidates_by_host = {
        f"host-{i}": build_candidate(version=i) for i in range(1300)
    }
    newest = {f"host-{i}" for i in range(1290, 1300)}
    contacts = []
    for seed in range(200):
        search = build_search(candidates_by_host, seed)
        contacts += search.next_batch(set())
    # Ten of 1,300 hosts would get 0.008 of even draws.
    share = sum(host in newest for host in contacts) / len(contacts)
    assert 0.1 < share < 0.3


def test_search_without_candidates_is_over_at_once():
    assert build_search({}).next_batch(set()) == []


def test_hosts_that_became_known_meanwhile_are_not_contacted():
    hosts = [f"host-{i}" for i in range(40)]
    search = build_search({host: build_candidate() for host in hosts})
    first = search.next_batch(set())
    known = set(hosts) - set(first)
    assert search.next_batch(known) == []
