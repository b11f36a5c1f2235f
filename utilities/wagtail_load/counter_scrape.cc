#include "wagtail_load/counter_scrape.h"

#include <algorithm>
#include <charconv>

#include "base/verify.h"

namespace wagtail {

namespace {

constexpr int kOk = 200;

/// @return the value of a sample line of `name`, or 0 for any other line
double ValueOfSample(std::string_view line, std::string_view name) {
  if (!line.starts_with(name)) {
    return 0;
  }
  line.remove_prefix(name.size());
  if (line.starts_with('{')) {
    line.remove_prefix(std::min(line.size(), line.rfind('}') + 1));
  }
  if (!line.starts_with(' ')) {
    return 0;
  }
  line.remove_prefix(1);
  double value = 0;
  std::from_chars(line.data(), line.data() + line.size(), value);
  return value;
}

counter_page Scrape(const std::string& url, std::span<const std::string> names,
                    const call_hook& call) {
  counter_page page{.url = url};
  http_call request;
  request.url = url + "/metrics";
  absl::StatusOr<http_response> answer = call(request);
  if (!answer.ok() || answer->status != kOk) {
    return page;
  }
  page.answered = true;
  for (const std::string& name : names) {
    page.sums[name] = SumOfSamples(answer->body, name);
  }
  return page;
}

}  // namespace

double SumOfSamples(std::string_view text, std::string_view name) {
  double sum = 0;
  while (!text.empty()) {
    size_t end = std::min(text.find('\n'), text.size());
    sum += ValueOfSample(text.substr(0, end), name);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return sum;
}

std::vector<counter_page> ScrapeCounters(std::span<const std::string> urls,
                                         std::span<const std::string> names,
                                         const call_hook& call) {
  std::vector<counter_page> pages(names.empty() ? 0 : urls.size());
  std::ranges::transform(urls.first(pages.size()), pages.begin(),
                         [&](const std::string& url) { return Scrape(url, names, call); });
  return pages;
}

std::vector<counter_growth> GrowthBetween(std::span<const counter_page> before,
                                          std::span<const counter_page> after,
                                          std::span<const std::string> names) {
  VERIFY(before.size() == after.size());
  std::vector<counter_growth> growths;
  for (const std::string& name : names) {
    counter_growth growth{.name = name};
    for (size_t i = 0; i < before.size(); ++i) {
      if (!before[i].answered || !after[i].answered) {
        ++growth.missing_pages;
        continue;
      }
      double first = before[i].sums.at(name);
      double last = after[i].sums.at(name);
      growth.growth += last < first ? last : last - first;
    }
    growths.push_back(std::move(growth));
  }
  return growths;
}

}  // namespace wagtail
