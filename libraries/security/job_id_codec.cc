#include "security/job_id_codec.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "base/try.h"
#include "base/verify.h"
#include "security/digest.h"

namespace wagtail {

namespace {

constexpr char kLayoutVersion = 1;
constexpr size_t kSignatureBytes = 16;
constexpr unsigned kBitsPerByte = 8;
/// Domain separation: distinguishes id signatures from others made with the cluster key.
constexpr std::string_view kPurpose = "wagtailplank job id\n";

absl::Status Malformed() { return MakeError(job_id_error::kMalformed, "the text is not a job id"); }

/// Serializes fields in the order of the layout: numbers big-endian, texts after a length byte.
class payload_writer {
 public:
  void Byte(char value) { bytes_.push_back(value); }

  void Number(uint64_t value) {
    for (size_t index = sizeof value; index > 0; --index) {
      Byte(static_cast<char>(value >> (kBitsPerByte * (index - 1))));
    }
  }

  void Text(std::string_view text) {
    Byte(static_cast<char>(text.size()));
    bytes_.append(text);
  }

  std::string Take() { return std::move(bytes_); }

 private:
  std::string bytes_;
};

/// Reads fields in the order in which payload_writer wrote them.
class payload_reader {
 public:
  explicit payload_reader(std::string_view bytes) : rest_(bytes) {}

  absl::StatusOr<std::string_view> Bytes(size_t count) {
    if (rest_.size() < count) {
      return Malformed();
    }
    const std::string_view taken = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return taken;
  }

  absl::StatusOr<uint64_t> Number() {
    const std::string_view bytes = TRY(Bytes(sizeof(uint64_t)));
    uint64_t value = 0;
    for (const char byte : bytes) {
      value = (value << kBitsPerByte) | static_cast<unsigned char>(byte);
    }
    return value;
  }

  absl::StatusOr<std::string> Text(size_t most) {
    const std::string_view length = TRY(Bytes(1));
    const size_t size = static_cast<unsigned char>(length.front());
    if (size > most) {
      return Malformed();
    }
    const std::string_view bytes = TRY(Bytes(size));
    return std::string(bytes);
  }

  bool AtEnd() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

std::string PayloadOf(const job_id& id) {
  payload_writer writer;
  writer.Byte(kLayoutVersion);
  writer.Number(id.key.owner.nonce);
  writer.Number(id.key.sequence);
  writer.Number(id.minted_uptime_ms);
  writer.Number(id.registry_revision);
  writer.Text(id.team);
  writer.Text(id.owner_address);
  return writer.Take();
}

absl::StatusOr<job_id> ReadPayload(std::string_view payload) {
  payload_reader reader(payload);
  const std::string_view version = TRY(reader.Bytes(1));
  if (version.front() != kLayoutVersion) {
    return Malformed();
  }
  job_id id;
  id.key.owner.nonce = TRY(reader.Number());
  id.key.sequence = TRY(reader.Number());
  id.minted_uptime_ms = TRY(reader.Number());
  id.registry_revision = TRY(reader.Number());
  id.team = TRY(reader.Text(kMaxJobIdTeamBytes));
  id.owner_address = TRY(reader.Text(kMaxJobIdAddressBytes));
  if (!reader.AtEnd()) {
    return Malformed();
  }
  return id;
}

/// Rejects texts that the encoder would not produce, such as padding or nonzero trailing bits, so
/// that each id has exactly one encoding.
absl::StatusOr<std::string> DecodeBase64Url(std::string_view text) {
  if (text.size() > kMaxJobIdCharacters) {
    return Malformed();
  }
  std::string bytes;
  if (!absl::WebSafeBase64Unescape(absl::string_view(text.data(), text.size()), &bytes)) {
    return Malformed();
  }
  if (absl::WebSafeBase64Escape(bytes) != absl::string_view(text.data(), text.size())) {
    return Malformed();
  }
  return bytes;
}

}  // namespace

job_id_codec::job_id_codec(std::string cluster_key) : cluster_key_(std::move(cluster_key)) {
  VERIFY(!cluster_key_.empty());
}

std::string job_id_codec::Encode(const job_id& id) const {
  VERIFY(id.team.size() <= kMaxJobIdTeamBytes);
  VERIFY(id.owner_address.size() <= kMaxJobIdAddressBytes);
  const std::string payload = PayloadOf(id);
  std::string text = absl::WebSafeBase64Escape(payload + SignatureOf(payload));
  VERIFY(text.size() <= kMaxJobIdCharacters);
  return text;
}

absl::StatusOr<job_id> job_id_codec::Decode(std::string_view text) const {
  const std::string bytes = TRY(DecodeBase64Url(text));
  if (bytes.size() <= kSignatureBytes) {
    return Malformed();
  }
  const std::string_view all = bytes;
  const std::string_view payload = all.substr(0, all.size() - kSignatureBytes);
  const std::string_view signature = all.substr(payload.size());
  if (!EqualInConstantTime(signature, SignatureOf(payload))) {
    return MakeError(job_id_error::kBadSignature, "the job id was not issued by this system");
  }
  return ReadPayload(payload);
}

std::string job_id_codec::SignatureOf(std::string_view payload) const {
  const sha256_digest digest = HmacSha256(cluster_key_, std::string(kPurpose).append(payload));
  return {reinterpret_cast<const char*>(digest.data()), kSignatureBytes};
}

}  // namespace wagtail
