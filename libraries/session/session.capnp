@0xd0f3a9b7c5e21846;
# Protocol between entries and the agents of targets. Agents connect to entries, and both ends send
# one-way messages over the connection. All durations are in microseconds.
#
# Ends of different versions work together, see docs/COMPATIBILITY.md: fields are only added, at the
# next number; a field that is no longer used keeps its number and is marked as unused.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("wagtail::session_wire");

struct Queue {
  name @0 :Text;
  host @1 :Text;
  pathPrefix @2 :Text;
  service @3 :Text;
  priority @4 :UInt32;
  maxAttempts @5 :UInt32;
  stretch @6 :Float64;
  allowance @7 :Int64;
  timeout @8 :Int64;
}

struct Service {
  name @0 :Text;
  targetsGuardCapacity @1 :Bool;
}

struct Plan {
  revision @0 :UInt64;
  version @1 :UInt64;
  queues @2 :List(Queue);
  services @3 :List(Service);
  leavingDomains @4 :List(Text);
  maxBodyBytes @5 :UInt64;
}

struct TaskOrder {
  order @0 :UInt64;       # unique within the session
  step @1 :UInt32;
  index @2 :UInt32;
  run @3 :UInt32;         # least number of the run
  cpu @4 :UInt32;         # thousandths of a core
  memMb @5 :UInt32;
  gpu @6 :UInt32;
  estimate @7 :Int64;     # expected duration on a target of nominal speed
}

# Orders for tasks of one job; the job's text is sent once for all of them.
struct JobOrder {
  job @0 :Text;
  text @1 :Text;
  tasks @2 :List(TaskOrder);
}

enum Outcome {
  done @0;
  failed @1;
  stopped @2;       # on request of the entry, or because its session lease lapsed
  lost @3;          # lease lapsed or the target is gone; certainly not running any more
  notStarted @4;    # refused; never started under this order
  voided @5;        # start without an answer, made void for this incarnation of the target
}

struct TaskResult {
  order @0 :UInt64;
  outcome @1 :Outcome;
  reason @2 :Text;
  run @3 :UInt32;       # the number used, or 0
  waited @4 :Int64;     # from the order's arrival to the start
  ran @5 :Int64;        # from the start to the end
}

enum TargetState {
  absent @0;     # no target has announced itself, or it is unreachable
  serving @1;
  draining @2;
}

struct Load {
  state @0 :TargetState;
  target @1 :Text;
  service @2 :Text;
  cpu @3 :UInt32;
  memMb @4 :UInt32;
  gpu @5 :UInt32;
  freeCpu @6 :Int32;
  freeMemMb @7 :Int32;
  freeGpu @8 :Int32;
  slowness @9 :Float64;       # ratio of a task's duration to its estimate
  failing @10 :Float64;       # share of the recent runs that failed
  meanRun @11 :Int64;         # mean duration of the recent runs
  entries @12 :UInt32;        # open sessions of the agent
  ordersSeen @13 :UInt64;     # highest order of this session that the free resources account for
  settled @14 :Bool;          # no order of an earlier session with this entry can still run
}

struct Report {
  load @0 :Load;
  results @1 :List(TaskResult);
  planRevision @2 :UInt64;
  plan @3 :Plan;              # present when newer than the entry's
  otherEntries @4 :List(Text);
  sent @5 :Int64;             # time of sending on the agent's clock
  crashes @6 :List(TaskCrash);  # to be taken before the results
}

# A task that ran on the agent's target when that crashed, whichever entry had ordered it.
struct TaskCrash {
  job @0 :Text;
  step @1 :UInt32;
  index @2 :UInt32;
  suspected @3 :Bool;         # had begun just before the crash
}

struct Hello {
  agent @0 :Text;             # name of the VM
  address @1 :Text;
  domain @2 :Text;
  build @3 :Build;
}

# The program at one end of a session. Absent from peers of protocol 1.
struct Build {
  oldestProtocol @0 :UInt16;
  newestProtocol @1 :UInt16;
  description @2 :Text;       # version and commit
}

# The first of a connection's messages to the entry is a hello, all others are reports. Kinds that
# the entry does not know are ignored.
struct ToEntry {
  union {
    hello @0 :Hello;
    report @1 :Report;
  }
}

# Everything to send to an agent at the end of a turn of the entry's event loop.
struct ToAgent {
  reportSent @0 :Int64;       # `sent` of the newest report that the entry took; 0 before the first one
  planRevision @1 :UInt64;
  plan @2 :Plan;              # present when newer than the agent's
  otherEntries @3 :List(Text);
  jobs @4 :List(JobOrder);
  stops @5 :List(UInt64);
  build @6 :Build;            # in the first message of a session
  draining @7 :Bool;          # the entry is about to end; the agent is to open another session
  waitingPriority @8 :UInt32; # of the most urgent job that waits for the target's service, plus 2;
                              # 1: none waits; 0: the entry does not tell
}
