#include "tests/stand_ins/platform/stand_in_platform.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "table/table_json.h"

namespace wagtail {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::string_view kObjectPath = "/v1/objects/";

std::string_view FieldOr(const http_fields& fields, std::string_view name,
                         std::string_view fallback) {
  auto field = fields.find(name);
  return field == fields.end() ? fallback : std::string_view(field->second);
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

bool rate_window::Take(int64_t limit, instant now) {
  if (now - started_ >= std::chrono::seconds(1)) {
    started_ = now;
    taken_ = 0;
  }
  ++taken_;
  return limit == 0 || taken_ <= limit;
}

stand_in_platform::stand_in_platform(platform_settings settings)
    : settings_(std::move(settings)), behaviour_(settings_.behaviour) {}

http_server_options stand_in_platform::server_options() const {
  return {.address = settings_.address,
          .port = static_cast<uint16_t>(settings_.port),
          .max_connections = static_cast<unsigned>(settings_.max_connections)};
}

void stand_in_platform::OnListening(uint16_t /*port*/) {}

void stand_in_platform::OnStopping() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  stop_.notify_all();
}

http_response stand_in_platform::Handle(const http_request& request) {
  if (request.path == "/control") {
    return request.method == "GET" ? Counters() : Control(request);
  }
  return ServeStore(request);
}

http_response stand_in_platform::Control(const http_request& request) {
  auto reader = control_reader::Parse(request.body);
  if (!reader.ok()) {
    return ErrorAnswer(kBadRequest, MessageOf(reader.status()));
  }
  {
    std::lock_guard lock(mutex_);
    platform_behaviour changed = behaviour_;
    changed.ReadFrom(*reader, MonotonicNow());
    absl::Status fault = reader->Finish();
    if (!fault.ok()) {
      return ErrorAnswer(kBadRequest, MessageOf(fault));
    }
    behaviour_ = changed;
  }
  return Counters();
}

http_response stand_in_platform::Counters() {
  std::lock_guard lock(mutex_);
  return JsonAnswer(kOk, {{"reads", reads_.load()},
                          {"writes", writes_.load()},
                          {"conflicts", conflicts_.load()},
                          {"rejected", rejected_.load()},
                          {"lost_answers", lost_answers_.load()},
                          {"objects", objects_.size()},
                          {"outage", behaviour_.outage},
                          {"slow_ms", behaviour_.slow_ms},
                          {"lose_answers", behaviour_.lose_answers}});
}

http_response stand_in_platform::ServeStore(const http_request& request) {
  platform_behaviour behaviour;
  {
    std::lock_guard lock(mutex_);
    behaviour = behaviour_;
  }
  access kind = request.method == "GET" ? access::kRead : access::kWrite;
  if (!Admit(kind, behaviour)) {
    ++rejected_;
    return ErrorAnswer(kUnavailable, "unavailable");
  }
  http_response answer;
  if (request.path == "/v1/rows" && kind == access::kRead) {
    answer = Rows(request);
  } else if (request.path == "/v1/transactions" && request.method == "POST") {
    answer = Transaction(request);
  } else if (request.path.starts_with(kObjectPath)) {
    answer = Object(request);
  } else {
    answer = ErrorAnswer(kNotFound, "no such path");
  }
  if (behaviour.lose_answers && kind == access::kWrite) {
    ++lost_answers_;
    return ErrorAnswer(kGatewayTimeout, "answer lost");
  }
  return answer;
}

bool stand_in_platform::Admit(access kind, const platform_behaviour& behaviour) {
  instant now = MonotonicNow();
  if (behaviour.outage || now < behaviour.reject_until) {
    return false;
  }
  {
    std::lock_guard lock(mutex_);
    bool within = kind == access::kRead ? read_window_.Take(behaviour.reads_per_second, now)
                                        : write_window_.Take(behaviour.writes_per_second, now);
    if (!within) {
      return false;
    }
  }
  int64_t normal_ms = kind == access::kRead ? behaviour.read_ms : behaviour.write_ms;
  Delay(std::chrono::milliseconds(normal_ms + behaviour.slow_ms));
  return true;
}

void stand_in_platform::Delay(duration span) {
  if (span == duration::zero()) {
    return;
  }
  std::unique_lock lock(mutex_);
  stop_.wait_for(lock, span, [this] { return stopping_; });
}

http_response stand_in_platform::Rows(const http_request& request) {
  std::optional<uint64_t> after = ParseNumber(FieldOr(request.query, "after", "0"));
  if (!after.has_value()) {
    return ErrorAnswer(kBadRequest, "after must be a whole number");
  }
  ++reads_;
  auto changes = table_.Read(FieldOr(request.query, "prefix", ""), *after);
  auto text = ChangesToJson(*changes);
  return {.headers = {{"content-type", "application/json"}}, .body = *std::move(text)};
}

http_response stand_in_platform::Transaction(const http_request& request) {
  auto transaction = TransactionFromJson(request.body);
  if (!transaction.ok()) {
    return ErrorAnswer(kBadRequest, MessageOf(transaction.status()));
  }
  auto revision = table_.Commit(*transaction);
  if (!revision.ok()) {
    ++conflicts_;
    return ErrorAnswer(kConflict, "conflict");
  }
  ++writes_;
  return {.headers = {{"content-type", "application/json"}}, .body = RevisionToJson(*revision)};
}

http_response stand_in_platform::Object(const http_request& request) {
  std::string name = request.path.substr(kObjectPath.size());
  std::lock_guard lock(mutex_);
  if (request.method == "PUT") {
    ++writes_;
    objects_.insert_or_assign(std::move(name), request.body);
    return {};
  }
  if (request.method == "DELETE") {
    ++writes_;
    objects_.erase(name);
    return {};
  }
  ++reads_;
  auto object = objects_.find(name);
  if (object == objects_.end()) {
    return ErrorAnswer(kNotFound, "no such object");
  }
  return {.body = object->second};
}

}  // namespace wagtail
