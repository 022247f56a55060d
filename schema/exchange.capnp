@0xd41f7a60b2c8e935;
# Gossip between gateway daemons. One call carries a message of each side.

struct EndpointLoad {
  endpoint @0 :UInt64;           # hash of the endpoint's id
  running @1 :UInt32;            # requests of this daemon there
  promptTokens @2 :UInt32;       # prompt tokens that have not been read yet
  memoryTokens @3 :UInt32;       # memory that its requests take
}

struct WindowCounts {
  window @0 :UInt64;
  counts @1 :List(UInt32);       # in the order of `accounts`
}

struct ServiceCounters {         # since the daemon started
  service @0 :Text;
  tokens @1 :UInt64;             # prompt tokens sent to be read
  requests @2 :UInt64;           # requests that needed an endpoint
}

struct DaemonState {
  incarnation @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  sequence @3 :UInt64;           # of this state, rising
  leaving @4 :Bool;
  accounts @5 :List(Text);
  spent @6 :List(UInt64);        # quota units admitted since the daemon started
  windows @7 :List(WindowCounts);
  loads @8 :List(EndpointLoad);
  zone @9 :Text;
  services @10 :List(ServiceCounters);
  requested @11 :List(UInt64);   # quota units requested, admitted or not
}

struct GroupCounters {           # sums over the gossip group of the daemon that responds
  accounts @0 :List(Text);
  spent @1 :List(UInt64);        # in the order of `accounts`, since that daemon started
  windows @2 :List(WindowCounts);
  loads @3 :List(EndpointLoad);
  services @4 :List(ServiceCounters);
  requested @5 :List(UInt64);    # in the order of `accounts`, since that daemon started
}

struct RelayedUsage {            # usage that one daemon reported, which may have ended since
  incarnation @0 :UInt64;
  accounts @1 :List(Text);
  windows @2 :List(WindowCounts);
}

struct PeerSummary {
  address @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;              # since any daemon last received a report of it
}

struct EndpointEntry {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  reclaimable @6 :Bool;
  born @7 :UInt64;               # ms since 1970 by its own clock; 0: not known
}

struct EndpointListText {        # what is compressed of a list of endpoints
  entries @0 :List(EndpointEntry);
}

struct CompressedText {
  base @0 :UInt64;               # hash of the text that is the prefix; 0: none
  data @1 :Data;                 # Zstandard with that prefix
}

struct LeaseSummary {
  fence @0 :UInt64;
  holder @1 :Text;
  ageMs @2 :UInt32;              # since the renewal was begun
  daemons @3 :UInt32;            # that the holder knew of; 0: not known
  renewals @4 :UInt64;           # by this holder, up to that one
  nextWindow @5 :UInt64;         # first usage window that is not reported yet; 0: not known
}

struct CrashedRun {
  endpoint @0 :UInt64;           # hash of the endpoint's id
  begunAgeMs @1 :UInt32;
  crashedAgeMs @2 :UInt32;
}

struct CrashReport {             # what is known of a request whose runs have crashed endpoints
  head @0 :UInt64;               # fingerprint: hash of all but the body
  contentLow @1 :UInt64;         # fingerprint: 128 bits of the hash of the whole
  contentHigh @2 :UInt64;
  runs @3 :List(CrashedRun);
  quarantined @4 :Bool;          # whether the request is refused
  trials @5 :UInt32;             # since it is
  hasTrial @6 :Bool;             # whether `trialAgeMs` means anything
  trialAgeMs @7 :UInt32;
  wasCleared @8 :Bool;           # whether `clearedAgeMs` means anything
  clearedAgeMs @9 :UInt32;
}

struct EndpointWarning {         # what an endpoint has said in a response to some daemon
  endpoint @0 :UInt64;           # hash of the endpoint's id
  born @1 :UInt64;               # the start that said so; 0: not known
  ageMs @2 :UInt32;              # since the response
  drains @3 :Bool;               # whether it drains; otherwise it has refused a request
}

struct EndpointLimit {           # what an endpoint has said of its limit to some daemon
  endpoint @0 :UInt64;           # hash of the endpoint's id
  born @1 :UInt64;               # the start that said so; 0: not known
  ageMs @2 :UInt32;              # since the response
  isLimited @3 :Bool;            # whether it names a limit; otherwise it no longer does
  limit @4 :Float64;             # requests a second that it takes from all daemons
}

struct GossipMessage {
  state @0 :DaemonState;
  known @1 :List(PeerSummary);   # some other daemons
  configuration @2 :UInt64;      # revision of the store at which it was read; 0: none
  configurationText @3 :Data;    # where the other side's is older
  hasProof @4 :Bool;             # whether `proofAgeMs` means anything
  proofAgeMs @5 :UInt32;         # since the store was read that showed no newer one
  endpointRevision @6 :UInt64;   # revision of the list of endpoints held
  endpoints @7 :List(EndpointEntry);
  hasEndpoints @8 :Bool;         # whether `endpoints` is the whole list
  lease @9 :LeaseSummary;
  wantsGroup @10 :Bool;          # whether the response should hold the sums of its group
  group @11 :GroupCounters;
  hasGroup @12 :Bool;
  wantsConfiguration @13 :Bool;  # whether the response should hold the configuration's text
  wantsEndpoints @14 :Bool;      # whether it should hold the list of endpoints
  wantsUsage @15 :Bool;          # whether it should hold the usage of other daemons
  usage @16 :List(RelayedUsage); # usage that other daemons of its group reported to the sender
  acceptsCompressed @17 :Bool;   # whether texts in the response may be compressed
  configurationBases @18 :List(UInt64);  # hashes of the texts that the sender keeps
  compressedConfiguration @19 :CompressedText;  # in place of `configurationText`
  endpointBases @20 :List(UInt64);  # hashes of the texts that the sender keeps
  compressedEndpoints @21 :CompressedText;  # in place of `endpoints`: an `EndpointListText`
  crashes @22 :List(CrashReport);
  warnings @23 :List(EndpointWarning);  # of the last seconds
  limits @24 :List(EndpointLimit);
  configurationVersion @25 :UInt64;  # the operators' number; 0: not known
  configurationEra @26 :UInt64;  # era of `configuration`
  endpointEra @27 :UInt64;       # era of `endpointRevision`
  starting @28 :Bool;            # whether the sender does not know yet what its peers know
}

interface Exchange {
  swap @0 (message :GossipMessage) -> (message :GossipMessage);
}
