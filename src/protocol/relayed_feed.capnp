@0xe5a27f0b3c9d4418;
# Changes of a platform table that a relay daemon read from the store and forwards to other daemons.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::wire");

struct RelayedFeed {
  version @0 :UInt64;  # Table version after these rows are applied.
  ageMs @1 :UInt32;  # Since the relay sent the store request that returned this version.
  storeFailedMs @2 :Int32;  # Since the relay's last failed call to the store; -1 if none failed.
  rows @3 :List(Row);

  struct Row {
    key @0 :Text;
    value @1 :Data;
    removed @2 :Bool;
  }
}
