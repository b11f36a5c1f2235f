#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

/// @file
/// Identifiers used by every process: incarnations, jobs, tasks.

namespace wagtail {

/// Incarnation of an entry process. A restarted entry has a new one.
struct entry_incarnation {
  uint64_t nonce = 0;  ///< random, never zero for a live incarnation
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const entry_incarnation&) const = default;
};

/// Incarnation of a target's daemon. Numbers of the same target only increase.
struct target_incarnation {
  std::string target;   ///< name of the target, stable across restarts
  uint64_t number = 0;  ///< 1 for the first incarnation
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const target_incarnation&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const target_incarnation& value) {
    return H::combine(std::move(state), value.target, value.number);
  }
};

/// Key of a job: the entry incarnation that minted its id and a sequence number.
struct job_key {
  entry_incarnation owner;
  uint64_t sequence = 0;  ///< counts the ids minted by `owner`
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const job_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const job_key& value) {
    return H::combine(std::move(state), value.owner.nonce, value.sequence);
  }
};

/// Key of a task of a job.
struct task_key {
  job_key job;
  uint32_t index = 0;  ///< position in the job as submitted
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads the defaulted comparison
  auto operator<=>(const task_key&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const task_key& value) {
    return H::combine(std::move(state), value.job, value.index);
  }
};

/// @return a short text for logs, `owner-sequence` in hexadecimal
std::string ToString(const job_key& key);
/// @return `name#number`
std::string ToString(const target_incarnation& incarnation);

/// Stable 64-bit digest for comparing bodies and hashing names across processes; not a secret.
/// @param bytes any bytes
uint64_t DigestOf(std::string_view bytes);

/// @return the digest as a fraction of its range, from 0 to below 1
constexpr double FractionOf(uint64_t digest) {
  constexpr unsigned kMantissaBits = 53;
  constexpr unsigned kDroppedBits = 64 - kMantissaBits;
  return static_cast<double>(digest >> kDroppedBits) /
         static_cast<double>(uint64_t{1} << kMantissaBits);
}

}  // namespace wagtail
