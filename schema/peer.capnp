@0xb7a3c1d09e5f2468;
# The protocol between willowarch daemons.
#
# A connection opens with the `Gate`: only a daemon of the same deployment and a
# known protocol version is handed the `Peer` capability.

struct Hello {
  deployment @0 :Text;
  version @1 :UInt32;       # protocol version; adjacent versions work together
  incarnation @2 :UInt64;   # of the sending process
  address @3 :Text;         # at which its own `Gate` listens
  zone @4 :Text;            # availability zone
}

enum ItemKind { row @0; vm @1; notice @2; member @3; }

struct Item {
  kind @0 :ItemKind;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;           # JSON of the typed value
  deleted @4 :Bool;
}

struct ItemVersion {
  kind @0 :ItemKind;
  name @1 :Text;
  version @2 :UInt64;
}

struct RequestName { account @0 :Text; key @1 :Text; }

struct RequestCopy {
  name @0 :RequestName;
  term @1 :UInt32;          # number of take-overs; the copy with the higher term wins
  holder @2 :UInt64;        # incarnation of the daemon that runs the request
  holderAddress @3 :Text;
  digest @4 :Data;          # SHA-256 of the validated call; a client that resumes sends the call
  firstToken @5 :UInt32;    # index of `tokens[0]` in the answer
  tokens @6 :List(Text);
  final @7 :Data;           # JSON of the final answer; empty while running
}

enum ConsentVerdict { granted @0; sealed @1; alreadyGranted @2; }

interface Gate {
  hello @0 (hello :Hello) -> (hello :Hello, peer :Peer);
}

interface Peer {
  # Liveness. `incarnation` is the one that the caller expects at this address.
  probe @0 (incarnation :UInt64) -> (incarnation :UInt64);
  probeVia @1 (address :Text, incarnation :UInt64) -> (alive :Bool);

  # Dissemination of versioned items.
  push @2 (items :List(Item)) -> ();
  summary @3 (buckets :List(UInt64)) -> (versions :List(ItemVersion), differing :List(UInt16));
  fetch @4 (wanted :List(ItemVersion)) -> (items :List(Item));

  # Request copies.
  offer @5 (copy :RequestCopy) -> (accepted :Bool, known :RequestCopy);
  append @6 (copies :List(RequestCopy)) -> (superseded :List(RequestName));
  attach @7 (name :RequestName, firstToken :UInt32, waitMs :UInt32)
      -> (found :Bool, copy :RequestCopy);

  # Requests that must not be repeated. `settled` is the settled answer as JSON; empty if there
  # is none yet.
  runOnce @8 (ticket :Text, call :Data) -> (settled :Data);
  consent @9 (ticket :Text, holder :UInt64) -> (verdict :ConsentVerdict);
  seal @10 (ticket :Text) -> (dispatched :Bool, settled :Data);
  settle @11 (ticket :Text, settled :Data) -> ();

  # Demand of client accounts, averaged pairwise over all daemons. The values are in the
  # order of the account names in the table; `order` is a hash of these names.
  average @12 (epoch :UInt64, order :UInt64, values :List(Float32))
      -> (accepted :Bool, values :List(Float32));
}
