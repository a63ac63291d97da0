#include "standin/load.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <memory>

#include "standin/answer.h"
#include "waxwing/http_client.h"
#include "waxwing/json.h"
#include "waxwing/settings.h"
#include "waxwing/sse.h"

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using waxwing::duration;
using waxwing::endpoint;
using waxwing::http_request;
using waxwing::instant;
using waxwing::milliseconds;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxErrorSamples = 10;
constexpr int kMaxEntryAttempts = 20;
constexpr int kMaxSendAttempts = 6;
constexpr milliseconds kRetryDelay{50};

// The entry addresses and tickets that a router returned for one account.
struct entry_response {
  std::vector<endpoint> addresses;
  std::deque<std::string> tickets;
  instant expires;
};

struct load_state {
  asio::any_io_executor executor;
  load_options options;
  load_result result;
  waxwing::http_pool pool;
  std::map<std::string, entry_response> entries;
  std::size_t next_router = 0;
  std::size_t open_requests = 0;
  instant started;
};

using state_ptr = std::shared_ptr<load_state>;

enum class call_outcome {
  kComplete,
  kRefused,
  kFailed,
  kLost,
  kWrong,
  kStreamBroken,  // connection lost mid-stream; the request is sent again
};

instant Now() {
  return std::chrono::steady_clock::now();
}

asio::awaitable<void> Sleep(const state_ptr& state, duration time) {
  asio::steady_timer timer(state->executor, time);
  co_await timer.async_wait(kUseTuple);
}

void RecordError(load_state& state, const std::string& text) {
  if (state.result.error_samples.size() < kMaxErrorSamples)
    state.result.error_samples.push_back(text.substr(0, 300));
}

// Returns the results of the second that contains `at`.
load_interval& SecondAt(load_state& state, instant at) {
  const auto index =
      static_cast<std::size_t>(waxwing::ToSeconds(at - state.started));
  while (state.result.seconds.size() <= index)
    state.result.seconds.emplace_back();
  return state.result.seconds[index];
}

