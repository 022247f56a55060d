@0xd41f7a60b2c8e935;
# Gossip between gateway daemons. Each call carries one message in each direction.

struct EndpointLoad {
  endpoint @0 :UInt64;           # hash of the endpoint's id
  running @1 :UInt32;            # requests of this daemon at the endpoint
  promptTokens @2 :UInt32;       # uncached prompt tokens not processed yet
  memoryTokens @3 :UInt32;       # memory that these requests may take, in tokens
}

struct WindowCounts {
  window @0 :UInt64;
  counts @1 :List(UInt32);       # in the order of `accounts`
}

struct ServiceCounters {         # since the daemon started
  service @0 :Text;
  tokens @1 :UInt64;             # uncached prompt tokens sent to endpoints
  requests @2 :UInt64;           # requests that needed an endpoint
}

struct RolloutCounts {           # responses during a roll-out, since the daemon started
  order @0 :UInt64;              # identifies the roll-out's order
  route @1 :Text;
  targetGood @2 :UInt64;         # of the version that is being rolled out
  targetBad @3 :UInt64;          # failures and slow responses
  formerGood @4 :UInt64;         # of other versions
  formerBad @5 :UInt64;
}

struct DaemonState {
  incarnation @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  sequence @3 :UInt64;           # increases with every state
  leaving @4 :Bool;
  accounts @5 :List(Text);
  spent @6 :List(UInt64);        # quota units admitted since the daemon started
  windows @7 :List(WindowCounts);
  loads @8 :List(EndpointLoad);
  zone @9 :Text;
  services @10 :List(ServiceCounters);
  requested @11 :List(UInt64);   # quota units requested, admitted or not
  rollouts @12 :List(RolloutCounts);
  tunnelPort @13 :UInt16;        # port for tunnels to endpoints, at the IP of `address`; 0: none
  partitioned @14 :Bool;         # whether it reaches no endpoint over its own links
  hasContact @15 :Bool;          # whether `contactAgeMs` is set
  contactAgeMs @16 :UInt32;      # since an endpoint last responded over its own links
}

struct GroupCounters {           # sums over the gossip group of the responding daemon
  accounts @0 :List(Text);
  spent @1 :List(UInt64);        # in the order of `accounts`, since that daemon started
  windows @2 :List(WindowCounts);
  loads @3 :List(EndpointLoad);
  services @4 :List(ServiceCounters);
  requested @5 :List(UInt64);    # in the order of `accounts`, since that daemon started
  rollouts @6 :List(RolloutCounts);
}

struct RelayedUsage {            # usage reported by a daemon that may have ended since
  incarnation @0 :UInt64;
  accounts @1 :List(Text);
  windows @2 :List(WindowCounts);
}

struct PeerSummary {
  address @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :UInt32;              # since any daemon last received a message from it
}

struct EndpointEntry {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  zone @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  reclaimable @6 :Bool;
  born @7 :UInt64;               # start time in ms since 1970 by its own clock; 0: unknown
  version @8 :Text;              # version of its software; empty: unknown
}

struct EndpointListText {        # the text of a list of endpoints before compression
  entries @0 :List(EndpointEntry);
}

struct CompressedText {
  base @0 :UInt64;               # hash of the text used as prefix; 0: none
  data @1 :Data;                 # Zstandard with that prefix
}

struct LeaseSummary {
  fence @0 :UInt64;
  holder @1 :Text;
  ageMs @2 :UInt32;              # since the newest renewal began
  daemons @3 :UInt32;            # number of daemons that the holder knew; 0: unknown
  renewals @4 :UInt64;           # number of renewals by this holder
  nextWindow @5 :UInt64;         # first usage window not reported yet; 0: unknown
}

struct CrashedRun {
  endpoint @0 :UInt64;           # hash of the endpoint's id
  begunAgeMs @1 :UInt32;
  crashedAgeMs @2 :UInt32;
}

struct CrashReport {             # a request, or a part of prompts, whose runs have crashed endpoints
  head @0 :UInt64;               # fingerprint: hash of everything except the body; id of a part
  contentLow @1 :UInt64;         # fingerprint: hash of the whole request, lower 64 of 128 bits
  contentHigh @2 :UInt64;        # fingerprint: the upper 64 bits
  runs @3 :List(CrashedRun);
  quarantined @4 :Bool;          # whether the request is refused
  trials @5 :UInt32;             # trial runs since it was quarantined
  hasTrial @6 :Bool;             # whether `trialAgeMs` is set
  trialAgeMs @7 :UInt32;
  wasCleared @8 :Bool;           # whether `clearedAgeMs` is set
  clearedAgeMs @9 :UInt32;
}

struct EndpointWarning {         # a warning in an endpoint's response to some daemon
  endpoint @0 :UInt64;           # hash of the endpoint's id
  born @1 :UInt64;               # start time of the endpoint, see `EndpointEntry`; 0: unknown
  ageMs @2 :UInt32;              # since the response
  drains @3 :Bool;               # whether it drains; otherwise it backs off, refuses or fails
  failed @4 :Bool;               # whether it has failed a request, and nothing more is known
}

struct EndpointLimit {           # the limit in an endpoint's response to some daemon
  endpoint @0 :UInt64;           # hash of the endpoint's id
  born @1 :UInt64;               # start time of the endpoint, see `EndpointEntry`; 0: unknown
  ageMs @2 :UInt32;              # since the response
  isLimited @3 :Bool;            # whether it has a limit; otherwise the limit has ended
  limit @4 :Float64;             # requests per second accepted from all daemons together
}

