# Messages between instances. `docs/decisions/0009-peer-protocol.md` defines how they may change:
# fields are only added, each with the next ordinal; a default value means "unknown".
@0xc1d6a3f5b8e04927;

interface Peer {
  # Sends one packed `Request` and returns its packed `Reply`.
  call @0 (message :Data) -> (message :Data);
}

struct Hello {
  # First message of both sides of a connection.
  version @0 :UInt16;
  # Protocol version of the sender.
  leastVersion @1 :UInt16;
  # Oldest protocol version that the sender supports.
  nonce @2 :Data;
  # Random bytes, new for each connection.
  name @3 :Text;
  availabilityZone @4 :Text;
  incarnation @5 :UInt64;
}

struct Proof {
  # Message authentication code over both `Hello`s, from each side.
  mac @0 :Data;
}

struct Verdict {
  # Whether the accepting side accepts the connecting side's proof.
  accepted @0 :Bool;
}

struct Request {
  union {
    digest @0 :Digest;
    manifest @1 :ManifestRequest;
    chunk @2 :ChunkRequest;
    grant @3 :GrantRequest;
    release @4 :ReleaseRequest;
    promise @5 :PromiseRequest;
    handOver @6 :HandOverRequest;
  }
}

struct Reply {
  union {
    refused @0 :Void;
    digest @1 :Digest;
    manifest @2 :Part;
    chunk @3 :Part;
    grant @4 :GrantReply;
    released @5 :Void;
    promise @6 :PromiseReply;
    handOver @7 :HandOverReply;
  }
}

struct Address {
  ip @0 :Data;
  # 4 or 16 bytes, in network order.
  port @1 :UInt16;
}

struct Digest {
  instances @0 :List(InstanceDigest);
  configurationNumber @1 :UInt64;
  suspicions @2 :List(Suspicion);
  unreachableZones @3 :List(Text);
  sync @4 :SyncPosition;
  moreAfter @5 :Text;
}

struct SyncPosition {
  availabilityZone @0 :Text;
  after @1 :Text;
}

struct Suspicion {
  name @0 :Text;
  generation @1 :UInt64;
  sequence @2 :UInt64;
}

struct InstanceDigest {
  name @0 :Text;
  availabilityZone @1 :Text;
  incarnation @2 :UInt64;
  generation @3 :UInt64;
  sequence @4 :UInt64;
  ageMs @5 :UInt64;
  callerAddress @6 :Address;
  peerAddress @7 :Address;
  status @8 :InstanceStatus;
  configurationNumber @9 :UInt64;
  successorOf @10 :List(UInt64);
  sites @11 :List(SiteFigure);
  servers @12 :List(ServerFigure);
}

enum InstanceStatus {
  joining @0;
  serving @1;
  draining @2;
}

struct SiteFigure {
  service @0 :Text;
  availabilityZone @1 :Text;
  inFlight @2 :UInt32;
  grantedSlots @3 :UInt32;
  latencyUs @4 :UInt32;
  failedPerMille @5 :UInt16;
}

struct ServerFigure {
  address @0 :Address;
  leaving @1 :Bool;
}

struct ManifestRequest {
  knownNumber @0 :UInt64;
  number @1 :UInt64;
  offset @2 :UInt64;
}

struct ChunkRequest {
  digest @0 :Text;
  offset @1 :UInt64;
}

struct Part {
  totalBytes @0 :UInt64;
  offset @1 :UInt64;
  bytes @2 :Data;
}

struct GrantRequest {
  knownEpoch @0 :UInt64;
  links @1 :List(LinkAmount);
  sites @2 :List(SiteAmount);
  number @3 :UInt64;
  acceptedNumber @4 :UInt64;
  inUse @5 :List(SiteAmount);
}

struct LinkAmount {
  to @0 :Text;
  requestsPerKs @1 :UInt64;
  bytesPerS @2 :UInt64;
}

struct SiteAmount {
  service @0 :Text;
  availabilityZone @1 :Text;
  slots @2 :UInt32;
}

struct GrantReply {
  epoch @0 :UInt64;
  lastsMs @1 :UInt64;
  links @2 :List(LinkAmount);
  sites @3 :List(SiteAmount);
}

struct ReleaseRequest {
  epoch @0 :UInt64;
  number @1 :UInt64;
}

struct PromiseRequest {
  epoch @0 :UInt64;
  lastsMs @1 :UInt64;
}

struct PromiseReply {
  promised @0 :Bool;
  knownEpoch @1 :UInt64;
}

struct HandOverRequest {
  home @0 :UInt64;
  part @1 :UInt32;
  last @2 :Bool;
  records @3 :List(KeyRecord);
  successor @4 :UInt64;
  horizonMs @5 :UInt64;
}

struct KeyRecord {
  key @0 :Text;
  fingerprint @1 :UInt64;
  keepMs @2 :UInt64;
  outcome :union {
    unknown @3 :Void;
    ran @4 :Void;
    answered @5 :Answer;
    inProgress @6 :Void;
    notRun @7 :Void;
  }
}

struct Answer {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

struct HandOverReply {
  accepted @0 :Bool;
}
