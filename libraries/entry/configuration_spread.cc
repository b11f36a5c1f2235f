#include "entry/configuration_spread.h"

#include "logging/logging.h"

namespace wagtail {

namespace {

constexpr duration kAskTimeout = std::chrono::milliseconds(800);

}  // namespace

configuration_spread::configuration_spread(parts parts, const freshness_settings& settings)
    : parts_(parts), decisions_(settings) {}

void configuration_spread::OnRead(instant read_started, const table_changes& changes) {
  decisions_.OnTableRead(read_started, changes, MonotonicNow());
  Adopt();
}

void configuration_spread::Adopt() {
  const configuration_row& row = decisions_.row();
  if (row.revision > parts_.configuration.revision() && !row.text.empty()) {
    parts_.configuration.TakeOver(row.text, row.revision);
  }
}

void configuration_spread::Tick() {
  if (!decisions_.IsTableReadStale(MonotonicNow())) {
    return;
  }
  for (const entry_row& other : parts_.entries.Present()) {
    if (other.incarnation != parts_.self) {
      Ask(other);
    }
  }
}

void configuration_spread::Ask(const entry_row& other) {
  auto request = parts_.peers.PeerAt(other.rpc_address).configurationRequest();
  request.setHave(decisions_.version());
  auto bounded =
      parts_.loop.timer().timeoutAfter(kAskTimeout.count() * kj::MICROSECONDS, request.send());
  auto answered = bounded.then([this](auto&& response) {
    auto row = response.getRow();
    decisions_.OnPeerRow({.text = row.getValue().cStr(), .revision = row.getRevision()},
                         MonotonicNow());
    Adopt();
  });
  parts_.loop.Detach(kj::mv(answered), [name = other.name](kj::Exception&& error) {
    LogFact(log_level::kDebug, "entry_not_asked",
            {{"entry", name}, {"error", error.getDescription().cStr()}});
  });
}

}  // namespace wagtail
