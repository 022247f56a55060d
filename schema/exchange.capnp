@0xd41f7a60b2c8e935;
# What gateway daemons tell each other. One call carries the news of both sides.

struct ReplicaLoad {
  replica @0 :UInt64;        # hash of the replica's id
  running @1 :UInt32;        # requests of this daemon there
  promptTokens @2 :UInt32;   # prompt tokens that have not been read yet
  memoryTokens @3 :UInt32;   # memory that its requests take
}

struct WindowUse {
  window @0 :UInt64;
  counts @1 :List(UInt32);   # in the order of `accounts`
}

struct ServiceTokens {
  service @0 :Text;
  tokens @1 :UInt64;         # prompt tokens sent to be read since the daemon started
}

struct DaemonState {
  incarnation @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  sequence @3 :UInt64;       # of this state, rising
  leaving @4 :Bool;
  accounts @5 :List(Text);
  spent @6 :List(UInt64);    # quota units admitted since the daemon started
  windows @7 :List(WindowUse);
  loads @8 :List(ReplicaLoad);
  zone @9 :Text;
  sent @10 :List(ServiceTokens);
  asked @11 :List(UInt64);   # quota units asked for, admitted or not
}

struct RowSums {             # sums over the row of the daemon that answers
  accounts @0 :List(Text);
  spent @1 :List(UInt64);    # in the order of `accounts`, since that daemon started
  windows @2 :List(WindowUse);
  loads @3 :List(ReplicaLoad);
  sent @4 :List(ServiceTokens);
  asked @5 :List(UInt64);    # in the order of `accounts`, since that daemon started
}

struct DaemonUse {           # usage of one daemon, running or not, as the sender was told it
  incarnation @0 :UInt64;
  accounts @1 :List(Text);
  windows @2 :List(WindowUse);
}

struct PeerWord {
  address @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;          # since somebody heard it
}

struct ReplicaEntry {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  reclaimable @6 :Bool;
}

struct LeaseNews {
  fence @0 :UInt64;
  holder @1 :Text;
  ageMs @2 :UInt32;          # since the renewal was begun
  daemons @3 :UInt32;        # that the holder knew of; 0: not known
  renewals @4 :UInt64;       # by this holder, up to that one
}

struct News {
  state @0 :DaemonState;
  known @1 :List(PeerWord);      # some other daemons
  configuration @2 :UInt64;      # revision held; 0: none
  configurationText @3 :Data;    # where the other side's is older
  proven @4 :Bool;               # whether `proofAgeMs` means anything
  proofAgeMs @5 :UInt32;         # since the store was asked, with an answer of this revision
  replicas @6 :UInt64;           # revision of the list of replicas held
  replicaEntries @7 :List(ReplicaEntry);
  hasReplicas @8 :Bool;          # whether `replicaEntries` is the whole list
  lease @9 :LeaseNews;
  wantsRow @10 :Bool;            # whether the answer should hold the sums of its row
  row @11 :RowSums;
  hasRow @12 :Bool;
  wantsConfiguration @13 :Bool;  # whether the answer should hold the configuration's text
  wantsReplicas @14 :Bool;       # whether it should hold the list of replicas
  wantsUses @15 :Bool;           # whether it should hold the usage of other daemons
  uses @16 :List(DaemonUse);     # usage of other daemons of the sender's row
}

interface Exchange {
  swap @0 (news :News) -> (news :News);
}
