#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "../stand_ins/cluster.h"

/// @file
/// A heartbeat of another writer, with a service that the configuration doesn't name, reaches an
/// agent whose worker runs a job.

namespace {

constexpr int64_t kTaskMs = 900;
constexpr size_t kTasks = 4;
constexpr uint64_t kJob = 0x1001;

bool Play(review::cluster& deployment, review::record& notes) {
  std::thread client([&] { deployment.Submit(0, review::JobId(kJob), kTasks, kTaskMs); });
  std::optional<size_t> busy = deployment.BusyWorker(1000);
  review::SleepMs(200);
  if (busy.has_value() && review::WithTrouble()) {
    nlohmann::json beat = deployment.WorkerOf(*busy).Announcement();
    beat["service"] = "laundry-booking";
    beat["addr"] = deployment.ForeignAddress();
    beat["born"] = beat["born"].get<int64_t>() + 1000;
    beat["seq"] = 1;
    notes.Write("another writer's heartbeat to " + deployment.AgentNode(*busy).name() + ": " +
                beat.dump());
    auto answer = review::Call(
        deployment.ControlOf(*busy),
        {.method = "POST", .target = "/-/Instances.Heartbeat/i-7f3a91c2", .body = beat.dump()},
        review::milliseconds(1000));
    notes.Write("its answer: " + (answer ? std::to_string(answer->status) : "none"));
  }
  client.join();
  review::SleepMs(2000);
  deployment.NoteEnded();
  return busy.has_value();
}

}  // namespace

int main(int /*argc*/, char** argv) { return review::RunCase({}, argv[1], Play); }
