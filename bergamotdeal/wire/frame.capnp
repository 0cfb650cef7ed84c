@0xd1a54e61f3b7c20b;
# Frames on the TCP links between nodes. Each frame is one message behind a
# 32-bit big-endian length.

struct Hello {
  hostId @0 :Text;
  incarnation @1 :Text;
  nonce @2 :Data;
}

# Reading a field costs far more than the field is worth to a call, so all but
# the body travels in one value, a MessagePack array; see the heads module.

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
    # The keyed digest over both nonces; see the handshake module.
    proof @1 :Data;
    call @2 :Call;
    answer @3 :Answer;
    cancel @4 :UInt64;
    ping @5 :UInt64;
    pong @6 :UInt64;
    # Bulk exchanges of membership and presets: a gossip message each.
    bulkRequest @7 :Data;
    bulkResponse @8 :Data;
  }
}
