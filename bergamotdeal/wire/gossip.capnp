@0xe3b7c2915d0f4a68;
# Membership and preset messages. A UDP datagram holds a message
# authentication code and one Datagram; a bulk frame on a TCP link holds one
# Bulk.

struct Server {
  service @0 :Text;
  slots @1 :UInt32;
  connections @2 :UInt32;
}

enum MemberState {
  alive @0;
  draining @1;
  dead @2;
}

struct Member {
  hostId @0 :Text;
  incarnation @1 :Text;
  dataCentre @2 :Text;
  region @3 :Text;
  address @4 :Text;
  server @5 :Server;
  stateNumber @6 :UInt64;
  peerPort @7 :UInt16;
  adminPort @8 :UInt16;
  state @9 :MemberState;
}

struct Verdict {
  hostId @0 :Text;
  incarnation @1 :Text;
  stateNumber @2 :UInt64;
  health @3 :UInt8;
}

struct CrashReport {
  fingerprint @0 :Text;
  hostId @1 :Text;
  deathId @2 :Text;
  # Zero on older nodes, which send reports soon after the crash only.
  ageMs @3 :UInt32;
}

struct Rumour {
  union {
    member @0 :Member;
    verdict @1 :Verdict;
    crash @2 :CrashReport;
  }
}

struct Datagram {
  sender @0 :Member;
  epoch @1 :UInt64;
  rumours @2 :List(Rumour);
  number @3 :UInt64;
  hostId @4 :Text;
  union {
    ping @5 :Void;
    pingRequest @6 :Void;
    ack @7 :Void;
    spread @8 :Void;
  }
  # Zero unless the store was restored from a copy.
  storeEra @9 :UInt64;
}

struct KnownMember {
  member @0 :Member;
  health @1 :UInt8;
}

struct SyncRequest {
  sender @0 :Member;
  epoch @1 :UInt64;
  digests @2 :List(UInt64);
  # Zero on older nodes, which compare no crash reports.
  crashDigest @3 :UInt64;
}

struct SyncResponse {
  buckets @0 :List(UInt16);
  entries @1 :List(KnownMember);
  crashDigest @2 :UInt64;
  crashReports @3 :List(CrashReport);
}

struct Section {
  name @0 :Text;
  digest @1 :Data;
  content @2 :Data;
  # Absent if the requester already has a section with this digest.
}

struct PresetResponse {
  epoch @0 :UInt64;
  operationId @1 :Text;
  sections @2 :List(Section);
}

struct Bulk {
  union {
    syncRequest @0 :SyncRequest;
    syncResponse @1 :SyncResponse;
    syncPush @2 :List(KnownMember);
    syncDone @3 :Void;
    presetRequest @4 :List(Data);
    presetResponse @5 :PresetResponse;
    # Sent only to nodes that have sent a crash digest.
    crashPush @6 :List(CrashReport);
  }
}
