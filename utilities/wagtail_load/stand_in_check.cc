#include "wagtail_load/stand_in_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/layer_error.h"

namespace wagtail {

namespace {

stand_in_state Ask(const std::string& url, const call_hook& call) {
  stand_in_state state{.url = url};
  http_call request;
  request.url = url + "/control";
  absl::StatusOr<http_response> answer = call(request);
  if (!answer.ok()) {
    state.detail = MessageOf(answer.status());
    return state;
  }
  state.detail = answer->body;
  constexpr bool kAllowExceptions = false;
  nlohmann::json body = nlohmann::json::parse(answer->body, nullptr, kAllowExceptions);
  if (!body.is_object() || !body.contains("doubled") || !body["doubled"].is_number_unsigned()) {
    return state;
  }
  state.answered = true;
  state.doubled = body["doubled"].get<uint64_t>();
  return state;
}

}  // namespace

std::vector<stand_in_state> CheckStandIns(std::span<const std::string> urls,
                                          const call_hook& call) {
  std::vector<stand_in_state> states(urls.size());
  std::ranges::transform(urls, states.begin(),
                         [&](const std::string& url) { return Ask(url, call); });
  return states;
}

bool AllStartedOnce(std::span<const stand_in_state> states) {
  return std::ranges::all_of(
      states, [](const stand_in_state& state) { return state.answered && state.doubled == 0; });
}

}  // namespace wagtail
