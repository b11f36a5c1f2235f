@0xd3f2a8c1b0974e65;

# Messages between the processes of the system.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wagtail::wire");

struct JobKey {
  owner @0 :UInt64;      # nonce of the entry incarnation that minted the id
  sequence @1 :UInt64;
}

struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
}

struct StartRequest {
  job @0 :JobKey;
  index @1 :UInt32;
  taskCount @2 :UInt32;
  jobDigest @3 :UInt64;
  mintedUptimeMs @4 :UInt64;
  registryRevision @5 :UInt64;
  service @6 :Text;
  body @7 :Data;
  timeoutMs @8 :UInt32;
}

struct Verdict {
  job @0 :JobKey;
  index @1 :UInt32;
  refusal @2 :UInt16;    # wagtail::refusal
}

struct TaskResult {
  job @0 :JobKey;
  index @1 :UInt32;
  completed @2 :Bool;
  timedOut @3 :Bool;
  body @4 :Data;
  runTimeUs @5 :UInt64;
}

struct TaskRecord {
  job @0 :JobKey;
  index @1 :UInt32;
  state @2 :UInt16;      # wagtail::task_state
  jobDigest @3 :UInt64;
  body @4 :Data;
  hasBody @5 :Bool;
}

struct FenceRequest {
  job @0 :JobKey;
  mintedUptimeMs @1 :UInt64;
}

struct FenceReport {
  forgotten @0 :Bool;
  started @1 :List(TaskRecord);
}

# Configuration state that an entry sends to a target's daemon.
struct TargetPolicy {
  configurationVersion @0 :UInt64;
  admitted @1 :Bool;           # neither the target nor its failure domain is leaving
}

# State that a target's daemon reports to an entry with each heartbeat.
struct TargetReport {
  load @0 :Load;
  enforcedVersion @1 :UInt64;
  ready @2 :Bool;              # a task would be started now
}

# Offered by a target's daemon.
interface TargetGate {
  challenge @0 () -> (nonce :UInt64);
  # proof: HMAC of the cluster key over the two nonces, each fresh for this connection.
  enter @1 (listenerNonce :UInt64, callerNonce :UInt64, entryNonce :UInt64, entryName :Text,
            proof :Data, listener :EntryListener)
      -> (session :TargetSession, target :Text, incarnation :UInt64, proof :Data);
}

interface TargetSession {
  start @0 (incarnation :UInt64, ownerUptimeMs :UInt64, tasks :List(StartRequest))
      -> (verdicts :List(Verdict), load :Load);
  settle @1 (tasks :List(StartRequest), withdrawQueued :Bool)
      -> (records :List(TaskRecord), load :Load);
  fence @2 (jobs :List(FenceRequest)) -> (reports :List(FenceReport));
}

# Offered by an entry to each target's daemon that it is connected to.
interface EntryListener {
  results @0 (results :List(TaskResult), load :Load) -> ();
  # Tasks that were accepted and then not started.
  givenBack @1 (verdicts :List(Verdict), load :Load) -> ();
  heartbeat @2 (report :TargetReport) -> (policy :TargetPolicy);
}

# Offered by an entry to other entries.
interface EntryGate {
  challenge @0 () -> (nonce :UInt64);
  enter @1 (listenerNonce :UInt64, callerNonce :UInt64, proof :Data)
      -> (peer :EntryPeer, nonce :UInt64, proof :Data);
}

# The configuration row as one entry forwards it to another.
struct SharedRow {
  value @0 :Text;
  revision @1 :UInt64;   # 0: no newer row
}

interface EntryPeer {
  # Submits a job to the entry that minted its id; waits for the final answer.
  submit @0 (jobId :Text, team :Text, body :Data) -> (status :UInt16, answer :Data);
  cancel @1 (jobId :Text, team :Text) -> (status :UInt16, answer :Data);
  # have: revision of the requesting entry's row.
  configuration @2 (have :UInt64) -> (row :SharedRow);
  ping @3 () -> ();
}
