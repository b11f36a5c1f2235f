#include "utilities/wagtailctl/entry_client.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/try.h"
#include "http/http_error.h"
#include "settings/settings_text.h"

namespace wagtail {

namespace {

constexpr int kOk = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kUnavailableStatus = 503;
constexpr int kFirstServerError = 500;
constexpr size_t kMaxNames = 10000;
constexpr value_range<uint64_t> kAnyVersion = {0, std::numeric_limits<uint64_t>::max()};

/// The members of an error answer that this client reads.
struct error_answer {
  std::string error;
  std::string message;
  std::string other_author;
  std::string other_change_id;
  uint64_t version = 0;
};

error_answer ReadErrorAnswer(const std::string& body) {
  error_answer answer;
  const absl::Status status = ReadSettings(body, "answer", [&answer](object_reader& reader) {
    constexpr size_t kMaxMessageBytes = 1 << 20;
    reader.AllowOtherKeys();
    answer.error = reader.Text("error", "");
    answer.message = reader.Text("message", "", {.max_bytes = kMaxMessageBytes});
    answer.other_author = reader.Text("other_author", "");
    answer.other_change_id = reader.Text("other_change_id", "");
    answer.version = reader.Unsigned("version", 0, kAnyVersion);
  });
  if (!status.ok() && answer.error.empty()) {
    answer.message = Shown(body);
  }
  return answer;
}

std::string DescribeAnswer(const http_response& response, const error_answer& answer) {
  const std::string code =
      absl::StrCat("answer ", response.status, answer.error.empty() ? "" : " ", answer.error);
  return answer.message.empty() ? code : absl::StrCat(answer.message, " (", code, ")");
}

/// The message comes from the check that refused the change, so it takes precedence over the
/// fields, which an entry fills in from its state at that time.
std::string DescribeConflict(const error_answer& answer) {
  if (!answer.message.empty()) {
    return answer.message;
  }
  return absl::StrCat("operator ", answer.other_author, " made version ", answer.version,
                      " with change ", answer.other_change_id);
}

/// Converts an answer other than 200 into an error.
absl::Status ErrorOfAnswer(const http_response& response) {
  const error_answer answer = ReadErrorAnswer(response.body);
  if (response.status == kConflictStatus) {
    return MakeError(entry_error::kConflict,
                     "another change came first: " + DescribeConflict(answer));
  }
  if (response.status == kUnavailableStatus && answer.error == "not_applied") {
    return MakeError(entry_error::kNotApplied, "not applied: the entry can't write to the table; " +
                                                   DescribeAnswer(response, answer));
  }
  if (response.status == kNotFoundStatus) {
    return MakeError(entry_error::kNotFound, DescribeAnswer(response, answer));
  }
  if (response.status >= kFirstServerError) {
    return MakeError(entry_error::kNoAnswer, DescribeAnswer(response, answer));
  }
  return MakeError(entry_error::kRefused, "refused: " + DescribeAnswer(response, answer));
}

absl::Status TranslateHttp(const std::string& entry, const absl::Status& status) {
  const std::optional<http_error> error = ErrorOf<http_error>(status);
  const std::string message = absl::StrCat(entry, ": ", MessageOf(status));
  if (error == http_error::kConnectFailed) {
    return MakeError(entry_error::kUnreachable, message);
  }
  if (error == http_error::kBadCall) {
    return MakeError(entry_error::kRefused, message);
  }
  return MakeError(entry_error::kNoAnswer, message);
}

absl::StatusOr<std::string> BodyOf(const http_response& response) {
  if (response.status != kOk) {
    return ErrorOfAnswer(response);
  }
  return response.body;
}

absl::Status BadAnswer(const absl::Status& status) {
  return MakeError(entry_error::kBadAnswer, MessageOf(status));
}

std::set<std::string, std::less<>> ReadSet(object_reader& reader, std::string_view key) {
  const std::vector<std::string> names = reader.Texts(key, kMaxNames);
  return {names.begin(), names.end()};
}

void ReadView(object_reader& reader, configuration_view* out) {
  reader.AllowOtherKeys();
  out->record.version = reader.RequiredUnsigned("version", kAnyVersion);
  out->record.text = reader.RequiredText("text", {.min_bytes = 0, .max_bytes = kMaxSettingsBytes});
  out->record.leaving_failure_domains = ReadSet(reader, "leaving_failure_domains");
  out->record.leaving_targets = ReadSet(reader, "leaving_targets");
  out->in_force = reader.Boolean("in_force", false);
  out->missing = reader.Texts("missing", kMaxNames);
}

/// @return whether a read that failed with `status` may succeed at another entry
bool IsRetryableAtNextEntry(const absl::Status& status) {
  const std::optional<entry_error> error = ErrorOf<entry_error>(status);
  return error == entry_error::kUnreachable || error == entry_error::kNoAnswer ||
         error == entry_error::kNotApplied;
}

}  // namespace

std::string_view ToString(entry_error error) {
  switch (error) {
    case entry_error::kUnreachable:
      return "unreachable";
    case entry_error::kNoAnswer:
      return "no_answer";
    case entry_error::kRefused:
      return "refused";
    case entry_error::kConflict:
      return "conflict";
    case entry_error::kNotApplied:
      return "not_applied";
    case entry_error::kUnknown:
      return "outcome_unknown";
    case entry_error::kNotFound:
      return "not_found";
    case entry_error::kBadAnswer:
      return "bad_answer";
    case entry_error::kTimedOut:
      return "timed_out";
  }
  return "failed";
}

absl::StatusCode layer_error_traits<entry_error>::CanonicalCode(entry_error error) {
  switch (error) {
    case entry_error::kUnreachable:
    case entry_error::kNotApplied:
      return absl::StatusCode::kUnavailable;
    case entry_error::kNoAnswer:
    case entry_error::kUnknown:
      return absl::StatusCode::kUnknown;
    case entry_error::kRefused:
      return absl::StatusCode::kFailedPrecondition;
    case entry_error::kConflict:
      return absl::StatusCode::kAborted;
    case entry_error::kNotFound:
      return absl::StatusCode::kNotFound;
    case entry_error::kBadAnswer:
      return absl::StatusCode::kInternal;
    case entry_error::kTimedOut:
      return absl::StatusCode::kDeadlineExceeded;
  }
  return absl::StatusCode::kInternal;
}

entry_client::entry_client(entry_options options, http_hook http)
    : options_(std::move(options)), http_(std::move(http)) {}

absl::StatusOr<std::string> entry_client::Get(std::string_view path, duration timeout) {
  http_call call;
  call.timeout = timeout;
  absl::StatusOr<std::string> body = MakeError(entry_error::kUnreachable, "no entry is given");
  for (const std::string& entry : options_.entries) {
    const absl::StatusOr<http_response> response = CallEntry(entry, call, path);
    body = response.ok() ? BodyOf(*response) : response.status();
    if (body.ok() || !IsRetryableAtNextEntry(body.status())) {
      return body;
    }
  }
  return body;
}

absl::StatusOr<std::string> entry_client::Post(std::string_view path, std::string_view body,
                                               duration timeout) {
  http_call call;
  call.method = "POST";
  call.body = body;
  call.timeout = timeout;
  call.headers["content-type"] = "application/json";
  return BodyOf(TRY(CallFirstReachable(call, path)));
}

absl::StatusOr<configuration_view> entry_client::Configuration(duration timeout) {
  const std::string body = TRY(Get("/v1/operator/configuration", timeout));
  configuration_view view;
  const absl::Status status =
      ReadSettings(body, "answer", [&view](object_reader& reader) { ReadView(reader, &view); });
  if (!status.ok()) {
    return BadAnswer(status);
  }
  return view;
}

absl::StatusOr<committed_change> entry_client::SubmitChange(const configuration_change& change,
                                                            duration timeout) {
  const std::string body =
      TRY(Post("/v1/operator/changes", SerializeChangeRequest(change), timeout));
  committed_change committed;
  committed.change_id = change.change_id;
  const absl::Status status = ReadSettings(body, "answer", [&committed](object_reader& reader) {
    reader.AllowOtherKeys();
    committed.version = reader.RequiredUnsigned("version", kAnyVersion);
  });
  if (!status.ok()) {
    // The change may have been committed: an unreadable answer proves neither outcome.
    return MakeError(entry_error::kNoAnswer, MessageOf(status));
  }
  return committed;
}

absl::StatusOr<audit_record> entry_client::FindChange(std::string_view change_id,
                                                      duration timeout) {
  const std::string body =
      TRY(Get(absl::StrCat("/v1/operator/changes/", std::string(change_id)), timeout));
  return TRY_AS(ParseAuditRecord(body), BadAnswer);
}

absl::StatusOr<http_response> entry_client::CallFirstReachable(const http_call& call,
                                                               std::string_view path) {
  absl::Status last = MakeError(entry_error::kUnreachable, "no entry is given");
  for (const std::string& entry : options_.entries) {
    absl::StatusOr<http_response> response = CallEntry(entry, call, path);
    if (response.ok() || ErrorOf<entry_error>(response.status()) != entry_error::kUnreachable) {
      return response;
    }
    last = response.status();
  }
  return last;
}

absl::StatusOr<http_response> entry_client::CallEntry(const std::string& entry, http_call call,
                                                      std::string_view path) {
  call.url = absl::StrCat(entry, std::string(path));
  if (!options_.token.empty()) {
    call.headers["authorization"] = "Bearer " + options_.token;
  }
  absl::StatusOr<http_response> response = http_(call);
  if (!response.ok()) {
    return TranslateHttp(entry, response.status());
  }
  return response;
}

}  // namespace wagtail