bool ParseEntryResponse(const std::string& body, entry_response& out) {
  const auto parsed = waxwing::ParseObject(body);
  const json::array* addresses =
      parsed ? waxwing::FindArray(*parsed, "addresses") : nullptr;
  const json::array* tickets =
      parsed ? waxwing::FindArray(*parsed, "tickets") : nullptr;
  if (!addresses || addresses->empty() || !tickets)
    return false;
  out.addresses.clear();
  for (const json::value& address : *addresses)
    out.addresses.push_back(
        waxwing::ParseEndpoint(std::string(address.as_string()))
            .value_or(endpoint{}));
  for (const json::value& ticket : *tickets)
    out.tickets.emplace_back(ticket.as_string());
  const auto lifetime =
      waxwing::ReadIntegerOr(*parsed, "lifetime_ms", 0, 600'000, 1'000);
  out.expires = Now() + milliseconds(lifetime.value_or(1'000));
  return true;
}

// Asks the routers in turn until one returns entry addresses for the account.
asio::awaitable<bool> RefreshEntry(state_ptr state, trace_request request) {
  http_request message;
  message.target = "/v1/entry";
  message.headers.push_back({"Authorization", "Bearer " + request.key});
  const waxwing::http_call_options options{milliseconds(1'000), true};
  for (int attempt = 0; attempt < kMaxEntryAttempts; ++attempt) {
    const auto& routers = state->options.routers;
    const endpoint router = routers[state->next_router++ % routers.size()];
    auto response = co_await Fetch(state->pool, router, message, options);
    if (response && response->status == 200 &&
        ParseEntryResponse(response->body, state->entries[request.account]))
      co_return true;
    co_await Sleep(state, kRetryDelay);
  }
  co_return false;
}

// Returns the next address in turn, skipping the one that has just failed if
// there is another.
endpoint PickAddress(load_state& state,
                     const std::vector<endpoint>& addresses,
                     const endpoint& failed) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const endpoint& address = addresses[state.next_router++ % addresses.size()];
    if (address != failed)
      return address;
  }
  return failed;
}

// Returns the address for the next attempt of a request; port 0 if there is
// none.
asio::awaitable<endpoint> NextAddress(state_ptr state,
                                      const trace_request& request,
                                      endpoint failed) {
  if (!state->options.use_entry)
    co_return PickAddress(*state, state->options.routers, failed);
  if (state->entries[request.account].expires < Now() || failed.port != 0) {
    const bool refreshed = co_await RefreshEntry(state, request);
    if (!refreshed)
      co_return endpoint{};
  }
  co_return PickAddress(*state, state->entries[request.account].addresses,
                        failed);
}

// Returns the outcome of a call from the body of its error response.
call_outcome ClassifyError(load_state& state, const std::string& body) {
  const auto parsed = waxwing::ParseObject(body);
  const auto ran = parsed ? waxwing::ReadString(*parsed, "ran")
                          : tl::unexpected(waxwing::json_error{});
  RecordError(state, body);
  if (!ran)
    return call_outcome::kLost;
  return *ran == "no" ? call_outcome::kRefused : call_outcome::kFailed;
}

std::string ChatBody(const load_state& state, const trace_request& request) {
  json::array messages;
  for (const waxwing::chat_message& message : request.messages)
    messages.push_back(
        json::object{{"role", message.role}, {"content", message.content}});
  return json::serialize(json::object{{"model", state.options.model},
                                      {"messages", std::move(messages)},
                                      {"max_tokens", request.completion_tokens},
                                      {"stream", request.stream}});
}

void RecordFirstToken(load_state& state,
                      const trace_request& request,
                      instant start) {
  const duration ttft = Now() - start;
  Observe(state.result.ttft, ttft);
  auto& by_account = state.result.ttft_by_account;
  auto found = by_account.find(request.account);
  if (found == by_account.end())
    found = by_account.emplace(request.account, waxwing::MakeLatencyHistogram())
                .first;
  Observe(found->second, ttft);
  Observe(SecondAt(state, start).ttft, ttft);
}

void RecordUsage(load_state& state, const waxwing::stream_usage& usage) {
  state.result.prompt_tokens += usage.prompt_tokens;
  state.result.cached_tokens += usage.cached_tokens;
}

struct received_stream {
  std::string text;
  std::uint64_t next_id = 0;
  bool in_order = true;
  bool has_usage = false;
  bool done = false;
  std::string error;
};

void ApplyEvent(load_state& state,
                received_stream& received,
                std::string_view event) {
  if (event.starts_with("event: error")) {
    received.error = std::string(waxwing::EventData(event));
    return;
  }
  if (waxwing::IsDoneEvent(event)) {
    received.done = true;
    return;
  }
  const auto id = waxwing::EventId(event);
  received.in_order = received.in_order && id && *id == received.next_id;
  if (const auto usage = waxwing::EventUsage(event)) {
    received.has_usage = true;
    RecordUsage(state, *usage);
    return;
  }
  ++received.next_id;
  received.text += waxwing::Unescape(waxwing::EscapedContent(event));
}

// Reads a streamed response to its end and checks it.
asio::awaitable<call_outcome> ReadStream(state_ptr state,
                                         const trace_request& request,
                                         waxwing::http_call call,
                                         const std::string& expected,
                                         instant start) {
  received_stream received;
  std::string buffer;
  while (true) {
    auto more = co_await ReadSomeBody(state->pool, call,
                                      state->options.deadline, buffer);
    if (!more) {
      RecordError(*state, "stream interrupted: " + more.error().detail);
      co_return call_outcome::kStreamBroken;
    }
    if (!*more)
      break;
    std::string_view rest = buffer;
    for (auto event = waxwing::ConsumeEvent(rest); !event.empty();
         event = waxwing::ConsumeEvent(rest)) {
      if (received.next_id == 0 && received.error.empty())
        RecordFirstToken(*state, request, start);
      ApplyEvent(*state, received, event);
    }
    buffer.erase(0, buffer.size() - rest.size());
  }
  if (!received.error.empty())
    co_return ClassifyError(*state, received.error);
  const bool is_correct = received.done && received.has_usage &&
                          received.in_order && received.text == expected;
  if (!is_correct)
    RecordError(*state, "incorrect stream for " + request.account + ": " +
                            std::to_string(received.next_id) + " tokens");
  co_return is_correct ? call_outcome::kComplete : call_outcome::kWrong;
}

call_outcome CheckCompletion(load_state& state,
                             const std::string& body,
                             const std::string& expected) {
  const auto parsed = waxwing::ParseObject(body);
  const json::array* choices =
      parsed ? waxwing::FindArray(*parsed, "choices") : nullptr;
  if (!choices || choices->size() != 1)
    return call_outcome::kWrong;
  const json::value* message =
      choices->at(0).as_object().if_contains("message");
  if (!message || !message->is_object())
    return call_outcome::kWrong;
  const auto content = waxwing::ReadString(message->as_object(), "content");
  if (const auto usage = waxwing::EventUsage("data: " + body + "\n"))
    RecordUsage(state, *usage);
  return content && *content == expected ? call_outcome::kComplete
                                         : call_outcome::kWrong;
}

// Sends a chat completion, retrying until a router returns a complete response,
// and checks the response.
asio::awaitable<call_outcome> RunChat(state_ptr state, trace_request request) {
  http_request message{"POST", "/v1/chat/completions", {}, ""};
  message.body = ChatBody(*state, request);
  message.headers.push_back({"Content-Type", "application/json"});
  message.headers.push_back({"Authorization", "Bearer " + request.key});
  message.headers.push_back(
      {"X-Deadline-Ms", std::to_string(state->options.deadline.count())});
  const std::string expected =
      CompletionText(CompletionSeed(waxwing::PromptText(request.messages),
                                    state->options.model),
                     static_cast<std::uint64_t>(request.completion_tokens));
  const instant start = Now();
  endpoint address;
  for (int attempt = 1; attempt <= kMaxSendAttempts; ++attempt) {
    address = co_await NextAddress(state, request, address);
    if (address.port == 0)
      break;
    const waxwing::http_call_options options{state->options.deadline, true};
    auto call = co_await StartCall(state->pool, address, message, options);
    // The request is idempotent, so it can be retried at another router.
    if (!call) {
      co_await Sleep(state, kRetryDelay);
      continue;
    }
    if (call->head.status == 200 && request.stream) {
      const call_outcome outcome =
          co_await ReadStream(state, request, *call, expected, start);
      if (outcome != call_outcome::kStreamBroken)
        co_return outcome;
      ++state->result.stream_retries;
      continue;
    }
    std::string body;
    bool completed = false;
    while (true) {
      auto more = co_await ReadSomeBody(state->pool, *call,
                                        state->options.deadline, body);
      completed = more && !*more;
      if (!more || !*more)
        break;
    }
    if (!completed)
      continue;
    if (call->head.status != 200)
      co_return ClassifyError(*state, body);
    const call_outcome outcome = CheckCompletion(*state, body, expected);
    if (outcome == call_outcome::kWrong)
      RecordError(*state, "incorrect response: " + body);
    co_return outcome;
  }
  RecordError(*state, "no router completed the request");
  co_return call_outcome::kLost;
}

asio::awaitable<std::string> AcquireTicket(state_ptr state,
                                           const trace_request& request) {
  if (state->entries[request.account].tickets.empty()) {
    const bool refreshed = co_await RefreshEntry(state, request);
    if (!refreshed)
      co_return std::string();
  }
  auto& tickets = state->entries[request.account].tickets;
  if (tickets.empty())
    co_return std::string();
  std::string ticket = tickets.front();
  tickets.pop_front();
  co_return ticket;
}

// Sends a non-idempotent call. All attempts carry the same ticket, until a
// router reports the outcome.
asio::awaitable<call_outcome> RunService(state_ptr state,
                                         trace_request request) {
  http_request message{"POST", request.path, {}, request.body};
  message.headers.push_back({"Content-Type", "application/json"});
  message.headers.push_back({"Authorization", "Bearer " + request.key});
  const std::string ticket = co_await AcquireTicket(state, request);
  message.headers.push_back({"X-Ticket", ticket});
  const waxwing::http_call_options options{state->options.deadline, false};
  endpoint address;
  for (int attempt = 1; attempt <= kMaxSendAttempts; ++attempt) {
    address = co_await NextAddress(state, request, address);
    if (address.port == 0)
      break;
    auto response = co_await Fetch(state->pool, address, message, options);
    if (!response) {
      co_await Sleep(state, kRetryDelay);
      continue;
    }
    if (response->status != 200) {
      const call_outcome outcome = ClassifyError(*state, response->body);
      if (outcome == call_outcome::kRefused)
        state->result.service_not_run.push_back(request.body);
      co_return outcome;
    }
    state->result.service_answered.push_back(request.body);
    const auto body = waxwing::ParseObject(response->body);
    const bool is_correct =
        body &&
        waxwing::ReadStringOr(*body, "echo", "").value_or("") == request.body;
    co_return is_correct ? call_outcome::kComplete : call_outcome::kWrong;
  }
  RecordError(*state, "no router completed the service call");
  co_return call_outcome::kLost;
}

void RecordOutcome(load_state& state, call_outcome outcome) {
  load_result& result = state.result;
  switch (outcome) {
    case call_outcome::kComplete:
      ++result.completed;
      break;
    case call_outcome::kRefused:
      ++result.refused;
      break;
    case call_outcome::kFailed:
      ++result.failed;
      break;
    case call_outcome::kLost:
    case call_outcome::kStreamBroken:
      ++result.lost;
      break;
    case call_outcome::kWrong:
      ++result.wrong;
      break;
  }
}

asio::awaitable<void> RunRequest(state_ptr state, trace_request request) {
  const instant start = Now();
  ++SecondAt(*state, start).started;
  call_outcome outcome = call_outcome::kLost;
  if (request.is_service)
    outcome = co_await RunService(state, request);
  else
    outcome = co_await RunChat(state, request);
  RecordOutcome(*state, outcome);
  if (outcome == call_outcome::kComplete) {
    Observe(state->result.total, Now() - start);
    ++SecondAt(*state, Now()).completed;
  }
  --state->open_requests;
}

asio::awaitable<void> ShowProgress(state_ptr state) {
  while (state->options.progress && state->open_requests > 0) {
    co_await Sleep(state, waxwing::seconds(1));
    state->options.progress(state->result);
  }
}

}  // namespace

asio::awaitable<load_result> RunLoad(asio::any_io_executor executor,
                                     std::vector<trace_request> trace,
                                     load_options options) {
  auto state = std::make_shared<load_state>();
  state->executor = executor;
  state->options = std::move(options);
  state->pool = waxwing::MakeHttpPool(executor, {});
  state->started = Now();
  // The load itself counts as an open request, so that ShowProgress runs until
  // the load ends.
  state->open_requests = 1;
  asio::co_spawn(executor, ShowProgress(state), asio::detached);
  for (trace_request& request : trace) {
    const duration wait = state->started + request.at - Now();
    if (wait > duration::zero())
      co_await Sleep(state, wait);
    ++state->open_requests;
    ++state->result.requests;
    asio::co_spawn(executor, RunRequest(state, std::move(request)),
                   asio::detached);
  }
  while (state->open_requests > 1)
    co_await Sleep(state, milliseconds(5));
  state->open_requests = 0;
  co_return std::move(state->result);
}

}  // namespace standin
