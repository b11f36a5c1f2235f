#include "base/try.h"
#include "tests/stand_ins/target/target.h"

namespace wagtail {
namespace {

absl::StatusOr<std::unique_ptr<stand_in>> NewTarget(object_reader reader) {
  target_settings settings = TRY(target_settings::From(std::move(reader)));
  return std::make_unique<target>(std::move(settings));
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) {
  return wagtail::RunStandIn(argc, argv, "Stands in for a target that runs tasks.",
                             wagtail::NewTarget);
}
