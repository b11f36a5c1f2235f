#include "entry/entry_view.h"

namespace wagtail {

entry_view MakeEntryView(const configuration& current, bool stopping) {
  entry_view view{
      .current = current, .team_of_token = {}, .operator_of_token = {}, .stopping = stopping};
  for (const auto& [name, team] : current.teams) {
    view.team_of_token[team.token_digest] = name;
  }
  for (const auto& [name, account] : current.operators) {
    view.operator_of_token[account.token_digest] = name;
  }
  return view;
}

}  // namespace wagtail
