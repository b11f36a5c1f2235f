#include "base/try.h"
#include "tests/stand_ins/target/stand_in_target.h"

namespace wagtail {
namespace {

absl::StatusOr<std::unique_ptr<stand_in>> NewTarget(control_reader reader) {
  target_settings settings = TRY(target_settings::From(std::move(reader)));
  return std::make_unique<stand_in_target>(std::move(settings));
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) {
  return wagtail::RunStandIn(argc, argv, "Stands in for a target that runs tasks.",
                             wagtail::NewTarget);
}
