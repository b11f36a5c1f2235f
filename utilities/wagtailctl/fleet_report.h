#pragma once

#include <istream>
#include <map>
#include <string>

/// @file
/// Lists the processes that logs name, with their builds, so that a fleet of several versions
/// shows.

namespace wagtail {

/// A process as its last `started` line tells it.
struct fleet_member {
  std::string program;
  std::string version;
  std::string commit;
  std::string protocol;
};

/// Collects the lines with which processes tell their builds.
class fleet_reader {
 public:
  /// @param name of the source, used until a line names its process
  void Read(std::istream& log, const std::string& name);
  /// @return the processes by the name of their VM
  const std::map<std::string, fleet_member>& members() const { return members_; }

 private:
  std::map<std::string, fleet_member> members_;
};

/// @return a row for each process, then the number of processes of each build
std::string FleetText(const std::map<std::string, fleet_member>& members);

}  // namespace wagtail
