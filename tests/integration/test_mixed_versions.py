"""Rolling upgrade and rollback between the previous version and this one.

Nodes of both versions run side by side with keys and a cap in force, while a
key is withdrawn by a preset switch and one host is killed.
"""

import http.client
import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

import msgspec
import pytest

from bergamotdeal.errors import core as errors
from bergamotdeal.membership import core as membership
from bergamotdeal.membership import messages as gossip
from bergamotdeal.membership import registry
from bergamotdeal.organisations import keys
from bergamotdeal.presets import follower
from bergamotdeal.presets import in_force
from bergamotdeal.presets import messages as preset_messages
from bergamotdeal.presets import model
from bergamotdeal.quotas.tests import model as quota_model
from bergamotdeal.wire import gossip as gossip_codec
from standins import cluster as clusters
from standins import previous
from tests.integration import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent.parent
ENTRY_COUNT = 4
SERVICE = "orderline"
KEY = "key-of-acme"
WITHDRAWN_KEY = "key-of-harbour"
RATE = 30.0
BURST = 30.0
BOUND = (RATE * 5 + BURST) * 1.1 + 20
USUAL_PAUSE_S = 0.2  # Together two thirds of the cap.
OVERLOAD_PAUSE_S = 0.01
OVERLOAD_S = 6.0
KEY_DEADLINE_S = 5.0
MIN_SERVED_SHARE = 0.9
DRAINING = errors.ErrorKind.DRAINING.value


# Run in the previous version: joins a pulled preset and serves it again.
PULL_SCRIPT = """
import sys
sys.path.insert(0, sys.argv[1])
from bergamotdeal.membership import messages
from bergamotdeal.presets import sections
from bergamotdeal.wire import gossip
received = gossip.decode_bulk(sys.stdin.buffer.read()).unwrap()
preset = sections.join(received.sections, ()).unwrap()
answer = messages.PresetResponse(
    epoch=received.epoch, operation_id="", sections=sections.split(preset)
)
sys.stdout.buffer.write(gossip.encode_bulk(answer))
"""


# Run in the previous version: decodes bulk messages and encodes them again.
RECODE_SCRIPT = """
import json
import sys
sys.path.insert(0, sys.argv[1])
from bergamotdeal.wire import gossip
for line in json.load(sys.stdin):
    message = gossip.decode_bulk(bytes.fromhex(line)).unwrap()
    print(gossip.encode_bulk(message).hex())
"""


# Run in the previous version: decodes a registry entry and encodes it again.
RECODE_ENTRY_SCRIPT = """
import sys
sys.path.insert(0, sys.argv[1])
from bergamotdeal.membership import registry
entry = registry.decode(sys.stdin.buffer.read()).unwrap()
sys.stdout.buffer.write(registry.encode(entry))
"""


class Sender(threading.Thread):
    """A thread that sends requests of the organisation to one entry.

    A request that the entry refuses since it is stopping goes to another entry,
    as the refusal tells callers.
    """

    def __init__(self, host, other_hosts):
        super().__init__(daemon=True)
        self.hosts = [host, *other_hosts]
        self.pause_s = USUAL_PAUSE_S
        self.is_stopped = False
        self.statuses_by_pause: dict[float, list[int]] = {
            USUAL_PAUSE_S: [],
            OVERLOAD_PAUSE_S: [],
        }

    def run(self):
        while not self.is_stopped:
            pause_s = self.pause_s
            time.sleep(pause_s)
            for host in self.hosts:
                try:
                    status, error = request(host, KEY)
                except (OSError, http.client.HTTPException):
                    break  # The node is down.
                if error != DRAINING:
                    self.statuses_by_pause[pause_s].append(status)
                    break
            else:
                self.statuses_by_pause[pause_s].append(status)


def request(host, key):
    """Returns the status of the answer and the error that it names, if any."""
    connection = http.client.HTTPConnection(
        host.address, clusters.ENTRY_PORT, timeout=5
    )
    try:
        connection.request(
            "GET",
            f"/{SERVICE}/kits",
            headers={"Authorization": f"Bearer {key}"},
        )
        response = connection.getresponse()
        response.read()
    finally:
        connection.close()
    return response.status, response.headers["Bergamot-Error"]


def send(host, key):
    status, _ = request(host, key)
    return status


