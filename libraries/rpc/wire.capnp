@0xd3f2a8c1b0974e65;

# Messages between the system's own processes.

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

# What an entry tells a target's daemon of the configuration.
struct TargetPolicy {
  configurationVersion @0 :UInt64;
  evidenceAgeMs @1 :UInt64;    # since the read of the table that proves the version began
  hasEvidence @2 :Bool;
  admitted @3 :Bool;           # neither the target nor its failure domain is leaving
}

# What a target's daemon tells an entry of itself with each heartbeat.
struct TargetReport {
  load @0 :Load;
  enforcedVersion @1 :UInt64;
  ready @2 :Bool;              # would start a task now
}

# Offered by a target's daemon.
interface TargetGate {
  challenge @0 () -> (nonce :UInt64);
  # proof: HMAC of the cluster key over the two nonces, each chosen afresh for this connection.
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

# Offered by an entry to each target's daemon that it is linked to.
interface EntryListener {
  results @0 (results :List(TaskResult), load :Load) -> ();
  # A task that was accepted and then not started.
  givenBack @1 (verdicts :List(Verdict), load :Load) -> ();
  heartbeat @2 (report :TargetReport) -> (policy :TargetPolicy);
}

# Offered by an entry to other entries.
interface EntryGate {
  challenge @0 () -> (nonce :UInt64);
  enter @1 (listenerNonce :UInt64, callerNonce :UInt64, proof :Data)
      -> (peer :EntryPeer, nonce :UInt64, proof :Data);
}

# A table row as one process hands it on to another.
struct SharedRow {
  value @0 :Text;
  revision @1 :UInt64;   # 0: the row does not exist
}

# The rows of the configuration and of the voters, together.
struct GuardedRows {
  configuration @0 :SharedRow;
  voters @1 :SharedRow;
}

struct EvidenceQuestion {
  have @0 :UInt64;          # version of the asker
  hasRows @1 :Bool;         # the asker's rows come along, for an entry that may not read them
  rows @2 :GuardedRows;
}

# What an entry can show of the newest configuration.
struct Evidence {
  incarnation @0 :UInt64;
  version @1 :UInt64;        # the later of the revisions of the two rows
  hasAge @2 :Bool;
  ageMs @3 :UInt64;          # of its evidence, of any kind
  hasOwnReadAge @4 :Bool;
  ownReadAgeMs @5 :UInt64;   # of its own last successful read of the table
  hasRows @6 :Bool;          # newer than what the asker has
  rows @7 :GuardedRows;
}

interface EntryPeer {
  # Submits a job to the entry that minted its id; waits for the final answer.
  submit @0 (jobId :Text, team :Text, body :Data) -> (status :UInt16, answer :Data);
  cancel @1 (jobId :Text, team :Text) -> (status :UInt16, answer :Data);
  evidence @2 (question :EvidenceQuestion) -> (evidence :Evidence);
  ping @3 () -> ();
}
