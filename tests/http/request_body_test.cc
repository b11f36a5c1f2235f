#include "http/request_body.h"

// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

TEST_GROUP(RequestBody) {
  memory_budget memory{{.total_bytes = 100 << 10, .small_reserve_bytes = 20 << 10}};
};

TEST(RequestBody, CollectsPartsAndReleasesTheBudgetAtItsEnd) {
  {
    request_body body(memory, 1000);
    CHECK(body.Begin(6) == body_verdict::kAccepted);
    CHECK_EQUAL(6, memory.held_bytes());
    CHECK(body.Append("abc") == body_verdict::kAccepted);
    CHECK(body.Append("def") == body_verdict::kAccepted);
    CHECK(body.Take() == "abcdef");
    CHECK_EQUAL(6, memory.held_bytes());
  }
  CHECK_EQUAL(0, memory.held_bytes());
}

// Bodies were buffered whole before any limit was checked.
TEST(RequestBody, RefusesByTheAnnouncedLengthBeforeAnyByte) {
  request_body too_large(memory, 1000);
  CHECK(too_large.Begin(1001) == body_verdict::kTooLarge);
  request_body first(memory, 1 << 20);
  CHECK(first.Begin(50 << 10) == body_verdict::kAccepted);
  request_body second(memory, 1 << 20);
  CHECK(second.Begin(50 << 10) == body_verdict::kNoMemory);
  request_body small(memory, 1 << 20);
  CHECK(small.Begin(10 << 10) == body_verdict::kAccepted);
}

// A 503 would send the caller back again and again with a body that never fits.
TEST(RequestBody, ABodyLargerThanTheBudgetIsTooLarge) {
  request_body body(memory, 1 << 20);
  CHECK(body.Begin(90 << 10) == body_verdict::kTooLarge);
}

TEST(RequestBody, ABodyWithoutLengthIsCountedAsItArrives) {
  request_body body(memory, 30 << 10);
  CHECK(body.Begin(std::nullopt) == body_verdict::kAccepted);
  CHECK_EQUAL(0, memory.held_bytes());
  std::string part(1000, 'x');
  for (int parts = 1; parts <= 30; ++parts) {
    CHECK(body.Append(part) == body_verdict::kAccepted);
    CHECK(memory.held_bytes() >= parts * part.size());
    CHECK(memory.held_bytes() <= 30U << 10);
  }
  CHECK(body.Append(part) == body_verdict::kTooLarge);
  CHECK_EQUAL(0, memory.held_bytes());
  CHECK(body.Append(part) == body_verdict::kTooLarge);
  CHECK_EQUAL(2000, body.discarded_bytes());
}

TEST(RequestBody, ABodyWithoutLengthThatNoLongerFitsHoldsNothing) {
  CHECK(memory.Reserve(70 << 10));
  request_body body(memory, 1 << 20);
  CHECK(body.Begin(std::nullopt) == body_verdict::kAccepted);
  std::string part(1 << 10, 'x');
  body_verdict verdict = body_verdict::kAccepted;
  for (int parts = 0; parts < 40; ++parts) {
    verdict = body.Append(part);
  }
  CHECK(verdict == body_verdict::kNoMemory);
  CHECK_EQUAL(70U << 10, memory.held_bytes());
  memory.Release(70 << 10);
}

TEST(RequestBody, ABodyWithoutLengthThatNeverFitsIsTooLarge) {
  request_body body(memory, 1 << 20);
  CHECK(body.Begin(std::nullopt) == body_verdict::kAccepted);
  std::string part(1 << 10, 'x');
  body_verdict verdict = body_verdict::kAccepted;
  for (int parts = 0; parts < 90; ++parts) {
    verdict = body.Append(part);
  }
  CHECK(verdict == body_verdict::kTooLarge);
  CHECK_EQUAL(0, memory.held_bytes());
}

// The announced length is reserved in the budget, but a peer that sends nothing must cost no
// memory.
TEST(RequestBody, AllocatesNothingBeforeTheFirstByte) {
  request_body body(memory, 1 << 20);
  CHECK(body.Begin(60 << 10) == body_verdict::kAccepted);
  CHECK(body.Take().capacity() < 100);
}

}  // namespace wagtail
