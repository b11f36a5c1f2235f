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
constexpr duration kSlow = std::chrono::seconds(2);

std::string Field(const http_request& request, std::string_view name) {
  auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

http_response Json(const json& body) {
  return {.headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

}  // namespace

soak_store::soak_store(const std::string& where, std::string entries, std::string relays)
    : ip_(where), entries_(std::move(entries)), relays_(std::move(relays)) {
  auto started = http_server::Start(
      {.address = ip_}, [this](const http_request& request) { return Answer(request); });
  VERIFY(started.ok());
  server_ = *std::move(started);
}

soak_store::~soak_store() {
  mood_ = mood::kDown;
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
  if (mood_ == mood::kDown) {
    return {.status = kUnavailable, .headers = {}, .body = "{}"};
  }
  if (mood_ == mood::kSlow) {
    std::this_thread::sleep_for(kSlow);
  }
  http_response response{.status = kBadRequest, .headers = {}, .body = "{}"};
  if (request.path == "/-/rows-get") {
    response = Rows(request, 0);
  } else if (request.path == "/-/rows-feed") {
    uint64_t after = std::strtoull(Field(request, "after").c_str(), nullptr, 10);
    auto wait = std::chrono::milliseconds(std::atoi(Field(request, "wait_ms").c_str()));
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, wait, [&] { return revision_ > after || mood_ == mood::kDown; });
    }
    response = Rows(request, after);
  } else if (request.path == "/-/rows-tx") {
    response = Write(request.body);
  }
  if (mood_ == mood::kLosesAnswers) {
    std::this_thread::sleep_for(kSlow);
  }
  return response;
}

std::string soak_store::HandedOut(const std::string& table, const std::string& key) const {
  bool replaced = table == "fleet" && key.starts_with(entries_);
  return replaced ? relays_ + key.substr(entries_.size()) : key;
}

http_response soak_store::Rows(const http_request& request, uint64_t after) {
  std::string table = Field(request, "table");
  std::string from = Field(request, "from");
  std::string to = Field(request, "to");
  std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [key, each] : tables_[table]) {
    bool wanted = each.revision > after && key >= from && (to.empty() || key < to) &&
                  (after > 0 || !each.deleted);
    if (!wanted) {
      continue;
    }
    rows.push_back({{"part", ""}, {"key", HandedOut(table, key)}, {"ver", each.revision}});
    if (each.deleted) {
      rows.back()["deleted"] = true;
    } else {
      rows.back()["value"] = absl::Base64Escape(each.value);
    }
  }
  return Json({{"ver", revision_}, {"rows", rows}});
}

http_response soak_store::Write(const std::string& body) {
  json asked = json::parse(body, nullptr, false);
  if (!asked.is_object() || !asked.contains("put")) {
    return {.status = kBadRequest, .headers = {}, .body = "{}"};
  }
  for (const json& each : asked["put"]) {
    std::string value;
    VERIFY(absl::Base64Unescape(each.at("value").get<std::string>(), &value));
    Put(each.at("table"), each.at("key"), value);
  }
  std::lock_guard lock(mutex_);
  return Json({{"ver", revision_}});
}

}  // namespace wagtail::leased
