#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/identifiers.h"
#include "base/layer_error.h"

namespace wagtail {

/// Contents of a job id, set by the entry that minted it.
struct job_id {
  job_key key;
  uint64_t minted_uptime_ms = 0;   ///< milliseconds since the minting entry started
  uint64_t registry_revision = 0;  ///< of the target registry that the entry had read
  std::string team;                ///< the team that the id was issued to
  std::string owner_address;       ///< of the minting entry, "ip:port"
  bool operator==(const job_id&) const = default;
};

inline constexpr size_t kMaxJobIdTeamBytes = 64;
/// Length of the longest IPv4 address and port, "255.255.255.255:65535".
inline constexpr size_t kMaxJobIdAddressBytes = 21;
/// Longest encoded id, in characters.
inline constexpr size_t kMaxJobIdCharacters = 182;

/// Errors of reading a job id.
enum class job_id_error {
  kMalformed = 1,     ///< not a text that Encode() can return
  kBadSignature = 2,  ///< not signed with this cluster's key
};

template <>
struct layer_error_traits<job_id_error> {
  static constexpr std::string_view kLayer = "wagtail/job_id";
  static absl::StatusCode CanonicalCode(job_id_error error) {
    switch (error) {
      case job_id_error::kMalformed:
        return absl::StatusCode::kInvalidArgument;
      case job_id_error::kBadSignature:
        return absl::StatusCode::kUnauthenticated;
    }
    return absl::StatusCode::kInternal;
  }
};

/// Encodes job ids as signed, URL-safe texts and decodes them. The signature is HMAC-SHA256 under
/// the cluster key, truncated to 128 bits, so that no caller can forge an id. Thread-safe.
class job_id_codec {
 public:
  /// @param cluster_key shared by every process of the system; not empty
  explicit job_id_codec(std::string cluster_key);

  /// @param id with a team of at most kMaxJobIdTeamBytes and an address of at most
  ///   kMaxJobIdAddressBytes
  /// @return at most kMaxJobIdCharacters of [A-Za-z0-9_-]
  std::string Encode(const job_id& id) const;

  /// @return the id, or job_id_error
  absl::StatusOr<job_id> Decode(std::string_view text) const;

 private:
  std::string SignatureOf(std::string_view payload) const;

  std::string cluster_key_;
};

}  // namespace wagtail
