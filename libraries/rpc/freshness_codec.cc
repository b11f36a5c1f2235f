#include "rpc/freshness_codec.h"

#include "rpc/wire_codec.h"

namespace wagtail {

namespace {

void Write(const guarded_row& row, wire::SharedRow::Builder out) {
  out.setValue(ToWireText(row.text));
  out.setRevision(row.revision);
}

guarded_row Read(wire::SharedRow::Reader in) {
  return {.text = in.getValue().cStr(), .revision = in.getRevision()};
}

void Write(const guarded_rows& rows, wire::GuardedRows::Builder out) {
  Write(rows.configuration, out.initConfiguration());
  Write(rows.voters, out.initVoters());
}

guarded_rows Read(wire::GuardedRows::Reader in) {
  guarded_rows rows;
  rows.configuration = Read(in.getConfiguration());
  rows.voters = Read(in.getVoters());
  return rows;
}

}  // namespace

uint64_t RoundedUpMs(duration age) {
  return static_cast<uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(age).count());
}

void Write(const peer_question& question, wire::EvidenceQuestion::Builder out) {
  out.setHave(question.have);
  out.setHasRows(question.rows.has_value());
  if (question.rows.has_value()) {
    Write(*question.rows, out.initRows());
  }
}

peer_question Read(wire::EvidenceQuestion::Reader in) {
  peer_question question;
  question.have = in.getHave();
  if (in.getHasRows()) {
    question.rows = Read(in.getRows());
  }
  return question;
}

void Write(const peer_answer& answer, wire::Evidence::Builder out) {
  const poll_answer& evidence = answer.evidence;
  out.setIncarnation(evidence.voter.nonce);
  out.setVersion(evidence.version);
  out.setHasAge(evidence.age.has_value());
  out.setAgeMs(RoundedUpMs(evidence.age.value_or(duration::zero())));
  out.setHasOwnReadAge(evidence.own_read_age.has_value());
  out.setOwnReadAgeMs(RoundedUpMs(evidence.own_read_age.value_or(duration::zero())));
  out.setHasRows(answer.rows.has_value());
  if (answer.rows.has_value()) {
    Write(*answer.rows, out.initRows());
  }
}

peer_answer Read(wire::Evidence::Reader in) {
  peer_answer answer;
  answer.evidence.voter = {.nonce = in.getIncarnation()};
  answer.evidence.version = in.getVersion();
  if (in.getHasAge()) {
    answer.evidence.age = std::chrono::milliseconds(in.getAgeMs());
  }
  if (in.getHasOwnReadAge()) {
    answer.evidence.own_read_age = std::chrono::milliseconds(in.getOwnReadAgeMs());
  }
  if (in.getHasRows()) {
    answer.rows = Read(in.getRows());
  }
  return answer;
}

}  // namespace wagtail
