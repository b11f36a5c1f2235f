#include "store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using json = nlohmann::json;

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& text) {
  std::string encoded;
  for (size_t at = 0; at < text.size(); at += 3) {
    uint32_t bits = 0;
    size_t count = std::min<size_t>(3, text.size() - at);
    for (size_t each = 0; each < 3; ++each) {
      bits = bits << 8 | (each < count ? static_cast<unsigned char>(text[at + each]) : 0U);
    }
    for (size_t each = 0; each < 4; ++each) {
      encoded += each <= count ? kAlphabet[bits >> (18 - 6 * each) & 63U] : '=';
    }
  }
  return encoded;
}

std::string FromBase64(const std::string& text) {
  std::string decoded;
  uint32_t bits = 0;
  int count = 0;
  for (char each : text) {
    size_t value = kAlphabet.find(each);
    if (value == std::string_view::npos) {
      break;
    }
    bits = bits << 6 | static_cast<uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      decoded += static_cast<char>(bits >> count & 255U);
    }
  }
  return decoded;
}

http_message Json(int status, const json& body) {
  return {.status = status, .headers = {{"content-type", "application/json"}}, .body = body.dump()};
}

}  // namespace

store::store() : server_([this](const http_message& request) { return Answer(request); }) {}

store::~store() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  server_.Stop();
}

void store::Put(const std::string& table, const std::string& key, const std::string& value) {
  {
    std::lock_guard lock(mutex_);
    tables_[table][key] = {.value = value, .revision = ++revision_};
  }
  changed_.notify_all();
}

std::string store::Get(const std::string& table, const std::string& key) {
  std::lock_guard lock(mutex_);
  return tables_[table][key].value;
}

std::optional<http_message> store::Answer(const http_message& request) {
  if (request.target.starts_with("/-/rows-get")) {
    return Rows(request.target, 0);
  }
  if (request.target.starts_with("/-/rows-feed")) {
    uint64_t after = std::strtoull(QueryParameter(request.target, "after").c_str(), nullptr, 10);
    std::string table = QueryParameter(request.target, "table");
    milliseconds wait(std::atoi(QueryParameter(request.target, "wait_ms").c_str()));
    {
      std::unique_lock lock(mutex_);
      changed_.wait_for(lock, wait, [&] {
        return ending_ || std::ranges::any_of(tables_[table], [&](const auto& each) {
                 return each.second.revision > after;
               });
      });
    }
    return Rows(request.target, after);
  }
  if (request.target.starts_with("/-/rows-tx")) {
    json transaction = json::parse(request.body, nullptr, false);
    if (!transaction.is_object()) {
      return Json(400, json::object());
    }
    for (const json& put : transaction.value("put", json::array())) {
      Put(put.at("table"), put.at("key"), FromBase64(put.at("value")));
    }
    std::lock_guard lock(mutex_);
    return Json(200, {{"ver", revision_}, {"now_ms", 1}});
  }
  return Json(404, json::object());
}

http_message store::Rows(const std::string& target, uint64_t after) {
  std::string table = QueryParameter(target, "table");
  std::string from = QueryParameter(target, "from");
  std::string to = QueryParameter(target, "to");
  std::lock_guard lock(mutex_);
  json rows = json::array();
  for (const auto& [key, each] : tables_[table]) {
    bool deleted = each.value.empty();
    bool chosen = key >= from && (to.empty() || key < to) && each.revision > after;
    if (!chosen || (deleted && after == 0)) {
      continue;
    }
    json row = {{"table", table}, {"part", ""}, {"key", key}, {"ver", each.revision}};
    if (deleted) {
      row["deleted"] = true;
    } else {
      row["value"] = ToBase64(each.value);
    }
    rows.push_back(std::move(row));
  }
  return Json(200, {{"rows", rows}, {"has_more", false}, {"ver", revision_}, {"now_ms", 1}});
}

}  // namespace review
