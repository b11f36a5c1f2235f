#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

constexpr auto kLastRefusal = static_cast<uint16_t>(refusal::kWithdrawn);
constexpr auto kLastTaskState = static_cast<uint16_t>(task_state::kForgotten);

}  // namespace

void Write(const job_key& key, wire::JobKey::Builder out) {
  out.setOwner(key.owner.nonce);
  out.setSequence(key.sequence);
}

job_key Read(wire::JobKey::Reader in) {
  return {.owner = {.nonce = in.getOwner()}, .sequence = in.getSequence()};
}

void Write(const target_load& load, wire::Load::Builder out) {
  out.setRunning(load.running);
  out.setQueued(load.queued);
}

target_load Read(wire::Load::Reader in) {
  return {.running = in.getRunning(), .queued = in.getQueued()};
}

void Write(const start_request& request, wire::StartRequest::Builder out) {
  Write(request.key.job, out.initJob());
  out.setIndex(request.key.index);
  out.setTaskCount(request.task_count);
  out.setJobDigest(request.job_digest);
  out.setMintedUptimeMs(request.minted_uptime_ms);
  out.setRegistryRevision(request.registry_revision);
  out.setService(ToWireText(request.service));
  out.setBody(ToData(request.body));
  out.setTimeoutMs(static_cast<uint32_t>(ToMilliseconds(request.timeout)));
}

start_request Read(wire::StartRequest::Reader in) {
  start_request request;
  request.key = {.job = Read(in.getJob()), .index = in.getIndex()};
  request.task_count = in.getTaskCount();
  request.job_digest = in.getJobDigest();
  request.minted_uptime_ms = in.getMintedUptimeMs();
  request.registry_revision = in.getRegistryRevision();
  request.service = in.getService().cStr();
  request.body = ToText(in.getBody());
  request.timeout = std::chrono::milliseconds(in.getTimeoutMs());
  return request;
}

void Write(const task_key& key, refusal reason, wire::Verdict::Builder out) {
  Write(key.job, out.initJob());
  out.setIndex(key.index);
  out.setRefusal(static_cast<uint16_t>(reason));
}

refusal ReadRefusal(wire::Verdict::Reader in) {
  uint16_t code = in.getRefusal();
  return code > kLastRefusal ? refusal::kNone : static_cast<refusal>(code);
}

task_key ReadKey(wire::Verdict::Reader in) {
  return {.job = Read(in.getJob()), .index = in.getIndex()};
}

void Write(const task_result& result, wire::TaskResult::Builder out) {
  Write(result.key.job, out.initJob());
  out.setIndex(result.key.index);
  out.setCompleted(result.completed);
  out.setTimedOut(result.timed_out);
  out.setBody(ToData(result.body));
  out.setRunTimeUs(static_cast<uint64_t>(result.run_time.count()));
}

task_result Read(wire::TaskResult::Reader in) {
  task_result result;
  result.key = {.job = Read(in.getJob()), .index = in.getIndex()};
  result.completed = in.getCompleted();
  result.timed_out = in.getTimedOut();
  result.body = ToText(in.getBody());
  result.run_time = duration(static_cast<int64_t>(in.getRunTimeUs()));
  return result;
}

void Write(const task_record& record, wire::TaskRecord::Builder out) {
  Write(record.key.job, out.initJob());
  out.setIndex(record.key.index);
  out.setState(static_cast<uint16_t>(record.state));
  out.setJobDigest(record.job_digest);
  out.setHasBody(record.body.has_value());
  if (record.body.has_value()) {
    out.setBody(ToData(*record.body));
  }
}

task_record Read(wire::TaskRecord::Reader in) {
  task_record record;
  record.key = {.job = Read(in.getJob()), .index = in.getIndex()};
  uint16_t state = in.getState();
  record.state = state > kLastTaskState ? task_state::kForgotten : static_cast<task_state>(state);
  record.job_digest = in.getJobDigest();
  if (in.getHasBody()) {
    record.body = ToText(in.getBody());
  }
  return record;
}

void Write(const fence_report& report, wire::FenceReport::Builder out) {
  out.setForgotten(report.forgotten);
  auto started = out.initStarted(static_cast<unsigned>(report.started.size()));
  for (unsigned index = 0; index < report.started.size(); ++index) {
    Write(report.started[index], started[index]);
  }
}

fence_report Read(wire::FenceReport::Reader in) {
  fence_report report;
  report.forgotten = in.getForgotten();
  for (wire::TaskRecord::Reader record : in.getStarted()) {
    report.started.push_back(Read(record));
  }
  return report;
}

}  // namespace wagtail