struct BrittleService {          # a service whose endpoints have said that they are brittle
  service @0 :Text;
  ageMs @1 :UInt32;              # since the newest such response
}

struct LentTokens {              # tokens of an endpoint's limit that the sender lends
  endpoint @0 :UInt64;           # hash of the endpoint's id
  born @1 :UInt64;               # start time of the endpoint, see `EndpointEntry`; 0: unknown
  tokens @2 :Float64;            # each allows one request
}

struct Rollout {                 # an order to move a service onto a version of its endpoints
  service @0 :Text;
  target @1 :Text;               # the version
  order @2 :UInt64;              # identifies the order
  era @3 :UInt64;                # position of the store at which the order was read
  revision @4 :UInt64;
  durationMs @5 :UInt32;         # from the order to its deadline
  ageMs @6 :UInt32;              # since the order
  phase @7 :UInt8;               # index of the phase, from `ordered` to `withdrawn`
  step @8 :UInt32;               # number of changes of the plan
  share @9 :Float64;             # fraction of the requests for the target version
  stopped @10 :Bool;             # whether a daemon has found the target version to be bad
}

struct GossipMessage {
  state @0 :DaemonState;
  known @1 :List(PeerSummary);   # some other daemons
  configuration @2 :UInt64;      # revision of the store at which it was read; 0: none
  configurationText @3 :Data;    # only if the other side has requested it
  hasProof @4 :Bool;             # whether `proofAgeMs` is set
  proofAgeMs @5 :UInt32;         # since the last read of the store that showed no newer one
  endpointRevision @6 :UInt64;   # store revision at which the list of endpoints was read
  endpoints @7 :List(EndpointEntry);
  hasEndpoints @8 :Bool;         # whether `endpoints` is the whole list
  lease @9 :LeaseSummary;
  wantsGroup @10 :Bool;          # whether the response should hold sums over its group
  group @11 :GroupCounters;
  hasGroup @12 :Bool;
  wantsConfiguration @13 :Bool;  # whether the response should hold the configuration's text
  wantsEndpoints @14 :Bool;      # whether it should hold the list of endpoints
  wantsUsage @15 :Bool;          # whether it should hold the usage of other daemons
  usage @16 :List(RelayedUsage); # reported to the sender by other daemons of its group
  acceptsCompressed @17 :Bool;   # whether texts in the response may be compressed
  configurationBases @18 :List(UInt64);  # hashes of the versions that the sender keeps
  compressedConfiguration @19 :CompressedText;  # in place of `configurationText`
  endpointBases @20 :List(UInt64);  # hashes of the versions that the sender keeps
  compressedEndpoints @21 :CompressedText;  # in place of `endpoints`: an `EndpointListText`
  crashes @22 :List(CrashReport);
  warnings @23 :List(EndpointWarning);  # of the last seconds
  limits @24 :List(EndpointLimit);
  configurationVersion @25 :UInt64;  # version number given by the operators; 0: unknown
  configurationEra @26 :UInt64;  # era of `configuration`
  endpointEra @27 :UInt64;       # era of `endpointRevision`
  starting @28 :Bool;            # whether the sender is not up to date with its peers yet
  wantsTokens @29 :Bool;         # whether the response should lend tokens that are not needed
  lent @30 :List(LentTokens);
  rollouts @31 :List(Rollout);
  brittle @32 :List(BrittleService);
  partCrashes @33 :List(CrashReport);  # of parts of prompts; only `head` names them
}

struct TunnelRequest {           # first message on a connection to the port for tunnels
  endpoint @0 :Text;             # id of the endpoint to connect to
  born @1 :UInt64;               # start time of the endpoint, see `EndpointEntry`; 0: unknown
  daemon @2 :Text;               # name of the daemon that opens the tunnel
  request @3 :Text;              # id of the request for which it is opened
}

struct TunnelResponse {
  outcome @0 :UInt8;             # index of the outcome, from `connected` to `notCarried`
}

struct StreamStart {             # where a stream was begun
  stream @0 :UInt64;             # hash of the account and of the id of the attempt
  service @1 :Text;
  version @2 :Text;              # of the endpoint's software
}

struct StreamReport {            # what a daemon knows of a stream
  hasRecord @0 :Bool;            # whether `start` and `ageMs` are set
  start @1 :StreamStart;
  ageMs @2 :UInt32;              # since it was recorded
  onlyVersion @3 :Text;          # the only version that has served while streams may live; empty: unknown
  hasSeveral @4 :Bool;           # whether several versions have served in that time
}

interface SlotLease {             # a slot of a brittle endpoint
  release @0 () -> ();           # its run has ended; without it the slot is lent until `holdMs` is over
}

interface Exchange {
  swap @0 (message :GossipMessage) -> (message :GossipMessage);
  recordStreams @1 (streams :List(StreamStart)) -> ();
  findStream @2 (stream :UInt64, service :Text) -> (report :StreamReport);  # of this service, if it is known
  borrowSlot @3 (service :Text, version :Text, tried :List(Text), holdMs :UInt32)
      -> (granted :Bool, endpoint :Text, lease :SlotLease);
  # `version`: empty if any may run the request. `tried`: ids of endpoints that are not wanted.
  # `holdMs`: the slot is needed no longer.
}
