#include "base/try.h"
#include "tests/stand_ins/platform/stand_in_platform.h"

namespace wagtail {
namespace {

absl::StatusOr<std::unique_ptr<stand_in>> NewPlatform(control_reader reader) {
  platform_settings settings = TRY(platform_settings::From(std::move(reader)));
  return std::make_unique<stand_in_platform>(std::move(settings));
}

}  // namespace
}  // namespace wagtail

int main(int argc, char** argv) {
  return wagtail::RunStandIn(argc, argv, "Stands in for the platform's table and object store.",
                             wagtail::NewPlatform);
}
