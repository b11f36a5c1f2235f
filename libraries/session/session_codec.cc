#include "session/session_codec.h"

#include <algorithm>
#include <memory>

namespace wagtail::leased {
namespace {

/// Values of ToAgent.waitingPriority if no job waits, and if one of the highest priority does.
constexpr uint32_t kNoneWaits = 1;
constexpr uint32_t kHighestWaits = 2;

duration ToDuration(int64_t microseconds) { return duration(microseconds); }

uint32_t ToWireSize(int64_t amount) {
  return static_cast<uint32_t>(std::clamp<int64_t>(amount, 0, UINT32_MAX));
}

int32_t ToSignedWireSize(int64_t amount) {
  return static_cast<int32_t>(std::clamp<int64_t>(amount, INT32_MIN, INT32_MAX));
}

session_wire::Outcome ToWire(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kDone:
      return session_wire::Outcome::DONE;
    case run_outcome::kFailed:
      return session_wire::Outcome::FAILED;
    case run_outcome::kStopped:
      return session_wire::Outcome::STOPPED;
    case run_outcome::kLost:
      return session_wire::Outcome::LOST;
    case run_outcome::kNotStarted:
      return session_wire::Outcome::NOT_STARTED;
    case run_outcome::kVoided:
      return session_wire::Outcome::VOIDED;
  }
  return session_wire::Outcome::LOST;
}

run_outcome FromWire(session_wire::Outcome outcome) {
  switch (outcome) {
    case session_wire::Outcome::DONE:
      return run_outcome::kDone;
    case session_wire::Outcome::FAILED:
      return run_outcome::kFailed;
    case session_wire::Outcome::STOPPED:
      return run_outcome::kStopped;
    case session_wire::Outcome::NOT_STARTED:
      return run_outcome::kNotStarted;
    case session_wire::Outcome::VOIDED:
      return run_outcome::kVoided;
    case session_wire::Outcome::LOST:
      break;
  }
  return run_outcome::kLost;
}

session_wire::TargetState ToWire(target_availability state) {
  switch (state) {
    case target_availability::kServing:
      return session_wire::TargetState::SERVING;
    case target_availability::kDraining:
      return session_wire::TargetState::DRAINING;
    case target_availability::kAbsent:
      break;
  }
  return session_wire::TargetState::ABSENT;
}

target_availability FromWire(session_wire::TargetState state) {
  switch (state) {
    case session_wire::TargetState::SERVING:
      return target_availability::kServing;
    case session_wire::TargetState::DRAINING:
      return target_availability::kDraining;
    case session_wire::TargetState::ABSENT:
      break;
  }
  return target_availability::kAbsent;
}

}  // namespace

std::vector<std::string> Read(capnp::List<capnp::Text>::Reader in) {
  std::vector<std::string> texts;
  for (auto text : in) {
    texts.emplace_back(text.cStr());
  }
  return texts;
}

void Write(std::span<const std::string> texts, capnp::List<capnp::Text>::Builder out) {
  for (size_t index = 0; index < texts.size(); ++index) {
    out.set(static_cast<unsigned>(index), texts[index]);
  }
}

void Write(const operating_plan& plan, session_wire::Plan::Builder out) {
  out.setRevision(plan.revision);
  out.setVersion(plan.version);
  auto queues = out.initQueues(static_cast<unsigned>(plan.queues.size()));
  for (unsigned index = 0; index < queues.size(); ++index) {
    const queue_plan& queue = plan.queues[index];
    auto entry = queues[index];
    entry.setName(queue.name);
    entry.setHost(queue.host);
    entry.setPathPrefix(queue.path_prefix);
    entry.setService(queue.service);
    entry.setPriority(queue.priority);
    entry.setMaxAttempts(queue.max_attempts);
    entry.setStretch(queue.stretch);
    entry.setAllowance(queue.allowance.count());
    entry.setTimeout(queue.timeout.count());
  }
  auto services = out.initServices(static_cast<unsigned>(plan.services.size()));
  for (unsigned index = 0; index < services.size(); ++index) {
    services[index].setName(plan.services[index].name);
    services[index].setTargetsGuardCapacity(plan.services[index].targets_guard_capacity);
  }
  std::vector<std::string> leaving(plan.leaving_domains.begin(), plan.leaving_domains.end());
  Write(leaving, out.initLeavingDomains(static_cast<unsigned>(leaving.size())));
  out.setMaxBodyBytes(plan.max_body_bytes);
}

operating_plan Read(session_wire::Plan::Reader in) {
  operating_plan plan;
  plan.revision = in.getRevision();
  plan.version = in.getVersion();
  for (auto queue : in.getQueues()) {
    plan.queues.push_back({.name = queue.getName().cStr(),
                           .host = queue.getHost().cStr(),
                           .path_prefix = queue.getPathPrefix().cStr(),
                           .service = queue.getService().cStr(),
                           .priority = queue.getPriority(),
                           .max_attempts = queue.getMaxAttempts(),
                           .stretch = queue.getStretch(),
                           .allowance = ToDuration(queue.getAllowance()),
                           .timeout = ToDuration(queue.getTimeout())});
  }
  for (auto service : in.getServices()) {
    plan.services.push_back({.name = service.getName().cStr(),
                             .targets_guard_capacity = service.getTargetsGuardCapacity()});
  }
  for (std::string& domain : Read(in.getLeavingDomains())) {
    plan.leaving_domains.insert(std::move(domain));
  }
  plan.max_body_bytes = in.getMaxBodyBytes();
  return plan;
}

