// Targets that serve several models, each with weights of its own.

#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <map>
#include <set>

#include "platform/records.h"
#include "testing/entry_fixture.h"
#include "waxwing/rollout.h"

namespace testing_support {
namespace {

namespace json = boost::json;

// Models with their versions, in the order in which an engine lists them.
using model_list = std::vector<model_weights>;

struct engine {
  std::string id;
  model_list models;
  int orders = 0;
  bool refuses_orders = false;
};

json::array ToJson(const model_list& models) {
  json::array out;
  for (const model_weights& served : models)
    out.push_back(json::object{{"name", served.model},
                               {"version", served.version},
                               {"adapters", json::array{}}});
  return out;
}

struct models_fixture : entry_fixture {
  std::vector<std::unique_ptr<engine>> engines;

  models_fixture() {
    json::object config = json::parse(EntryConfig(1)).as_object();
    config["services"].as_array()[0].at("engine").as_object()["models"] =
        json::array{json::object{{"name", "a"}}, json::object{{"name", "b"}}};
    PutObject(*store, "config", "main", json::serialize(config));
  }
  // Engines write their records while the entry stops.
  ~models_fixture() {
    if (running.state)
      StopEntry(running);
    running.state.reset();
  }

  void PutRecord(std::size_t i) {
    json::object record =
        json::parse(EntryTargetRecord(targets[i]->Address(), "llm", 1))
            .as_object();
    record["models"] = ToJson(engines[i]->models);
    PutObject(*store, "servers", engines[i]->id, json::serialize(record));
  }
  void AddEngine(model_list models) {
    const std::size_t i = engines.size();
    engines.push_back(std::make_unique<engine>());
    engines[i]->id = "e" + std::to_string(i);
    engines[i]->models = std::move(models);
    targets.push_back(StartTarget(
        context, [this, i](const http_request& r) { return Respond(i, r); }));
    PutRecord(i);
  }
  void Start(std::size_t count, milliseconds outdated_limit = seconds(8)) {
    entry_options options;
    options.vm = "vm-0";
    options.store = store->server.address;
    options.key = "test";
    options.bounds.outdated_weights_limit = outdated_limit;
    running = *StartEntry(context.get_executor(), options,
                          platform::MakeProtocolAdapter());
    RunUntil([&] { return running.state->targets.size() == count; });
  }
  void Name(const std::string& model, int version) {
    PutObject(
        *store, "versions", model,
        json::serialize(json::object{{"model", model}, {"version", version}}));
  }

  scripted_response Respond(std::size_t i, const http_request& request) {
    engine& self = *engines[i];
    if (request.target == "/api/report")
      return {{PlainResponse(
          200, "",
          json::serialize(json::object{{"models", ToJson(self.models)},
                                       {"busy", false},
                                       {"sequence", self.orders}}))}};
    if (request.target == "/api/order")
      return CarryOut(i, request);
    if (request.target.starts_with("/api/"))
      return {{PlainResponse(404, "", "{}")}};
    const std::string model(FindHeader(request.headers, "Model"));
    const model_weights* served = FindModel(self.models, model);
    const std::string version = served ? std::to_string(served->version) : "";
    if (FindHeader(request.headers, "Expect-Version") != version)
      return {{PlainResponse(421, IdOf(request), "",
                             "Instance-Id: " + self.id + "\r\n")}};
    scripted_response out = StreamTwoEvents(request);
    out.pieces[0].insert(out.pieces[0].size() - 2,
                         "Weight-Versions: " + version + "\r\n");
    return out;
  }
  scripted_response CarryOut(std::size_t i, const http_request& request) {
    engine& self = *engines[i];
    if (self.refuses_orders)
      return {{PlainResponse(400, "", "{}")}};
    const json::object order = json::parse(request.body).as_object();
    for (model_weights& served : self.models) {
      if (served.model == order.at("model").as_string())
        served.version = order.at("version").to_number<std::int64_t>();
    }
    ++self.orders;
    PutRecord(i);
    return {{PlainResponse(202, "", "{}")}};
  }