def build_preset(name, keys_by_organisation):
    return model.Preset(
        name=name,
        tickets=model.TicketPolicy(required=False),
        organisations=tuple(
            model.Organisation(
                name=organisation,
                key_digests=tuple(map(keys.digest_key, organisation_keys)),
                rate_per_s=RATE,
                burst=BURST,
            )
            for organisation, organisation_keys in keys_by_organisation.items()
        ),
    )


class Fleet(fleets.Fleet):
    """A fleet in which each host runs one of two versions.

    Args:
      previous_root: Folder with the source of the previous version.
      **options: Arguments of ``fleets.Fleet``.
    """

    def __init__(self, *, previous_root, **options):
        super().__init__(**options)
        script = (
            f"import sys; sys.path.insert(0, {str(previous_root)!r}); "
            "from bergamotdeal.cli import main; main.main()"
        )
        self._previous_command = (sys.executable, "-c", script)
        self._current_command = self._command
        self.upgraded_ids: set[str] = set()

    def start_node(self, host):
        """Starts the node of a host in the host's version."""
        self._command = (
            self._current_command
            if host.host_id in self.upgraded_ids
            else self._previous_command
        )
        super().start_node(host)

    def replace_node(self, host, *, is_upgrade, stop_signal=signal.SIGTERM):
        """Stops a host's node and starts it in the other version."""
        self.signal_process(host.node, stop_signal)
        host.node.wait()
        if is_upgrade:
            self.upgraded_ids.add(host.host_id)
        else:
            self.upgraded_ids.discard(host.host_id)
        self.start_node(host)
        self.wait_until_ready(host)


@pytest.fixture(scope="module")
def previous_root(tmp_path_factory):
    return previous.extract(tmp_path_factory.mktemp("previous"), "bergamotdeal")


@pytest.fixture
def fleet(tmp_path, previous_root):
    with Fleet(
        previous_root=previous_root,
        folder=tmp_path,
        size=ENTRY_COUNT,
        with_store=True,
    ) as started:
        for number in range(2):
            started.add_host(
                f"{SERVICE}-{number}",
                fleets.DATA_CENTRES[number],
                service=SERVICE,
                service_ms=2.0,
                slots=50,
            )
        started.start_store()
        started.wait_for_store()
        started.start_nodes()
        for host in started.hosts_by_id.values():
            if host.service:
                started.start_server(host)
        yield started
        started.assert_epochs_never_decreased()


def run_in_previous(previous_root, script, data):
    """Returns what a script of the previous version writes for some input."""
    return subprocess.run(
        [sys.executable, "-c", script, str(previous_root)],
        input=data,
        check=True,
        capture_output=True,
    ).stdout


def build_follower(host_id):
    return follower.Follower(
        host_id=host_id,
        data_centre="prai",
        has_store=True,
        rng=random.Random(1),
        now=0.0,
    )


# Guards against hosts of the previous version that pull a preset without the
# routes and organisations that this version sends in chunks.
def test_preset_is_pulled_between_the_versions(previous_root):
    preset = msgspec.structs.replace(
        build_preset("large", {f"org-{n}": [f"key-{n}"] for n in range(300)}),
        host_routes=tuple(
            model.HostRoute(
                name=f"r-{n}",
                host="kits.example",
                prefix=f"/{n}/",
                destinations=(model.Destination(service=SERVICE),),
            )
            for n in range(3000)
        ),
    )
    document = in_force.encode(
        in_force.build_successor(
            None, preset=preset, operation_id="large", operator="test"
        )
    )
    source = build_follower("source")
    source.handle(preset_messages.StoreRead(document=document), 0.0)
    answer = source.answer_pull(gossip.PresetRequest(known_digests=()))
    served_again = run_in_previous(
        previous_root, PULL_SCRIPT, gossip_codec.encode_bulk(answer)
    )
    target = build_follower("target")
    target.handle(
        preset_messages.EpochAdvertised(epoch=1, host_id="previous"), 0.0
    )
    response = gossip_codec.decode_bulk(served_again).unwrap()
    target.handle(
        preset_messages.PullAnswered(host_id="previous", response=response), 0.1
    )
    assert target.preset == preset


