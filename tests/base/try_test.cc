#include "base/try.h"

#include "base/layer_error.h"
// Last: CppUTest's macros must not reach the library headers.
#include <CppUTest/TestHarness.h>

namespace wagtail {

enum class sample_error { kBroken = 3 };

template <>
struct layer_error_traits<sample_error> {
  static constexpr std::string_view kLayer = "wagtail/sample";
  static absl::StatusCode CanonicalCode(sample_error /*error*/) {
    return absl::StatusCode::kUnavailable;
  }
};

namespace {

absl::StatusOr<int> Broken() { return MakeError(sample_error::kBroken, "broken"); }

absl::StatusOr<int> AddOne(absl::StatusOr<int> input) {
  int value = TRY(std::move(input));
  return value + 1;
}

}  // namespace

TEST_GROUP(Try){};

TEST(Try, UnwrapsAValue) { LONGS_EQUAL(2, *AddOne(1)); }

TEST(Try, ReturnsTheTypedErrorOfTheLayerBelow) {
  absl::StatusOr<int> result = AddOne(Broken());
  CHECK_FALSE(result.ok());
  CHECK(ErrorOf<sample_error>(result.status()) == sample_error::kBroken);
  CHECK(result.status().code() == absl::StatusCode::kUnavailable);
}

}  // namespace wagtail
