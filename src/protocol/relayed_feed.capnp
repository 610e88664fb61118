@0xe5a27f0b3c9d4418;
# Changes of a platform table that one daemon read from the store and passes on to another.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("lacewinglock::wire");

struct RelayedFeed {
  version @0 :UInt64;  # Reached with these rows.
  ageMs @1 :UInt32;  # Since the call to the store that proves it was made.
  storeFailedMs @2 :Int32;  # Since the sender's last failed call to the store; -1: none.
  rows @3 :List(Row);

  struct Row {
    key @0 :Text;
    value @1 :Data;
    removed @2 :Bool;
  }
}
