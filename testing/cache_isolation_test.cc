// Tests that no request uses KV cache that a request of another account has
// made if one of the two accounts is isolated, whatever the configuration was
// when the request arrived.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "testing/entry_fixture.h"

namespace waxwing {
namespace {

using namespace testing_support;  // NOLINT(google-build-using-namespace)

namespace json = boost::json;

// Time between a request's arrival at the target and the response, in which the
// next configuration comes into force.
constexpr milliseconds kResponseDelay{600};

// Accounts "shop" (key-1) and "desk" (key-2), which share cached segments until
// a configuration isolates one of them.
struct isolation_fixture : entry_fixture {
  int version = 1;
  // Cache salts of the requests, in the order of their arrival.
  std::vector<std::string> salts;
  // If set, the next request gets this response, and its arrival brings the
  // next configuration, which isolates the accounts `isolated_next`.
  std::optional<scripted_response> next_response;
  std::set<std::string> isolated_next;

  isolation_fixture() {
    caller_deadline_ms = 5'000;
    const auto script = [this](const http_request& request) {
      return Respond(request);
    };
    AddTarget("e1", "llm", script);
    AddTarget("e2", "llm", script);
    Isolate({});
    Start(2);
    RunUntil([&] { return running.state->table->version == version; });
  }

  scripted_response Respond(const http_request& request) {
    if (request.target.starts_with("/api/"))
      return {{PlainResponse(404, "", "{}")}};
    salts.emplace_back(FindHeader(request.headers, "Cache-Salt"));
    if (!next_response)
      return StreamTwoEvents(request);
    Isolate(isolated_next);
    scripted_response out = *std::exchange(next_response, std::nullopt);
    // The response was written before the ID of its request was known.
    for (std::string& piece : out.pieces) {
      constexpr std::string_view kId = "ID";
      if (const auto at = piece.find(kId); at != std::string::npos)
        piece.replace(at, kId.size(), IdOf(request));
    }
    return out;
  }
  void Isolate(const std::set<std::string>& names) {
    json::object config = json::parse(EntryConfig(++version)).as_object();
    json::array accounts;
    int key = 0;
    for (const char* name : {"shop", "desk"})
      accounts.push_back(json::object{
          {"name", name},
          {"api_keys", json::array{"key-" + std::to_string(++key)}},
          {"isolated", names.contains(name)}});
    config["tenants"] = std::move(accounts);
    PutObject(*store, "config", "main", json::serialize(config));
  }
  // Returns the salt of the last attempt.
  std::string SaltOf(const std::string& key) {
    const auto response = Send(kResumablePath,
                               {{"Model", "m"},
                                {"Token-Count", "64,8"},
                                {"Prefix-Hash", "a1:32,b2:32"}},
                               key);
    EXPECT_TRUE(response && response->status == 200);
    return salts.empty() ? "" : salts.back();
  }
};

// A request that a target refused after an account had been isolated was sent
// on with the salt of the configuration under which it had arrived, and used
// what the account's requests had cached.
TEST(CacheIsolation, RequestSentAgainAfterAnAccountWasIsolatedUsesNoneOfIt) {
  isolation_fixture f;
  const std::string shared = f.SaltOf("key-2");
  ASSERT_EQ(f.SaltOf("key-1"), shared);
  f.isolated_next = {"desk"};
  f.next_response = {{PlainResponse(503, "ID", "", "Not-Executed: 1\r\n")}};
  f.next_response->delay = kResponseDelay;
  const std::string salt = f.SaltOf("key-1");
  EXPECT_NE(salt, shared);
  EXPECT_EQ(f.SaltOf("key-1"), salt);
}

// The same for a request of the account that is isolated: others would use what
// it caches.
TEST(CacheIsolation, RequestOfAnAccountThatWasIsolatedMeanwhileSharesNothing) {
  isolation_fixture f;
  const std::string shared = f.SaltOf("key-2");
  f.isolated_next = {"desk"};
  f.next_response = {{PlainResponse(503, "ID", "", "Not-Executed: 1\r\n")}};
  f.next_response->delay = kResponseDelay;
  const std::string salt = f.SaltOf("key-2");
  EXPECT_NE(salt, shared);
  EXPECT_NE(salt, f.SaltOf("key-1"));
}

// The same for a stream that another target takes up.
TEST(CacheIsolation, StreamTakenUpAfterAnAccountWasIsolatedUsesNoneOfIt) {
  isolation_fixture f;
  const std::string shared = f.SaltOf("key-2");
  f.isolated_next = {"desk"};
  f.next_response = {{StreamHead("ID"), StreamEvent(1, "one")}, true};
  f.next_response->delay = kResponseDelay;
  const std::string salt = f.SaltOf("key-1");
  EXPECT_NE(salt, shared);
  EXPECT_EQ(f.SaltOf("key-1"), salt);
}

// Guards changes in both directions, of several accounts at once, and accounts
// that are new, with requests that arrived under any earlier configuration.
RC_GTEST_PROP(CacheIsolation,
              IsolatedAccountsShareNothingInAnyOrderOfChanges,
              ()) {
  constexpr std::size_t kAccounts = 4;
  const auto name_of = [](std::size_t i) {
    return "account-" + std::to_string(i);
  };
  const auto sets = *rc::gen::container<std::vector<unsigned>>(
      rc::gen::inRange(0u, 1u << kAccounts));
  std::vector<route_table> tables;
  // By cache group: the accounts whose requests have cached something there.
  std::map<std::string, std::set<std::string>> users;
  for (const unsigned set : sets) {
    std::set<std::string, std::less<>> isolated;
    for (std::size_t i = 0; i < kAccounts; ++i) {
      if (set & (1u << i))
        isolated.insert(name_of(i));
    }
    SetIsolatedAccounts(tables.emplace_back(), isolated);
    for (std::size_t i = 0; i < kAccounts; ++i) {
      const auto& at_arrival =
          tables[*rc::gen::inRange<std::size_t>(0, tables.size())];
      account_info account;
      account.name = name_of(i);
      account.is_isolated = at_arrival.isolated_accounts.contains(account.name);
      auto& sharing = users[CacheGroup(tables.back(), account)];
      for (const std::string& other : sharing) {
        RC_ASSERT(other == account.name || (!isolated.contains(other) &&
                                            !isolated.contains(account.name)));
      }
      sharing.insert(account.name);
    }
  }
}

}  // namespace
}  // namespace waxwing
