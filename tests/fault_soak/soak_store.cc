#include "tests/fault_soak/soak_store.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

#include "absl/strings/escaping.h"
#include "base/verify.h"

namespace wagtail::leased {
namespace {

using json = nlohmann::json;

constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr duration kSlowDelay = std::chrono::seconds(2);

std::string QueryParameter(const http_request& request, std::string_view name) {
  auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

http_response Json(const json& body) {
  return {.headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

}  // namespace

soak_store::soak_store(const std::string& ip, std::string entry_prefix, std::string relay_prefix)
    : ip_(ip), entry_prefix_(std::move(entry_prefix)), relay_prefix_(std::move(relay_prefix)) {
  auto started = http_server::Start(
      {.address = ip_}, [this](const http_request& request) { return Answer(request); });
  VERIFY(started.ok());
  server_ = *std::move(started);
}

soak_store::~soak_store() {
  fault_mode_ = fault_mode::kDown;
  changed_.notify_all();
  server_->Stop();
}

loopback_address soak_store::address() const { return {.ip = ip_, .port = server_->port()}; }

void soak_store::Put(const std::string& table, const std::string& key, const std::string& value) {
  {
    std::lock_guard lock(mutex_);
    tables_[table][key] = {.value = value, .revision = ++revision_, .deleted = value.empty()};
  }
  changed_.notify_all();
}

http_response soak_store::Answer(const http_request& request) {
  if (fault_mode_ == fault_mode::kDown) {
    return {.status = kUnavailable, .headers = {}, .body = "{}"};
  }
  if (fault_mode_ == fault_mode::kSlow) {
    std::this_thread::sleep_for(kSlowDelay);
  }
  http_response response{.status = kBadRequest, .headers = {}, .body = "{}"};
  if (request.path == "/-/rows-get") {
    response = Rows(request, 0);
  } else if (request.path == "/-/rows-feed") {
    uint64_t after = std::strtoull(QueryParameter(request, "after").c_str(), nullptr, 10);
    auto wait = std::chrono::milliseconds(std::atoi(QueryParameter(request, "wait_ms").c_str()));
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, wait,
                        [&] { return revision_ > after || fault_mode_ == fault_mode::kDown; });
    }
    response = Rows(request, after);
  } else if (request.path == "/-/rows-tx") {
    response = Write(request.body);
  }
  if (fault_mode_ == fault_mode::kLoseAnswers) {
    std::this_thread::sleep_for(kSlowDelay);
  }
  return response;
}

std::string soak_store::RelayedKey(const std::string& table, const std::string& key) const {
  bool replaced = table == "fleet" && key.starts_with(entry_prefix_);
  return replaced ? relay_prefix_ + key.substr(entry_prefix_.size()) : key;
}

http_response soak_store::Rows(const http_request& request, uint64_t after) {
  std::string table = QueryParameter(request, "table");
  std::string from = QueryParameter(request, "from");
  std::string to = QueryParameter(request, "to");
  std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [key, each] : tables_[table]) {
    bool selected = each.revision > after && key >= from && (to.empty() || key < to) &&
                    (after > 0 || !each.deleted);
    if (!selected) {
      continue;
    }
    rows.push_back({{"part", ""}, {"key", RelayedKey(table, key)}, {"ver", each.revision}});
    if (each.deleted) {
      rows.back()["deleted"] = true;
    } else {
      rows.back()["value"] = absl::Base64Escape(each.value);
    }
  }
  return Json({{"ver", revision_}, {"rows", rows}});
}

http_response soak_store::Write(const std::string& body) {
  json transaction = json::parse(body, nullptr, false);
  if (!transaction.is_object() || !transaction.contains("put")) {
    return {.status = kBadRequest, .headers = {}, .body = "{}"};
  }
  for (const json& each : transaction["put"]) {
    std::string value;
    VERIFY(absl::Base64Unescape(each.at("value").get<std::string>(), &value));
    Put(each.at("table"), each.at("key"), value);
  }
  std::lock_guard lock(mutex_);
  return Json({{"ver", revision_}});
}

}  // namespace wagtail::leased
