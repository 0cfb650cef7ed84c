@0xd1a54e61f3b7c20b;
# Frames on the TCP links between nodes. Each frame is one message with a
# 32-bit big-endian length prefix.

struct Hello {
  hostId @0 :Text;
  incarnation @1 :Text;
  nonce @2 :Data;
  dataCentre @3 :Text;
  # Absent on older nodes, which know no compressed frames.
  canInflate @4 :Bool;
  # Absent on older nodes, which know no withdraw frames.
  canWithdraw @5 :Bool;
}

# Reading single Cap'n Proto fields is too expensive for every call, so all
# fields but the body are packed into one MessagePack array; see the heads
# module.

struct Call {
  number @0 :UInt64;
  head @1 :Data;
  body @2 :Data;
}

struct Answer {
  number @0 :UInt64;
  head @1 :Data;
  body @2 :Data;
}

struct Frame {
  union {
    hello @0 :Hello;
    # Keyed digest of both greetings; see the handshake module.
    proof @1 :Data;
    call @2 :Call;
    answer @3 :Answer;
    cancel @4 :UInt64;
    ping @5 :UInt64;
    pong @6 :UInt64;
    # Anti-entropy and preset transfers; each payload is a Bulk message.
    bulkRequest @7 :Data;
    bulkResponse @8 :Data;
    # Sent only to nodes that say in their greeting that they know it.
    withdraw @9 :UInt64;
  }
}