  unsigned Ask(const std::string& model) {
    const auto response = Send(kStreamPath, {{"Model", model},
                                             {"Token-Count", "300,10"},
                                             {"Prefix-Hash", "aa:200,bb:100"}});
    return response ? response->status : 0;
  }
  // The requests for a model that targets have received.
  std::vector<http_request> Received(std::string_view model) const {
    std::vector<http_request> out;
    for (const auto& target : targets) {
      for (const http_request& request : target->requests) {
        if (FindHeader(request.headers, "Model") == model)
          out.push_back(request);
      }
    }
    return out;
  }
  bool AllServe(const std::string& model, std::int64_t version) {
    return RunUntil([&] {
      return std::all_of(engines.begin(), engines.end(), [&](const auto& e) {
        const model_weights* served = FindModel(e->models, model);
        return !served || served->version == version;
      });
    });
  }
};

// New weights of the second model in a target's list were never loaded, and
// requests for it began on the old ones.
TEST(TwoModels, NewWeightsOfEachModelOfTheListAreLoaded) {
  for (const std::set<std::string>& named :
       {std::set<std::string>{"a"}, {"b"}, {"a", "b"}}) {
    models_fixture f;
    f.AddEngine({{"a", 1}, {"b", 1}});
    f.AddEngine({{"b", 1}, {"a", 1}});
    f.AddEngine({{"a", 1}, {"b", 1}, {"c", 1}});
    f.Start(3);
    for (const std::string& model : named)
      f.Name(model, 2);
    for (const std::string model : {"a", "b"}) {
      const int version = named.contains(model) ? 2 : 1;
      EXPECT_TRUE(f.AllServe(model, version)) << model << named.size();
    }
    for (const auto& e : f.engines)
      EXPECT_EQ(e->orders, static_cast<int>(named.size())) << e->id;
    for (int i = 0; i < 4; ++i) {
      EXPECT_EQ(f.Ask("a"), 200u);
      EXPECT_EQ(f.Ask("b"), 200u);
    }
  }
}

// Requests for the second model were refused by all targets once the first had
// new weights, since they expected the version of the first.
TEST(TwoModels, RequestExpectsTheVersionOfItsModel) {
  models_fixture f;
  f.AddEngine({{"a", 3}, {"b", 7}});
  f.AddEngine({{"b", 7}, {"a", 3}});
  f.Start(2);
  std::set<std::string> salts;
  for (const auto& [model, version] :
       {std::pair<std::string, std::string>{"a", "3"}, {"b", "7"}}) {
    for (int i = 0; i < 4; ++i)
      EXPECT_EQ(f.Ask(model), 200u) << model;
    for (const http_request& request : f.Received(model)) {
      EXPECT_EQ(FindHeader(request.headers, "Expect-Version"), version);
      salts.emplace(FindHeader(request.headers, "Cache-Salt"));
    }
  }
  EXPECT_EQ(salts.size(), 2u);
}

// Models of the same version shared entries of a cache.
TEST(TwoModels, ModelsShareNoCacheEntries) {
  models_fixture f;
  f.AddEngine({{"a", 1}, {"b", 1}});
  f.Start(1);
  EXPECT_EQ(f.Ask("a"), 200u);
  EXPECT_EQ(f.Ask("b"), 200u);
  EXPECT_NE(FindHeader(f.Received("a")[0].headers, "Cache-Salt"),
            FindHeader(f.Received("b")[0].headers, "Cache-Salt"));
}

TEST(TwoModels, RequestIsSentOnlyToTargetsOfItsModel) {
  models_fixture f;
  f.AddEngine({{"a", 1}});
  f.AddEngine({{"c", 1}, {"b", 1}});
  f.Start(2);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(f.Ask("a"), 200u);
    EXPECT_EQ(f.Ask("b"), 200u);
  }
  EXPECT_EQ(f.targets[0]->requests.size(), 4u);
  EXPECT_EQ(f.targets[1]->requests.size(), 4u);
}

TEST(TwoModels, RequestForAModelThatNoTargetListsIsRefusedAtOnce) {
  models_fixture f;
  f.AddEngine({{"a", 1}, {"b", 1}});
  f.Start(1);
  const instant sent = std::chrono::steady_clock::now();
  EXPECT_EQ(f.Ask("d"), 503u);
  EXPECT_LT(std::chrono::steady_clock::now() - sent, milliseconds(300));
  EXPECT_EQ(f.Received("d").size(), 0u);
}

// The name may be that of an adapter.
TEST(TwoModels, OtherNamesRunOnTheOnlyModelOfATarget) {
  models_fixture f;
  f.AddEngine({{"a", 6}});
  f.Start(1);
  f.Ask("adapter");
  const auto received = f.Received("adapter");
  ASSERT_FALSE(received.empty());
  EXPECT_EQ(FindHeader(received[0].headers, "Expect-Version"), "6");
}

TEST(TwoModels, ModelThatComesOrGoesIsFollowed) {
  models_fixture f;
  f.AddEngine({{"a", 1}, {"c", 1}});
  f.Start(1);
  const auto serves = [&](std::string_view model) {
    return FindModel(f.running.state->targets.at("e0").record.models, model) !=
           nullptr;
  };
  EXPECT_EQ(f.Ask("b"), 503u);
  f.engines[0]->models = {{"b", 4}, {"a", 1}, {"c", 1}};
  f.PutRecord(0);
  ASSERT_TRUE(f.RunUntil([&] { return serves("b"); }));
  EXPECT_EQ(f.Ask("a"), 200u);
  EXPECT_EQ(f.Ask("b"), 200u);
  f.engines[0]->models = {{"b", 4}, {"c", 1}};
  f.PutRecord(0);
  ASSERT_TRUE(f.RunUntil([&] { return !serves("a"); }));
  EXPECT_EQ(f.Ask("a"), 503u);
  EXPECT_EQ(f.Ask("b"), 200u);
}

TEST(TwoModels, OutdatedWeightsKeepOnlyRequestsForTheirModelAway) {
  models_fixture f;
  f.AddEngine({{"a", 1}, {"b", 1}});
  f.AddEngine({{"b", 1}, {"a", 1}});
  for (const auto& e : f.engines)
    e->refuses_orders = true;
  f.Start(2, milliseconds(2'000));
  f.Name("b", 2);
  ASSERT_TRUE(f.RunUntil([&] { return f.Ask("b") == 503u; }));
  EXPECT_EQ(f.Ask("a"), 200u);
}

// What a target states of one model was taken for the version of another.
TEST(TwoModels, VersionInAResponseIsThatOfTheRequestedModel) {
  models_fixture f;
  f.AddEngine({{"a", 1}, {"b", 1}});
  f.Start(1);
  f.engines[0]->models[1].version = 5;
  RecordTargetWeights(*f.running.state, "e0", "b", 5);
  const target_record& record = f.running.state->targets.at("e0").record;
  EXPECT_EQ(FindModel(record.models, "a")->version, 1);
  EXPECT_EQ(FindModel(record.models, "b")->version, 5);
  EXPECT_EQ(f.Ask("a"), 200u);
  EXPECT_EQ(f.Ask("b"), 200u);
}

TEST(TwoModels, RecordListsAllModelsWithVersions) {
  const auto read = platform::ReadTargetRecord(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,
          "state":"ready","models":[{"name":"a","version":4},
          {"name":"b"},{"name":"c","version":2},{"name":"a","version":9}]})");
  ASSERT_TRUE(read) << read.error();
  EXPECT_EQ(read->models, (model_list{{"a", 4}, {"c", 2}}));
}

}  // namespace
}  // namespace testing_support