# Guards against a node of the previous version that loses a part of the syncs
# of this one, which carry crash reports, or whose own syncs can't be read.
def test_previous_version_reads_syncs_with_crash_reports(previous_root):
    member = membership.Member(
        host_id="host-1",
        incarnation="1f",
        data_centre="prai",
        region="penang",
        address="127.0.0.1",
        peer_port=7620,
    )
    report = membership.CrashReport(
        fingerprint="f", host_id="host-2", death_id="1f.1", age_s=3.0
    )
    known = gossip.KnownMember(member=member, health=gossip.Health.ALIVE)
    sent = [
        gossip.SyncRequest(
            sender=member, epoch=3, digests=(5, 6), crash_digest=7
        ),
        gossip.SyncResponse(
            buckets=(1,),
            entries=(known,),
            crash_digest=7,
            crash_reports=(report,),
        ),
    ]
    lines = json.dumps([gossip_codec.encode_bulk(m).hex() for m in sent])
    recoded = run_in_previous(previous_root, RECODE_SCRIPT, lines.encode())
    assert [
        gossip_codec.decode_bulk(bytes.fromhex(line)).unwrap()
        for line in recoded.decode().split()
    ] == sent


# Guards against a node of the previous version that can't contact a host whose
# registry entry has crashes, or doesn't learn of them.
def test_previous_version_reads_entries_with_crashes(previous_root):
    entry = registry.Entry(address="127.0.0.1", port=7620, data_centre="prai")
    crash = registry.Crash(
        fingerprint="f" * 32, death_id="d" * 40, at_ms=1_700_000_000_000
    )
    with_crashes = msgspec.structs.replace(
        entry, crashes=registry.MAX_CRASHES * (crash,)
    )
    recoded = run_in_previous(
        previous_root, RECODE_ENTRY_SCRIPT, registry.encode(with_crashes)
    )
    assert recoded == registry.encode(with_crashes)


def switch(fleet, name, keys_by_organisation, epoch):
    operator = fleet.operator(
        name, preset=build_preset(name, keys_by_organisation)
    )
    assert operator.switch().epoch == epoch
    fleet.wait_for_epoch(
        epoch, fleet.hosts_by_id.values(), fleets.SWITCH_DEADLINE_S
    )


def find_fullest_window(fleet):
    times = [
        line["time"]
        for line in fleet.read_ledgers()
        if line["step"] == "started"
    ]
    return quota_model.find_fullest_window(times)


def test_promises_hold_while_versions_are_mixed(fleet):
    both = {"acme": [KEY], "harbour": [WITHDRAWN_KEY]}
    switch(fleet, "both-keys", both, 1)
    fleet.wait_until_joined()
    fleet.wait_until_granting()
    hosts = list(fleet.hosts_by_id.values())
    entries = hosts[:ENTRY_COUNT]
    senders = [
        Sender(host, entries[index + 1 :] + entries[:index])
        for index, host in enumerate(entries)
    ]
    for sender in senders:
        sender.start()

    for host in hosts[:2]:
        fleet.replace_node(host, is_upgrade=True)
    fleet.replace_node(hosts[-1], is_upgrade=True, stop_signal=signal.SIGKILL)
    assert send(entries[0], WITHDRAWN_KEY) == 200
    switch(fleet, "one-key", {"acme": [KEY]}, 2)
    time.sleep(KEY_DEADLINE_S)
    assert [send(host, WITHDRAWN_KEY) for host in entries] == [401] * 4

    fleet.wait_until_granting()
    for sender in senders:
        sender.pause_s = OVERLOAD_PAUSE_S
    time.sleep(OVERLOAD_S)
    for sender in senders:
        sender.pause_s = USUAL_PAUSE_S
    time.sleep(1.0)

    for host in hosts[2:-1]:
        fleet.replace_node(host, is_upgrade=True)
    for host in hosts[:2]:
        fleet.replace_node(host, is_upgrade=False)
    fleet.wait_until_granting()
    assert [send(host, WITHDRAWN_KEY) for host in entries] == [401] * 4
    for sender in senders:
        sender.is_stopped = True
        sender.join()

    assert find_fullest_window(fleet) <= BOUND
    usual = [s for x in senders for s in x.statuses_by_pause[USUAL_PAUSE_S]]
    overload = [
        s for x in senders for s in x.statuses_by_pause[OVERLOAD_PAUSE_S]
    ]
    assert usual.count(200) >= MIN_SERVED_SHARE * len(usual)
    assert overload.count(200) >= RATE * OVERLOAD_S * MIN_SERVED_SHARE
    assert set(overload) <= {200, 429}
