@0xd2f17c3b90aa4e61;
# What one daemon tells the others in a datagram. Later ones replace earlier ones, so a lost datagram costs only freshness.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::wire");

struct Summary {
  sender @0 :Text;
  sequence @1 :UInt64;  # Rises within an incarnation.
  incarnation @2 :UInt64;
  callerAddress @3 :Text;
  failureDomain @4 :Text;
  serving @5 :Bool;  # Ready and not draining.
  configVersion @6 :UInt64;
  wallMs @7 :Int64;  # Clock of the sender when it sent this.
  loads @8 :List(Load);
  parts @9 :List(Part);  # Sent to engines since the summary before the last one.
  suspects @10 :List(Suspect);
  capacity @11 :Float32;
  holdsLease @12 :Bool;  # Of the duties that one daemon at a time does.
  reserved @13 :List(UInt64);  # Engines whose role is being changed by the sender.
}

struct Load {
  endpoint @0 :UInt64;
  running @1 :UInt16;
  promptTokens @2 :UInt32;
}

struct Part {
  part @0 :UInt64;
  engine @1 :UInt64;
  tokens @2 :UInt32;
  unshared @3 :UInt32;  # Tokens behind the part that no other prompt shares.
}

struct Suspect {
  fingerprint @0 :Text;
  crashes @1 :UInt16;  # 0: it succeeded.
  ageMs @2 :UInt32;  # Of the last crash or of the success.
}
