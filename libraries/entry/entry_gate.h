#pragma once

#include <string>

#include "entry/entry_context.h"
#include "entry/job_service.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

/// Creates the RPC interface for other entries, which authenticate with the cluster key. Used on
/// the loop's thread only.
/// @param context must outlive the gate
/// @param jobs must outlive the gate
wire::EntryGate::Client MakeEntryGate(std::string cluster_key, entry_context& context,
                                      job_service& jobs);

}  // namespace wagtail
