@0xb8a1c7de5f203946;
# State exchange between daemons over UDP, one message per datagram. Every message replaces or extends what the receiver holds, so a lost datagram
# only delays an update: the next poll asks again for everything after the position that the poller reached.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::wire");

struct ExchangeMessage {
  union {
    summary @0 :Summary;
    poll @1 :Poll;
    tables @2 :Tables;
    sumsRequest @3 :SumsRequest;
  }
}

struct Summary {  # State of one daemon, for the aggregators of its failure domain.
  sender @0 :Text;
  sequence @1 :UInt64;  # Increases within an incarnation.
  incarnation @2 :UInt64;
  serving @3 :Bool;  # Ready and not draining.
  holdsLease @4 :Bool;  # The sender holds the lease of the duties that one daemon does at a time.
  wallMs @5 :Int64;  # Wall clock of the sender at sending time, in milliseconds.
  loads @6 :List(Load);
  prefixUses @7 :List(PrefixUse);  # Since the last summary.
  suspects @8 :List(Suspect);
  reserved @9 :List(UInt64);  # Hashes of engines whose role the sender is changing.
  position @10 :Position;  # Set if the sender asks for the tables.
  notices @11 :List(Notice);
  reportedBefore @12 :Int64;  # Usage of the windows before this one may have been reported; 0 unless the store was restored recently.
  sums @13 :List(UInt64);  # All of the sender's own sums (see below); null: those sent before are still right.
  sumsVersion @14 :UInt16;  # Of the newest sums that the sender has sent; 0 if it has sent none. A receiver that holds another version asks for them.
}

# A sum is one word: the key in the upper 40 bits, and the value in the lower 24 as the exponent and the 16 upper bits of the mantissa of a Float32.
# The value 0 ends the sum of a key.

struct SumsRequest {  # Asks for the sums of the receiver with its next summary.
  sender @0 :Text;
}

struct Poll {  # Asks an aggregator of another failure domain for the tables of its domain.
  sender @0 :Text;
  position @1 :Position;
}

struct Position {  # How far a reader has read the tables of an aggregator.
  epoch @0 :UInt64;  # Of the tables; a new epoch starts at 0.
  loads @1 :UInt64;
  daemons @2 :UInt64;
  prefixUses @3 :UInt64;
  sums @4 :UInt64;
}

struct Tables {  # Answer to a poll: what changed after its position.
  sender @0 :Text;
  sequence @1 :UInt64;  # Increases with each answer.
  wallMs @2 :Int64;  # Wall clock of the sender at sending time, in milliseconds.
  ageMs @3 :UInt32;  # Age of the oldest part that the tables include.
  complete @4 :Bool;  # Nothing newer is left to send.
  warm @5 :Bool;  # The sender has been an aggregator for long enough to have received the summaries of all daemons of its domain.
  startLoads @6 :UInt64;  # Positions from which the changes are listed; 0 if the reader's position was of another epoch.
  startDaemons @7 :UInt64;
  position @8 :Position;  # After applying this message.
  loads @9 :List(Load);
  daemons @10 :List(Daemon);
  prefixUses @11 :List(PrefixUse);
  suspects @12 :List(Suspect);
  reserved @13 :List(UInt64);
  notices @14 :List(Notice);
  sums @15 :List(UInt64);  # Sums over daemons that have changed, as in Summary.
  startSums @16 :UInt64;  # As startLoads.
  sumsComplete @17 :Bool;  # No newer sum is left to send.
}

struct Load {  # Running requests at an endpoint.
  endpoint @0 :UInt64;
  running @1 :UInt32;
  promptTokens @2 :UInt32;  # Whose prefill has not ended.
}

struct Daemon {
  id @0 :Text;
  alive @1 :Bool;
  serving @2 :Bool;
  holdsLease @3 :Bool;
  clockDifferenceMs @4 :Int32;  # Wall clock of the daemon minus that of the sender of the message.
  reportedBefore @5 :Int64;  # As in Summary.
}

struct PrefixUse {  # A prefix block of a prompt that was sent to an engine.
  block @0 :UInt64;  # Block id, from the header of the request.
  engine @1 :UInt64;
  tokens @2 :UInt32;
  unshared @3 :UInt32;  # Prompt tokens that no other prompt shares: those after the last shared block.
}

struct Suspect {  # A request, or a part of prompts, that was running when endpoints crashed.
  fingerprint @0 :Text;
  crashed @1 :List(UInt64);  # Hashes of the endpoint processes that crashed; empty: the request succeeded.
  ageMs @2 :UInt32;  # Since the last crash or the success.
  crashAgesMs @3 :List(UInt32);  # Since each crash, in the order of `crashed`.
  successAgeMs @4 :UInt32 = 0xffffffff;  # Since the last success; the largest value if there was none.
}

struct Notice {  # What an endpoint said of itself in an answer to some daemon.
  endpoint @0 :UInt64;
  ageMs @1 :UInt32;  # Since it said so.
  leaving @2 :Bool;
  limited @3 :Bool;
  perSecond @4 :Float64;  # Limit of requests for all daemons together, if `limited`.
}
