@0xd2f17c3b90aa4e61;
# State that a daemon sends to all others in one UDP datagram. Each summary replaces the one before, so a lost datagram only delays an update.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::wire");

struct Summary {
  sender @0 :Text;
  sequence @1 :UInt64;  # Increases within an incarnation.
  incarnation @2 :UInt64;
  callerAddress @3 :Text;
  failureDomain @4 :Text;
  serving @5 :Bool;  # Ready and not draining.
  configVersion @6 :UInt64;
  wallMs @7 :Int64;  # Wall clock of the sender at sending time, in milliseconds.
  loads @8 :List(Load);
  parts @9 :List(Part);  # Prefix blocks of prompts sent to engines since the last summary.
  suspects @10 :List(Suspect);
  capacity @11 :Float32;  # Relative processor and link capacity of the sender.
  holdsLease @12 :Bool;  # The sender holds the lease of the duties that one daemon does at a time.
  reserved @13 :List(UInt64);  # Hashes of engines whose role the sender is changing.
}

struct Load {  # Running requests of the sender at an endpoint.
  endpoint @0 :UInt64;
  running @1 :UInt16;
  promptTokens @2 :UInt32;
}

struct Part {  # A prefix block of a prompt that the sender sent to an engine.
  part @0 :UInt64;  # Block id, from the header of the request.
  engine @1 :UInt64;
  tokens @2 :UInt32;
  unshared @3 :UInt32;  # Prompt tokens that no other prompt shares: those after the last shared block.
}

struct Suspect {
  fingerprint @0 :Text;
  crashes @1 :UInt16;  # 0: the request succeeded.
  ageMs @2 :UInt32;  # Since the last crash or the success.
}
