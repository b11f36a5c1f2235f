#include "target/task_runner.h"

#include <thread>
#include <utility>

#include "base/time.h"
#include "http/http_client.h"
#include "http/http_error.h"

namespace wagtail {

namespace {

constexpr int kHttpOk = 200;

}  // namespace

task_runner::task_runner(uint32_t slots, std::string target_url, result_hook on_result)
    : state_(std::make_shared<state>()) {
  state_->target_url = std::move(target_url);
  state_->on_result = std::move(on_result);
  for (uint32_t slot = 0; slot < slots; ++slot) {
    std::thread([shared = state_] { ThreadMain(shared); }).detach();
  }
}

task_runner::~task_runner() {
  std::scoped_lock lock(state_->mutex);
  state_->stopping = true;
  state_->on_result = nullptr;
  state_->changed.notify_all();
}

void task_runner::Start(start_request request) {
  std::scoped_lock lock(state_->mutex);
  state_->pending.push_back(std::move(request));
  state_->changed.notify_one();
}

void task_runner::ThreadMain(const std::shared_ptr<state>& shared) {
  std::unique_lock lock(shared->mutex);
  while (true) {
    shared->changed.wait(lock, [&] { return shared->stopping || !shared->pending.empty(); });
    if (shared->stopping) {
      return;
    }
    start_request request = std::move(shared->pending.front());
    shared->pending.pop_front();
    lock.unlock();
    task_result result = RunTask(shared->target_url, request);
    lock.lock();
    if (shared->on_result) {
      shared->on_result(std::move(result));
    }
  }
}

task_result task_runner::RunTask(const std::string& target_url, const start_request& request) {
  http_call call;
  call.method = "POST";
  call.url = target_url + "/run";
  call.headers["x-wagtail-job"] = ToString(request.key.job);
  call.headers["x-wagtail-task"] = std::to_string(request.key.index);
  call.headers["x-wagtail-service"] = request.service;
  call.headers["content-type"] = "application/octet-stream";
  call.body = request.body;
  call.timeout = request.timeout;
  instant started = MonotonicNow();
  absl::StatusOr<http_response> answer = CallHttp(call);
  task_result result{.key = request.key, .body = "", .run_time = MonotonicNow() - started};
  if (!answer.ok()) {
    result.timed_out = ErrorOf<http_error>(answer.status()) == http_error::kNoAnswer;
    result.body = MessageOf(answer.status());
    return result;
  }
  result.completed = answer->status == kHttpOk;
  result.body = std::move(answer->body);
  return result;
}

}  // namespace wagtail
