# A possible later version of `schema/peer.capnp`, for tests: with additional fields, a status, and
# kinds of requests and replies. Its Rust code is generated like that of the schema, into this folder.
@0xd2e7b4a6c9f15a38;

struct Request {
  union {
    digest @0 :Digest;
    manifest @1 :AnyPointer;
    chunk @2 :AnyPointer;
    grant @3 :AnyPointer;
    release @4 :AnyPointer;
    promise @5 :AnyPointer;
    handOver @6 :AnyPointer;
    later @7 :Text;
  }
}

struct Reply {
  union {
    refused @0 :Void;
    digest @1 :Digest;
    manifest @2 :AnyPointer;
    chunk @3 :AnyPointer;
    grant @4 :AnyPointer;
    released @5 :Void;
    promise @6 :AnyPointer;
    handOver @7 :AnyPointer;
    later @8 :Text;
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
  epoch @6 :UInt64;
  notes @7 :List(Text);
}

struct Suspicion {
  name @0 :Text;
  generation @1 :UInt64;
  sequence @2 :UInt64;
}

struct SyncPosition {
  availabilityZone @0 :Text;
  after @1 :Text;
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
  release @13 :Text;
  loadPerMille @14 :UInt32;
}

enum InstanceStatus {
  joining @0;
  serving @1;
  draining @2;
  resting @3;
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
