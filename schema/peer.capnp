@0xb7a3c1d09e5f2468;
# The protocol between willowarch's own daemons.
#
# A connection opens with the `Gate`: only a daemon of the same deployment and a
# known protocol version is handed the `Peer` capability.

struct Hello {
  deployment @0 :Text;
  version @1 :UInt32;       # protocol version; adjacent versions work together
  incarnation @2 :UInt64;   # of the process that speaks
  address @3 :Text;         # where its own gate listens
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
  term @1 :UInt32;          # counts take-overs; a higher one wins
  holder @2 :UInt64;        # incarnation that runs the request
  holderAddress @3 :Text;
  digest @4 :Data;          # SHA-256 of the checked call; whoever resumes brings the call
  firstToken @5 :UInt32;    # index of tokens[0] in the answer
  tokens @6 :List(Text);
  final @7 :Data;           # JSON of the final answer, empty while running
}

enum ConsentVerdict { granted @0; sealed @1; alreadyGranted @2; }

interface Gate {
  hello @0 (hello :Hello) -> (hello :Hello, peer :Peer);
}

interface Peer {
  # Liveness: `incarnation` is the one the prober believes it speaks to.
  probe @0 (incarnation :UInt64) -> (incarnation :UInt64);
  probeVia @1 (address :Text, incarnation :UInt64) -> (alive :Bool);

  # Spread of versioned items.
  push @2 (items :List(Item)) -> ();
  summary @3 (buckets :List(UInt64)) -> (versions :List(ItemVersion), differing :List(UInt16));
  fetch @4 (wanted :List(ItemVersion)) -> (items :List(Item));

  # Request copies.
  offer @5 (copy :RequestCopy) -> (accepted :Bool, known :RequestCopy);
  append @6 (copies :List(RequestCopy)) -> (superseded :List(RequestName));
  attach @7 (name :RequestName, firstToken :UInt32, waitMs :UInt32)
      -> (found :Bool, copy :RequestCopy);

  # Requests that may not be repeated. `settled` is JSON, empty where nothing has ended.
  runOnce @8 (ticket :Text, call :Data) -> (settled :Data);
  consent @9 (ticket :Text, holder :UInt64) -> (verdict :ConsentVerdict);
  seal @10 (ticket :Text) -> (dispatched :Bool, settled :Data);
  settle @11 (ticket :Text, settled :Data) -> ();

  # Demand of client accounts, averaged pairwise over all daemons. The values stand in
  # the order of the accounts' names in the table; `order` is a hash of those names.
  average @12 (epoch :UInt64, order :UInt64, values :List(Float32))
      -> (accepted :Bool, values :List(Float32));
}