void Write(const order_batch& batch, session_wire::JobOrder::Builder out) {
  out.setJob(batch.job);
  out.setText(*batch.text);
  auto tasks = out.initTasks(static_cast<unsigned>(batch.orders.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) {
    const task_order& order = batch.orders[index];
    auto entry = tasks[index];
    entry.setOrder(order.order);
    entry.setStep(order.task.step);
    entry.setIndex(order.task.index);
    entry.setRun(order.run);
    entry.setCpu(ToWireSize(order.resources.cpu));
    entry.setMemMb(ToWireSize(order.resources.mem_mb));
    entry.setGpu(ToWireSize(order.resources.gpu));
    entry.setEstimate(order.estimate.count());
  }
}

std::vector<run_order> Read(session_wire::JobOrder::Reader in, session_id session) {
  std::vector<run_order> orders;
  std::string job = in.getJob().cStr();
  auto text = std::make_shared<const std::string>(in.getText().cStr(), in.getText().size());
  for (auto task : in.getTasks()) {
    orders.push_back(
        {.session = session,
         .order = task.getOrder(),
         .task = {.job = job, .step = task.getStep(), .index = task.getIndex()},
         .text = text,
         .run = task.getRun(),
         .resources = {.cpu = task.getCpu(), .mem_mb = task.getMemMb(), .gpu = task.getGpu()},
         .estimate = ToDuration(task.getEstimate())});
  }
  return orders;
}

void Write(const run_result& result, session_wire::TaskResult::Builder out) {
  out.setOrder(result.order);
  out.setOutcome(ToWire(result.outcome));
  out.setReason(result.reason);
  out.setRun(result.run);
  out.setWaited(result.waited.count());
  out.setRan(result.ran.count());
}

run_result Read(session_wire::TaskResult::Reader in, session_id session) {
  return {.session = session,
          .order = in.getOrder(),
          .task = {},
          .outcome = FromWire(in.getOutcome()),
          .reason = in.getReason().cStr(),
          .run = in.getRun(),
          .waited = ToDuration(in.getWaited()),
          .ran = ToDuration(in.getRan())};
}

void Write(const task_crash& crash, session_wire::TaskCrash::Builder out) {
  out.setJob(crash.task.job);
  out.setStep(crash.task.step);
  out.setIndex(crash.task.index);
  out.setSuspected(crash.suspected);
}

task_crash Read(session_wire::TaskCrash::Reader in) {
  return {
      .task = {.job = in.getJob().cStr(), .step = in.getStep(), .index = in.getIndex()},
      .suspected = in.getSuspected(),
  };
}

void Write(const session_report& report, session_wire::Load::Builder out) {
  const target_status& load = report.load;
  out.setState(ToWire(load.state));
  out.setTarget(load.target);
  out.setService(load.service);
  out.setCpu(ToWireSize(load.capacity.cpu));
  out.setMemMb(ToWireSize(load.capacity.mem_mb));
  out.setGpu(ToWireSize(load.capacity.gpu));
  out.setFreeCpu(ToSignedWireSize(load.free.cpu));
  out.setFreeMemMb(ToSignedWireSize(load.free.mem_mb));
  out.setFreeGpu(ToSignedWireSize(load.free.gpu));
  out.setSlowness(load.slowness);
  out.setFailing(load.failing);
  out.setMeanRun(load.mean_run.count());
  out.setEntries(report.entries);
  out.setOrdersSeen(report.orders_seen);
  out.setSettled(report.settled);
}

session_report Read(session_wire::Load::Reader in) {
  session_report report;
  report.load = {
      .state = FromWire(in.getState()),
      .target = in.getTarget().cStr(),
      .service = in.getService().cStr(),
      .capacity = {.cpu = in.getCpu(), .mem_mb = in.getMemMb(), .gpu = in.getGpu()},
      .free = {.cpu = in.getFreeCpu(), .mem_mb = in.getFreeMemMb(), .gpu = in.getFreeGpu()},
      .slowness = in.getSlowness(),
      .failing = in.getFailing(),
      .mean_run = ToDuration(in.getMeanRun())};
  report.entries = in.getEntries();
  report.orders_seen = in.getOrdersSeen();
  report.settled = in.getSettled();
  return report;
}

waiting_priority ReadWaitingPriority(uint32_t in) {
  return {.told = in >= kNoneWaits,
          .highest = in >= kHighestWaits ? std::optional(in - kHighestWaits) : std::nullopt};
}

uint32_t ToWire(const waiting_priority& waiting) {
  if (!waiting.told) {
    return 0;
  }
  // A priority that does not fit is told as the lowest that does.
  return waiting.highest.has_value()
             ? std::min(*waiting.highest, UINT32_MAX - kHighestWaits) + kHighestWaits
             : kNoneWaits;
}

void Write(const peer_build& build, session_wire::Build::Builder out) {
  out.setOldestProtocol(static_cast<uint16_t>(build.protocols.oldest));
  out.setNewestProtocol(static_cast<uint16_t>(build.protocols.newest));
  out.setDescription(build.build);
}

peer_build Read(session_wire::Build::Reader in) {
  // A peer of protocol 1 does not send its build, which reads as zeros.
  return {.protocols = {.oldest = std::max<unsigned>(1, in.getOldestProtocol()),
                        .newest = std::max<unsigned>(1, in.getNewestProtocol())},
          .build = in.getDescription().cStr()};
}

void Write(const agent_identity& agent, session_wire::Hello::Builder out) {
  out.setAgent(agent.name);
  out.setAddress(agent.address);
  out.setDomain(agent.domain);
  Write(agent.build, out.initBuild());
}

agent_identity Read(session_wire::Hello::Reader in) {
  return {.name = in.getAgent().cStr(),
          .address = in.getAddress().cStr(),
          .domain = in.getDomain().cStr(),
          .build = Read(in.getBuild())};
}

}  // namespace wagtail::leased
