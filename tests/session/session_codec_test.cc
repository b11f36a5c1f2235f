#include "session/session_codec.h"

#include <capnp/message.h>

// Last, since its macros must not reach other headers.
#include <CppUTest/TestHarness.h>

namespace wagtail::leased {

TEST_GROUP(SessionCodec){};

TEST(SessionCodec, CarriesAPlan) {
  capnp::MallocMessageBuilder message;
  operating_plan plan{.revision = 9,
                      .version = 4,
                      .queues = {{.name = "q",
                                  .host = "h",
                                  .path_prefix = "/p/",
                                  .service = "s",
                                  .priority = 2,
                                  .max_attempts = 3,
                                  .stretch = 1.6,
                                  .allowance = std::chrono::milliseconds(60),
                                  .timeout = std::chrono::milliseconds(1500)}},
                      .services = {{.name = "s", .targets_guard_capacity = false}},
                      .leaving_domains = {"north"},
                      .max_body_bytes = 77};
  auto builder = message.initRoot<session_wire::Plan>();
  Write(plan, builder);
  CHECK(Read(builder.asReader()) == plan);
}

TEST(SessionCodec, CarriesOrders) {
  capnp::MallocMessageBuilder message;
  order_batch batch{.text = std::make_shared<const std::string>("text"), .job = "ab"};
  batch.orders.push_back({.order = 5,
                          .task = {.job = "ab", .step = 1, .index = 2},
                          .run = 3,
                          .resources = {.cpu = 6200, .mem_mb = 64, .gpu = 1},
                          .estimate = duration(7)});
  auto builder = message.initRoot<session_wire::JobOrder>();
  Write(batch, builder);
  std::vector<run_order> orders = Read(builder.asReader(), 44);
  CHECK_EQUAL(1, orders.size());
  CHECK_EQUAL(44, orders[0].session);
  CHECK(orders[0].task == batch.orders[0].task);
  CHECK(orders[0].resources == batch.orders[0].resources);
  CHECK(orders[0].estimate == duration(7));
  STRCMP_EQUAL("text", orders[0].text->c_str());
}

TEST(SessionCodec, CarriesResultsAndLoad) {
  capnp::MallocMessageBuilder message;
  run_result result{.order = 5, .outcome = run_outcome::kNotStarted, .reason = "no_room", .run = 2};
  auto written = message.initRoot<session_wire::TaskResult>();
  Write(result, written);
  run_result read = Read(written.asReader(), 3);
  CHECK(read.outcome == run_outcome::kNotStarted);
  STRCMP_EQUAL("no_room", read.reason.c_str());

  capnp::MallocMessageBuilder other;
  session_report report{.load = {.state = target_availability::kDraining,
                                 .target = "i-1",
                                 .service = "s",
                                 .capacity = {.cpu = 64'000, .mem_mb = 5, .gpu = 0},
                                 .free = {.cpu = -3, .mem_mb = 4, .gpu = 0},
                                 .slowness = 1.5,
                                 .failing = 0.25,
                                 .mean_run = duration(11)},
                        .entries = 3,
                        .orders_seen = 12,
                        .settled = true};
  auto load = other.initRoot<session_wire::Load>();
  Write(report, load);
  session_report back = Read(load.asReader());
  CHECK(back.load.state == target_availability::kDraining);
  CHECK_EQUAL(-3, back.load.free.cpu);
  CHECK_EQUAL(12, back.orders_seen);
  CHECK(back.settled);
  DOUBLES_EQUAL(1.5, back.load.slowness, 1e-9);
}

TEST(SessionCodec, CarriesTheBuildOfAnAgent) {
  capnp::MallocMessageBuilder message;
  agent_identity agent{.name = "a",
                       .address = "10.0.0.1:1",
                       .domain = "north",
                       .build = {.protocols = {.oldest = 2, .newest = 5}, .build = "0.2.0 abc"}};
  auto written = message.initRoot<session_wire::Hello>();
  Write(agent, written);
  agent_identity read = Read(written.asReader());
  CHECK(read.build.protocols == agent.build.protocols);
  STRCMP_EQUAL("0.2.0 abc", read.build.build.c_str());
}

TEST(SessionCodec, CarriesTheWaitingPriority) {
  for (const waiting_priority& told :
       {waiting_priority{.told = true, .highest = std::nullopt},
        waiting_priority{.told = true, .highest = 0}, waiting_priority{.told = true, .highest = 7},
        waiting_priority{}}) {
    capnp::MallocMessageBuilder message;
    auto written = message.initRoot<session_wire::ToAgent>();
    written.setWaitingPriority(ToWire(told));
    CHECK(ReadWaitingPriority(written.asReader().getWaitingPriority()) == told);
  }
}

// A priority at the end of the range must not wrap to "not told" or "none waits".
TEST(SessionCodec, CarriesTheLowestPriority) {
  waiting_priority told{.told = true, .highest = UINT32_MAX};
  CHECK_EQUAL(UINT32_MAX, ToWire(told));
  CHECK(ReadWaitingPriority(ToWire(told)).highest == UINT32_MAX - 2);
}

// An entry of the previous version does not send the field: agents hold nothing back from it.
TEST(SessionCodec, AnEntryWithoutTheFieldTellsNoWaitingPriority) {
  capnp::MallocMessageBuilder message;
  auto written = message.initRoot<session_wire::ToAgent>();
  CHECK(!ReadWaitingPriority(written.asReader().getWaitingPriority()).told);
}

TEST(SessionCodec, APeerThatStatesNoBuildSpeaksTheFirstProtocol) {
  capnp::MallocMessageBuilder message;
  message.initRoot<session_wire::Hello>().setAgent("a");
  agent_identity read = Read(message.getRoot<session_wire::Hello>().asReader());
  CHECK(read.build.protocols == (protocol_range{.oldest = 1, .newest = 1}));
}

TEST(SessionCodec, EndsSpeakTheNewestProtocolThatBothKnow) {
  CHECK(CommonProtocol({.oldest = 1, .newest = 3}, {.oldest = 2, .newest = 5}) == 3U);
  CHECK(CommonProtocol({.oldest = 2, .newest = 5}, {.oldest = 1, .newest = 2}) == 2U);
  CHECK(!CommonProtocol({.oldest = 1, .newest = 2}, {.oldest = 3, .newest = 4}).has_value());
}

}  // namespace wagtail::leased
