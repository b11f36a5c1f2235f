#pragma once

#include <string>

#include "entry/entry_context.h"
#include "entry/job_service.h"
#include "rpc/wire.capnp.h"

namespace wagtail {

/// Lets in other entries that prove to hold the cluster key and answers what they ask. Lives on
/// the loop's thread.
/// @param context and jobs outlive the gate
wire::EntryGate::Client MakeEntryGate(std::string cluster_key, entry_context& context,
                                      job_service& jobs);

}  // namespace wagtail
