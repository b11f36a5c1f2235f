#pragma once

#include <string>
#include <string_view>

#include "base/identifiers.h"
#include "jobs/task.h"
#include "placement/placement.h"
#include "rpc/wire.capnp.h"
#include "security/digest.h"

/// @file
/// Converts between wire messages and the value types of the rest of the code.
/// Readers throw kj::Exception on malformed messages; the RPC system turns that into a failed call.

namespace wagtail {

void Write(const job_key& key, wire::JobKey::Builder out);
job_key Read(wire::JobKey::Reader in);

void Write(const target_load& load, wire::Load::Builder out);
target_load Read(wire::Load::Reader in);

void Write(const start_request& request, wire::StartRequest::Builder out);
start_request Read(wire::StartRequest::Reader in);

void Write(const task_key& key, refusal reason, wire::Verdict::Builder out);
/// @return the reason; values unknown to this build are read as kNone, so that a task is never
///   mistaken for one that was not started
refusal ReadRefusal(wire::Verdict::Reader in);
task_key ReadKey(wire::Verdict::Reader in);

void Write(const task_result& result, wire::TaskResult::Builder out);
task_result Read(wire::TaskResult::Reader in);

void Write(const task_record& record, wire::TaskRecord::Builder out);
/// @return the record; unknown states are read as kForgotten
task_record Read(wire::TaskRecord::Reader in);

void Write(const fence_report& report, wire::FenceReport::Builder out);
fence_report Read(wire::FenceReport::Reader in);

inline std::string ToText(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}
inline capnp::Data::Reader ToData(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}
inline capnp::Data::Reader ToData(const sha256_digest& digest) {
  return {digest.data(), digest.size()};
}
inline capnp::Text::Reader ToWireText(const std::string& text) {
  return {text.c_str(), text.size()};
}

}  // namespace wagtail
