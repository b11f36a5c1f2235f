#include "entry/configuration_propagator.h"

#include "logging/logging.h"

namespace wagtail {

namespace {

constexpr duration kQueryTimeout = std::chrono::milliseconds(800);

}  // namespace

configuration_propagator::configuration_propagator(parts parts, const freshness_settings& settings)
    : parts_(parts), decisions_(settings) {}

void configuration_propagator::OnTableRead(instant read_started, const table_changes& changes) {
  decisions_.OnTableRead(read_started, changes, MonotonicNow());
  InstallNewest();
}

void configuration_propagator::InstallNewest() {
  const configuration_row& row = decisions_.row();
  if (row.revision > parts_.configuration.revision() && !row.text.empty()) {
    parts_.configuration.Install(row.text, row.revision);
  }
}

void configuration_propagator::Tick() {
  if (!decisions_.IsTableReadStale(MonotonicNow())) {
    return;
  }
  for (const entry_row& other : parts_.entries.Present()) {
    if (other.incarnation != parts_.self) {
      Query(other);
    }
  }
}

void configuration_propagator::Query(const entry_row& other) {
  auto request = parts_.peers.PeerAt(other.rpc_address).configurationRequest();
  request.setHave(decisions_.version());
  auto bounded =
      parts_.loop.timer().timeoutAfter(kQueryTimeout.count() * kj::MICROSECONDS, request.send());
  auto answered = bounded.then([this](auto&& response) {
    auto row = response.getRow();
    decisions_.OnPeerRow({.text = row.getValue().cStr(), .revision = row.getRevision()},
                         MonotonicNow());
    InstallNewest();
  });
  parts_.loop.Detach(kj::mv(answered), [name = other.name](kj::Exception&& error) {
    LogFact(log_level::kDebug, "entry_not_asked",
            {{"entry", name}, {"error", error.getDescription().cStr()}});
  });
}

}  // namespace wagtail
