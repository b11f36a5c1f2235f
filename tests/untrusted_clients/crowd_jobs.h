#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "tests/untrusted_clients/client_crowd.h"

/// @file
/// Jobs that the clients of a crowd submit.

namespace wagtail::leased {

inline constexpr int64_t kDayMs = 86'400'000;
/// Limit on the tasks of a job.
inline constexpr size_t kMaxTasks = 10'000;
/// Few enough for a job that fits into the part of the memory for small ones.
inline constexpr size_t kTasksOfASmallJob = 80;
/// Jobs with ids from here on run for the normal time at the fake target.
inline constexpr size_t kFirstShortId = 0x2000'0000'0000'0000;

/// @param steps comma-separated objects, the steps of the job
/// @param deadline_ms how long the caller waits
/// @return the request that submits a job
std::string JobWithDeadline(size_t id, const std::string& steps, int64_t deadline_ms);

/// @param steps of each job, whose caller waits for a day
/// @param first_id tasks run for seconds at the fake target if it is below kFirstShortId
crowd_script JobsThatWait(const std::string& steps, size_t first_id = kFirstShortId);

/// @return first step of a job that is admitted whatever else waits: its task can start at once
std::string FirstStep(int64_t estimate_ms = kDayMs);

/// @return a second step whose tasks run one after the other and leave room for others
std::string StepOfLongTasks(size_t count);

/// @return long jobs of which later ones start first: the one that waits longest is not running
crowd_script JobsThatOvertake();

/// @return a first step, and one whose tasks wait for room
std::string StepsThatWait(size_t tasks);

/// @return a step whose tasks all fit into the target at once
std::string StepOfTinyTasks();

/// @return steps that each need the whole target, all after the first one
std::string StepsOfOneTask(size_t count);

/// @return a first step, and a task of which three run at once and leave a sixth of the target
std::string StepsThatLeaveRoom(int64_t estimate_ms);

/// @return a JSON text of almost `size` bytes, whose decoded form is many times as large
std::string EmptyContainers(size_t size);

}  // namespace wagtail::leased
