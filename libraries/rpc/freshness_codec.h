#pragma once

#include "freshness/entry_freshness.h"
#include "rpc/wire.capnp.h"

/// @file
/// Questions and answers about the freshness of configuration, between values and messages.

namespace wagtail {

void Write(const peer_question& question, wire::EvidenceQuestion::Builder out);
peer_question Read(wire::EvidenceQuestion::Reader in);

/// Ages are rounded up, so that nothing looks fresher than it is.
void Write(const peer_answer& answer, wire::Evidence::Builder out);
peer_answer Read(wire::Evidence::Reader in);

/// @return the age in whole milliseconds, rounded up
uint64_t RoundedUpMs(duration age);

}  // namespace wagtail
