@0xb6f0a3c1d2e45978;
# RPC interfaces and messages between the daemons of a cell (docs/design.md, section 13).

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::rpc");

# The bootstrap capability of every connection. Each side proves that it has the cluster secret with an HMAC-SHA256 over its side
# (client or server), both instance identifiers and both nonces. The new nonces of each connection prevent replays of a recorded login.
interface Login {
  begin @0 (clientId :Text, clientNonce :Data) -> (serverId :Text, serverNonce :Data, serverProof :Data, proof :LoginProof);
}

interface LoginProof {
  prove @0 (clientProof :Data) -> (peer :Peer);
}

interface Peer {
  heartbeat @0 (message :Heartbeat) -> (reply :HeartbeatReply);
  pushPatch @1 (patch :Patch) -> ();
  fetchPatches @2 (after :UInt64, limit :UInt32) -> (patches :List(Patch));
  holdUsage @3 (records :List(UsageRecord)) -> ();
  releaseUsage @4 (requestIds :List(Text)) -> ();
}

struct Heartbeat {
  sequence @0 :UInt64;  # Increases within a connection. A repeated or lower number is rejected.
  sender @1 :Text;
  address @2 :Text;
  callerAddress @3 :Text;
  failureDomain @4 :Text;
  configVersion @5 :UInt64;
  rosterVersion @6 :UInt64;
  draining @7 :Bool;
  reports @8 :List(EndpointReport);
  suspects @9 :List(Suspect);
  demand @10 :List(GroupDemand);
  load @11 :Float32;  # Utilisation of the sender itself, from 0 (idle) to 1 (full).
  drainingEndpoints @12 :List(Text);  # Endpoints that the sender, as the holder of the lease `provision`, is about to return to the platform.
  drainNotice @13 :DrainNotice;  # The newest notice that the sender holds.
}

# Endpoints that get no new work because the holder of the lease `orders` is about to give them an order.
struct DrainNotice {
  epoch @0 :UInt64;
  revision @1 :UInt64;
  endpoints @2 :List(Text);
}

# State of the receiver, read after the heartbeat arrived. The sender may treat it as valid from the time at which it sent the heartbeat.
struct HeartbeatReply {
  configVersion @0 :UInt64;
  rosterVersion @1 :UInt64;
  draining @2 :Bool;
  drainNotice @3 :DrainNotice;
}

struct EndpointReport {
  endpoint @0 :Text;
  reachable @1 :Bool;
  leaving @2 :Bool;
  role @3 :UInt8;
  changingRole @4 :Bool;
  orderRevision @5 :UInt64;
  orderEpoch @6 :UInt64;
  queuedPromptTokens @7 :Float32;
  runningStreams @8 :UInt32;
  freeKvTokens @9 :Float32;
  prefillTokensPerSecond @10 :Float32;
  ageMs @11 :Float32;
}

struct Suspect {
  fingerprint @0 :Text;
  crashes @1 :UInt32;
}

struct GroupDemand {
  group @0 :Text;
  weightedTokens @1 :Float32;
  # Prompt and output tokens per second over the short and the long horizon.
  shortPrompt @2 :Float32;
  shortOutput @3 :Float32;
  longPrompt @4 :Float32;
  longOutput @5 :Float32;
}

struct Patch {
  version @0 :UInt64;
  mergePatch @1 :Text;
  whole @2 :Bool;  # `mergePatch` is the full document of the version, not a patch.
}

struct UsageRecord {
  requestId @0 :Text;
  organisation @1 :Text;
  requests @2 :UInt64;
  promptTokens @3 :UInt64;
  cachedTokens @4 :UInt64;
  outputTokens @5 :UInt64;
  serviceCalls @6 :UInt64;
  writer @7 :Text;  # The process that served the request. Together with the number that it gave the record, it ensures billing once.
  number @8 :UInt64;
}
