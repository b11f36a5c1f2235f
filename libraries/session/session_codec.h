#pragma once

#include <span>
#include <string>
#include <vector>

#include "leases/run_events.h"
#include "plan/operating_plan.h"
#include "scheduler/scheduler_events.h"
#include "scheduler/waiting_priority.h"
#include "session/session.capnp.h"

/// @file
/// Conversion between the Cap'n Proto messages of a session and the types of the scheduling code.
/// Read throws kj::Exception on malformed messages, which closes the connection.

namespace wagtail::leased {

void Write(const operating_plan& plan, session_wire::Plan::Builder out);
operating_plan Read(session_wire::Plan::Reader in);

void Write(const order_batch& batch, session_wire::JobOrder::Builder out);
/// @param session over which the orders arrived
std::vector<run_order> Read(session_wire::JobOrder::Reader in, session_id session);

void Write(const run_result& result, session_wire::TaskResult::Builder out);
run_result Read(session_wire::TaskResult::Reader in, session_id session);

void Write(const task_crash& crash, session_wire::TaskCrash::Builder out);
task_crash Read(session_wire::TaskCrash::Reader in);

void Write(const session_report& report, session_wire::Load::Builder out);
session_report Read(session_wire::Load::Reader in);

void Write(const peer_build& build, session_wire::Build::Builder out);
/// @return the build of the peer; a peer that sent none speaks protocol 1
peer_build Read(session_wire::Build::Reader in);

void Write(const agent_identity& agent, session_wire::Hello::Builder out);
agent_identity Read(session_wire::Hello::Reader in);

/// Reads and writes `ToAgent.waitingPriority`.
waiting_priority ReadWaitingPriority(uint32_t in);
uint32_t ToWire(const waiting_priority& waiting);

std::vector<std::string> Read(capnp::List<capnp::Text>::Reader in);
void Write(std::span<const std::string> texts, capnp::List<capnp::Text>::Builder out);

}  // namespace wagtail::leased
