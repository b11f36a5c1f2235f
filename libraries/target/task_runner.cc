#include "target/task_runner.h"

#include <utility>

#include "base/time.h"
#include "http/http_client.h"
#include "http/http_error.h"

namespace wagtail {

namespace {

constexpr int kHttpOk = 200;

}  // namespace

task_runner::task_runner(uint32_t slots, std::string target_url, result_hook on_result)
    : target_url_(std::move(target_url)), on_result_(std::move(on_result)) {
  for (uint32_t slot = 0; slot < slots; ++slot) {
    threads_.emplace_back([this] { ThreadMain(); });
  }
}

task_runner::~task_runner() {
  {
    std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void task_runner::Start(start_request request) {
  {
    std::scoped_lock lock(mutex_);
    pending_.push_back(std::move(request));
  }
  changed_.notify_one();
}

void task_runner::ThreadMain() {
  while (true) {
    start_request request;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
      if (pending_.empty()) {
        return;
      }
      request = std::move(pending_.front());
      pending_.pop_front();
    }
    on_result_(RunTask(request));
  }
}

task_result task_runner::RunTask(const start_request& request) const {
  http_call call;
  call.method = "POST";
  call.url = target_url_ + "/run";
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
