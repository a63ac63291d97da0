#include "standin/engine.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "standin/answer.h"
#include "standin/block_cache.h"
#include "waxwing/hash.h"
#include "waxwing/http_server.h"
#include "waxwing/json.h"
#include "waxwing/prefix.h"
#include "waxwing/settings.h"

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using waxwing::FindHeader;
using waxwing::http_exchange;
using waxwing::http_response;
using waxwing::instant;
using waxwing::JsonResponse;
using waxwing::milliseconds;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxEvents = 4096;
// Time that a finished run can still be resumed.
constexpr milliseconds kRunRetention{20'000};
// A run that nobody has been reading for this long is cancelled.
constexpr milliseconds kUnreadRunTimeout{3'000};

instant Now() {
  return std::chrono::steady_clock::now();
}

// One execution of a request.
struct engine_run {
  std::string request_id;
  std::uint64_t completion_seed = 0;
  std::uint64_t first_token = 0;
  std::uint64_t tokens = 0;
  // Tokens available to readers, counted from the start of the completion.
  std::uint64_t produced = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  int priority = 0;
  // Responses that stream this run.
  int readers = 0;
  bool done = false;
  bool cancelled = false;
  instant last_read;
  // Cancelled to wake the readers whenever the run changes.
  asio::steady_timer changed;

  explicit engine_run(asio::any_io_executor executor) : changed(executor) {
    changed.expires_at(instant::max());
  }
};

using run_ptr = std::shared_ptr<engine_run>;

struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = false;
  std::uint64_t hash = 0;
};

// A validated chat request.
struct engine_request {
  std::string id;
  std::string attempt;
  std::string prompt;
  std::string delivered;
  std::uint64_t tokens = 16;
  std::uint64_t resume_from = 0;
  int priority = 4;
  std::uint64_t salt = 0;
  bool resume_only = false;
};

// A run waiting for a slot, ordered by descending priority, then by arrival.
struct slot_waiter {
  int priority = 0;
  std::uint64_t order = 0;
  std::shared_ptr<asio::steady_timer> granted;

  bool operator<(const slot_waiter& other) const {
    return std::pair(-priority, order) <
           std::pair(-other.priority, other.order);
  }
};

struct load_sample {
  instant at;
  int in_flight = 0;
  int waiting = 0;
};

}  // namespace

struct engine_state : std::enable_shared_from_this<engine_state> {
  asio::any_io_executor executor;
  engine_options options;
  engine_faults faults;
  engine_counts counts;
  std::mt19937_64 random;
  waxwing::http_server server;
  block_cache cache;
  std::uint64_t boot_id = 0;
  std::string version;
  std::string role = "serve";
  std::set<std::string> adapters;
  std::uint64_t highest_fence = 0;
  std::uint64_t refused_orders = 0;
  std::uint64_t stale_orders_accepted = 0;
  int busy_slots = 0;
  std::uint64_t next_waiter = 0;
  std::set<slot_waiter> waiters;
  instant prefill_free_at;
  instant stalled_before;
  bool stopped = false;
  std::map<std::string, run_ptr> runs;
  std::map<std::string, std::uint64_t> run_counts;
  std::deque<cache_event> events;
  std::uint64_t next_event = 1;
  std::deque<load_sample> samples;
  std::string transcript;
};

namespace {

using state_ptr = std::shared_ptr<engine_state>;

bool Chance(engine_state& state, double share) {
  return std::uniform_real_distribution<double>(0, 1)(state.random) < share;
}

waxwing::duration Scaled(const engine_state& state, waxwing::duration d) {
  return waxwing::FromSeconds(waxwing::ToSeconds(d) * state.faults.slow);
}

asio::awaitable<void> Sleep(const state_ptr& state, waxwing::duration time) {
  asio::steady_timer timer(state->executor, time);
  co_await timer.async_wait(kUseTuple);
}

void RecordEvents(engine_state& state,
                  std::span<const std::uint64_t> hashes,
                  bool stored) {
  for (const std::uint64_t hash : hashes) {
    const std::uint64_t sequence = state.next_event++;
    if (Chance(state, state.options.event_loss))
      continue;
    state.events.push_back({sequence, stored, hash});
    if (state.events.size() > kMaxEvents)
      state.events.pop_front();
  }
}

asio::awaitable<void> AcquireSlot(const state_ptr& state, const run_ptr& run) {
  if (state->busy_slots < state->options.slots) {
    ++state->busy_slots;
    co_return;
  }
  auto granted =
      std::make_shared<asio::steady_timer>(state->executor, instant::max());
  state->waiters.insert({run->priority, state->next_waiter++, granted});
  co_await granted->async_wait(kUseTuple);
}

// Passes the slot to the first waiter, or frees it if there is none.
void ReleaseSlot(engine_state& state) {
  if (state.waiters.empty()) {
    --state.busy_slots;
    return;
  }
  const slot_waiter next = *state.waiters.begin();
  state.waiters.erase(state.waiters.begin());
  next.granted->cancel();
}

// Looks up the prompt in the cache and waits for the prefill of the uncached
// tokens. The engine prefills one prompt at a time.
asio::awaitable<void> Prefill(const state_ptr& state,
                              const run_ptr& run,
                              const engine_request& request) {
  const auto chain =
      BlockHashes(request.prompt + request.delivered, request.salt);
  const std::size_t cached = CachedBlocks(state->cache, chain);
  run->prompt_tokens = (request.prompt.size() + request.delivered.size() +
                        waxwing::kBytesPerToken - 1) /
                       waxwing::kBytesPerToken;
  run->cached_tokens = cached * kTokensPerBlock;
  state->counts.prompt_tokens += run->prompt_tokens;
  state->counts.cached_tokens += run->cached_tokens;
  const double uncached_tokens =
      static_cast<double>(run->prompt_tokens - run->cached_tokens);
  const auto prefill_time = Scaled(
      *state, waxwing::FromSeconds(uncached_tokens /
                                   state->options.prefill_tokens_per_second));
  state->prefill_free_at =
      std::max(state->prefill_free_at, Now()) + prefill_time;
  co_await Sleep(state, state->prefill_free_at - Now());
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
  UseBlocks(state->cache, chain, stored, evicted);
  RecordEvents(*state, stored, true);
  RecordEvents(*state, evicted, false);
}

asio::awaitable<void> Decode(const state_ptr& state, const run_ptr& run) {
  run->last_read = Now();
  while (run->produced < run->tokens && !run->cancelled) {
    co_await Sleep(state, Scaled(*state, state->options.token_interval));
    ++run->produced;
    ++state->counts.answer_tokens;
    run->changed.cancel();
    if (run->readers > 0)
      run->last_read = Now();
    else if (Now() - run->last_read > kUnreadRunTimeout)
      run->cancelled = true;
  }
}

asio::awaitable<void> Execute(state_ptr state,
                              run_ptr run,
                              engine_request request) {
  const std::uint64_t boot_id_at_start = state->boot_id;
  co_await AcquireSlot(state, run);
  if (state->boot_id != boot_id_at_start)
    co_return;
  if (!run->cancelled)
    co_await Prefill(state, run, request);
  if (state->boot_id == boot_id_at_start && !run->cancelled)
    co_await Decode(state, run);
  if (state->boot_id != boot_id_at_start)
    co_return;
  run->done = true;
  if (run->cancelled)
    ++state->counts.cancelled;
  run->changed.cancel();
  ReleaseSlot(*state);
  co_await Sleep(state, kRunRetention);
  const auto found = state->runs.find(run->request_id);
  if (found != state->runs.end() && found->second == run)
    state->runs.erase(found);
}

std::int64_t HeaderNumber(const waxwing::http_headers& headers,
                          std::string_view name,
                          std::int64_t fallback) {
  const std::string text(FindHeader(headers, name));
  if (text.empty())
    return fallback;
  return std::strtoll(text.c_str(), nullptr, 10);
}

tl::expected<engine_request, std::string> ParseRequest(
    const engine_state& state,
    const waxwing::http_request& message) {
  const auto body = waxwing::ParseObject(message.body);
  if (!body)
    return tl::unexpected(waxwing::ToText(body.error()));
  const auto model = waxwing::ReadString(*body, "model");
  if (!model || *model != state.options.model)
    return tl::unexpected(std::string("model: is not loaded"));
  const json::array* messages = waxwing::FindArray(*body, "messages");
  if (!messages)
    return tl::unexpected(std::string("messages: must be an array"));
  std::vector<waxwing::chat_message> parsed;
  for (const json::value& entry : *messages) {
    if (!entry.is_object())
      return tl::unexpected(std::string("messages: must hold objects"));
    const auto role = waxwing::ReadString(entry.as_object(), "role");
    const auto content = waxwing::ReadString(entry.as_object(), "content");
    if (!role || !content)
      return tl::unexpected(std::string("messages: need role and content"));
    parsed.push_back({*role, *content});
  }
  engine_request out;
  out.prompt = waxwing::PromptText(parsed);
  const auto tokens =
      waxwing::ReadIntegerOr(*body, "max_tokens", 1, 100'000, 16);
  if (!tokens)
    return tl::unexpected(waxwing::ToText(tokens.error()));
  out.tokens = static_cast<std::uint64_t>(*tokens);
  out.delivered = waxwing::ReadStringOr(*body, "delivered", "").value_or("");
  out.id = std::string(FindHeader(message.headers, "X-Request-Id"));
  out.attempt = std::string(FindHeader(message.headers, "X-Attempt"));
  out.resume_from = static_cast<std::uint64_t>(
      HeaderNumber(message.headers, "X-Resume-From", 0));
  out.priority =
      static_cast<int>(HeaderNumber(message.headers, "X-Priority", 4));
  out.resume_only = !FindHeader(message.headers, "X-Resume-Only").empty();
  out.salt = waxwing::Hash64(FindHeader(message.headers, "X-Cache-Salt"),
                             waxwing::Hash64(state.version));
  const std::uint64_t seed = CompletionSeed(out.prompt, *model);
  if (!out.delivered.empty() &&
      out.delivered != CompletionText(seed, out.resume_from))
    return tl::unexpected(std::string("delivered: is not this answer's start"));
  return out;
}

run_ptr StartRun(const state_ptr& state, const engine_request& request) {
  auto run = std::make_shared<engine_run>(state->executor);
  run->request_id = request.id;
  run->completion_seed = CompletionSeed(request.prompt, state->options.model);
  run->first_token = request.resume_from;
  run->produced = request.resume_from;
  run->tokens = request.tokens;
  run->priority = request.priority;
  run->last_read = Now();
  ++state->counts.runs;
  ++state->run_counts[request.id];
  state->runs[request.id] = run;
  asio::co_spawn(state->executor, Execute(state, run, request), asio::detached);
  return run;
}

std::string TokenEvent(const engine_run& run,
                       const engine_options& options,
                       std::uint64_t index) {
  return "id: " + std::to_string(index) + "\ndata: {\"id\":\"chatcmpl-" +
         run.request_id +
         "\",\"object\":\"chat.completion.chunk\",\"model\":\"" +
         options.model +
         "\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" +
         CompletionToken(run.completion_seed, index) + "\"}}]}\n\n";
}

// Returns the chunk with the finish reason and usage, then the end marker.
std::string LastEvents(const engine_run& run, const engine_options& options) {
  const std::uint64_t completion_tokens = run.tokens - run.first_token;
  return "id: " + std::to_string(run.tokens) + "\ndata: {\"id\":\"chatcmpl-" +
         run.request_id +
         "\",\"object\":\"chat.completion.chunk\",\"model\":\"" +
         options.model +
         "\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":"
         "\"stop\"}],\"usage\":{\"prompt_tokens\":" +
         std::to_string(run.prompt_tokens) +
         ",\"completion_tokens\":" + std::to_string(completion_tokens) +
         ",\"prompt_tokens_details\":{\"cached_tokens\":" +
         std::to_string(run.cached_tokens) + "}}}\n\ndata: [DONE]\n\n";
}

http_response StreamHead(const engine_state& state,
                         const engine_request& request) {
  return {200,
          {{"Content-Type", "text/event-stream"},
           {"X-Request-Id", request.id},
           {"X-Attempt", request.attempt},
           {"X-Boot-Id", std::to_string(state.boot_id)},
           {"X-Weights-Version", state.version}},
          ""};
}

void AppendTranscript(engine_state& state,
                      const waxwing::http_request& request,
                      const http_response& head) {
  if (!state.options.keep_transcript)
    return;
  state.transcript += ">>> " + request.method + " " + request.target + "\n";
  for (const waxwing::http_header& header : request.headers)
    state.transcript += header.name + ": " + header.value + "\n";
  state.transcript +=
      "\n" + request.body + "\n<<< " + std::to_string(head.status) + "\n";
  for (const waxwing::http_header& header : head.headers)
    state.transcript += header.name + ": " + header.value + "\n";
  state.transcript += "\n";
}

// Returns true if the connection was accepted before the last time that
// connections were stalled.
bool IsStalled(const engine_state& state, const http_exchange& exchange) {
  return exchange.accepted_at < state.stalled_before;
}

// Keeps an unresponsive connection open, long enough for the peer to time out.
asio::awaitable<void> HoldStalled(const state_ptr& state,
                                  http_exchange& exchange) {
  constexpr int kDrips = 300;
  constexpr milliseconds kDripPeriod{100};
  for (int i = 0; i < kDrips; ++i) {
    if (state->faults.stalled_streams_drip &&
        !co_await waxwing::WriteStream(exchange, ":"))
      break;
    co_await Sleep(state, kDripPeriod);
  }
  waxwing::AbortExchange(exchange);
}

// Streams the tokens of the run from `next` on.
asio::awaitable<void> StreamRun(const state_ptr& state,
                                const run_ptr& run,
                                http_exchange& exchange,
                                std::uint64_t next) {
  const std::uint64_t boot_id_at_start = state->boot_id;
  const bool cut = Chance(*state, state->faults.cut);
  const std::uint64_t cut_at =
      next + static_cast<std::uint64_t>(state->faults.cut_after);
  ++run->readers;
  bool open = true;
  while (open && state->boot_id == boot_id_at_start) {
    std::string piece;
    while (next < run->produced && !(cut && next >= cut_at))
      piece += TokenEvent(*run, state->options, next++);
    const bool last = run->done && !run->cancelled && next >= run->tokens;
    if (last)
      piece += LastEvents(*run, state->options);
    if (IsStalled(*state, exchange)) {
      co_await HoldStalled(state, exchange);
      break;
    }
    open = co_await waxwing::WriteStream(exchange, piece);
    if (cut && next >= cut_at) {
      waxwing::AbortExchange(exchange);
      break;
    }
    if (last) {
      co_await waxwing::EndStream(exchange);
      break;
    }
    if (run->cancelled) {
      waxwing::AbortExchange(exchange);
      break;
    }
    if (next >= run->produced && !run->done)
      co_await run->changed.async_wait(kUseTuple);
  }
  if (state->boot_id != boot_id_at_start)
    waxwing::AbortExchange(exchange);
  --run->readers;
  run->last_read = Now();
}

// Sends the complete response to another request instead of the response to
// this one.
asio::awaitable<void> SendSwappedResponse(const state_ptr& state,
                                          http_exchange& exchange,
                                          http_response head) {
  for (waxwing::http_header& header : head.headers) {
    if (header.name == "X-Request-Id")
      header.value = "another-request";
  }
  engine_run other(state->executor);
  other.request_id = "another-request";
  other.tokens = 1;
  const bool began = co_await waxwing::BeginStream(exchange, head);
  if (!began)
    co_return;
  const std::string piece =
      TokenEvent(other, state->options, 0) + LastEvents(other, state->options);
  co_await waxwing::WriteStream(exchange, piece);
  co_await waxwing::EndStream(exchange);
}

asio::awaitable<void> HandleChat(const state_ptr& state,
                                 http_exchange& exchange) {
  ++state->counts.requests;
  auto request = ParseRequest(*state, exchange.request);
  const auto expected =
      FindHeader(exchange.request.headers, "X-Expect-Version");
  http_response refusal;
  if (!request) {
    refusal = JsonResponse(
        400, json::serialize(json::object{{"error", request.error()}}));
  } else if (!expected.empty() && expected != state->version) {
    refusal = JsonResponse(409, R"({"error":"other weights version"})");
  } else if (Chance(*state, state->faults.refuse) || state->role != "serve") {
    refusal = JsonResponse(503, R"({"error":"refused"})");
  }
  if (refusal.status != 200) {
    co_await waxwing::Respond(exchange, refusal);
    co_return;
  }
  const auto found = state->runs.find(request->id);
  run_ptr run;
  if (found != state->runs.end() && !found->second->cancelled &&
      found->second->first_token <= request->resume_from)
    run = found->second;
  if (!run && request->resume_only) {
    refusal = JsonResponse(404, R"({"error":"no such run"})");
    co_await waxwing::Respond(exchange, refusal);
    co_return;
  }
  if (!run)
    run = StartRun(state, *request);
  http_response head = StreamHead(*state, *request);
  AppendTranscript(*state, exchange.request, head);
  if (Chance(*state, state->faults.swap_response)) {
    co_await SendSwappedResponse(state, exchange, head);
    co_return;
  }
  if (!co_await waxwing::BeginStream(exchange, head))
    co_return;
  co_await StreamRun(state, run, exchange, request->resume_from);
}

http_response HandleCancel(engine_state& state, std::string_view id) {
  const auto found = state.runs.find(std::string(id));
  if (found == state.runs.end())
    return JsonResponse(404, R"({"error":"no such run"})");
  found->second->cancelled = true;
  found->second->changed.cancel();
  return JsonResponse(200, "{}");
}

// Records the current load. Drops old samples so that the first one is the
// newest that is at least `report_lag` old.
void Sample(engine_state& state) {
  const instant now = Now();
  state.samples.push_back(
      {now, state.busy_slots, static_cast<int>(state.waiters.size())});
  while (state.samples.size() > 1 &&
         state.samples[1].at <= now - state.options.report_lag)
    state.samples.pop_front();
}

http_response HandleReport(engine_state& state, std::string_view target) {
  Sample(state);
  const load_sample& sample = state.samples.front();
  const std::string since_text(waxwing::QueryValue(target, "since"));
  const std::string limit_text(waxwing::QueryValue(target, "limit"));
  const std::uint64_t since = std::strtoull(since_text.c_str(), nullptr, 10);
  const std::size_t limit = std::strtoull(limit_text.c_str(), nullptr, 10);
  json::array events;
  for (const cache_event& event : state.events) {
    if (events.size() >= limit)
      break;
    if (event.sequence >= since)
      events.push_back(json::object{{"sequence", event.sequence},
                                    {"stored", event.stored},
                                    {"hash", waxwing::ToHex(event.hash)}});
  }
  json::array adapters;
  for (const std::string& adapter : state.adapters)
    adapters.push_back(json::value(adapter));
  json::object out{
      {"boot_id", std::to_string(state.boot_id)},
      {"version", state.version},
      {"role", state.role},
      {"adapters", std::move(adapters)},
      {"slots", state.options.slots},
      {"in_flight", sample.in_flight},
      {"waiting", sample.waiting},
      {"prefill_tokens_per_second", state.options.prefill_tokens_per_second},
      {"cached_blocks", state.cache.blocks.size()},
      {"next_event", state.next_event},
      {"events", std::move(events)}};
  return JsonResponse(200, json::serialize(out));
}

// Carries out an order. An order describes the desired end state, so repeating
// one is safe.
asio::awaitable<http_response> HandleOrder(const state_ptr& state,
                                           const std::string& body) {
  const auto order = waxwing::ParseObject(body);
  if (!order)
    co_return JsonResponse(400, R"({"error":"malformed order"})");
  const auto fence =
      waxwing::ReadIntegerOr(*order, "fence", 0, std::int64_t{1} << 53, 0);
  const auto number = static_cast<std::uint64_t>(fence.value_or(0));
  if (number < state->highest_fence) {
    if (state->options.honours_fencing) {
      ++state->refused_orders;
      co_return JsonResponse(409, R"({"error":"old fencing number"})");
    }
    ++state->stale_orders_accepted;
  }
  state->highest_fence = std::max(state->highest_fence, number);
  const std::string version =
      waxwing::ReadStringOr(*order, "version", "").value_or("");
  const std::string role =
      waxwing::ReadStringOr(*order, "role", "").value_or("");
  const std::string adapter =
      waxwing::ReadStringOr(*order, "adapter", "").value_or("");
  if (!version.empty() && version != state->version) {
    co_await Sleep(state, state->options.weights_load_time);
    state->version = version;
    state->cache = block_cache{state->options.cache_blocks, {}, {}};
  }
  if (!role.empty())
    state->role = role;
  if (!adapter.empty())
    state->adapters.insert(adapter);
  co_return JsonResponse(200, "{}");
}

http_response HandleStats(const engine_state& state) {
  json::array repeated;
  for (const auto& [id, count] : state.run_counts) {
    if (count > 1)
      repeated.push_back(json::object{{"request", id}, {"runs", count}});
  }
  const engine_counts& counts = state.counts;
  return JsonResponse(
      200, json::serialize(json::object{
               {"requests", counts.requests},
               {"runs", counts.runs},
               {"prompt_tokens", counts.prompt_tokens},
               {"cached_tokens", counts.cached_tokens},
               {"answer_tokens", counts.answer_tokens},
               {"cancelled", counts.cancelled},
               {"crashes", counts.crashes},
               {"refused_orders", state.refused_orders},
               {"stale_orders_accepted", state.stale_orders_accepted},
               {"repeated", std::move(repeated)}}));
}

void ResetState(engine_state& state) {
  for (const auto& [id, run] : state.runs) {
    run->cancelled = true;
    run->changed.cancel();
  }
  for (const slot_waiter& waiter : state.waiters)
    waiter.granted->cancel();
  state.runs.clear();
  state.waiters.clear();
  state.busy_slots = 0;
  state.prefill_free_at = Now();
  state.cache = block_cache{state.options.cache_blocks, {}, {}};
  state.events.clear();
  state.samples.clear();
  state.boot_id = waxwing::RandomId() >> 1;
}

void CrashAndRestart(const state_ptr& state);

http_response HandleFaults(const state_ptr& state, const std::string& body) {
  const auto update = waxwing::ParseObject(body);
  if (!update)
    return JsonResponse(400, R"({"error":"malformed faults"})");
  engine_faults& faults = state->faults;
  faults.refuse =
      waxwing::ReadNumberOr(*update, "refuse", 0, 1, faults.refuse).value_or(0);
  faults.cut =
      waxwing::ReadNumberOr(*update, "cut", 0, 1, faults.cut).value_or(0);
  faults.slow =
      waxwing::ReadNumberOr(*update, "slow", 0.1, 100, faults.slow).value_or(1);
  if (waxwing::ReadBoolOr(*update, "silence", false).value_or(false))
    state->stalled_before = Now();
  if (waxwing::ReadBoolOr(*update, "crash", false).value_or(false))
    CrashAndRestart(state);
  return JsonResponse(200, "{}");
}

asio::awaitable<void> Handle(state_ptr state, http_exchange& exchange) {
  if (IsStalled(*state, exchange)) {
    co_await HoldStalled(state, exchange);
    co_return;
  }
  const std::string_view path = waxwing::PathOf(exchange.request.target);
  const bool is_post = exchange.request.method == "POST";
  http_response response = JsonResponse(404, R"({"error":"no such path"})");
  if (is_post && path == "/v1/chat/completions") {
    co_await HandleChat(state, exchange);
    co_return;
  }
  if (is_post && path == "/v1/cancel") {
    response = HandleCancel(*state,
                            waxwing::QueryValue(exchange.request.target, "id"));
  } else if (is_post && path == "/v1/orders") {
    response = co_await HandleOrder(state, exchange.request.body);
  } else if (path == "/v1/report") {
    response = HandleReport(*state, exchange.request.target);
  } else if (path == "/standin/stats") {
    response = HandleStats(*state);
  } else if (is_post && path == "/standin/faults") {
    response = HandleFaults(state, exchange.request.body);
  }
  co_await waxwing::Respond(exchange, response);
}

tl::expected<void, std::string> Listen(const state_ptr& state) {
  std::weak_ptr<engine_state> weak = state;
  waxwing::http_limits limits;
  auto server = waxwing::StartHttpServer(
      state->executor, state->options.address, limits,
      [weak](http_exchange& exchange) -> asio::awaitable<void> {
        if (auto locked = weak.lock())
          co_await Handle(locked, exchange);
      });
  if (!server)
    return tl::unexpected(server.error());
  state->server = *server;
  // Keep the port, so that a restart after a crash listens on the same one.
  state->options.address = server->address;
  return {};
}

asio::awaitable<void> ColdStart(state_ptr state) {
  co_await Sleep(state, state->options.cold_start);
  if (!state->stopped)
    static_cast<void>(Listen(state));
}

void CrashAndRestart(const state_ptr& state) {
  ++state->counts.crashes;
  waxwing::CloseServer(state->server);
  ResetState(*state);
  asio::co_spawn(state->executor, ColdStart(state), asio::detached);
}

asio::awaitable<void> SampleLoop(state_ptr state) {
  while (!state->stopped) {
    Sample(*state);
    co_await Sleep(state, milliseconds(50));
  }
}

}  // namespace

tl::expected<engine, std::string> StartEngine(asio::any_io_executor executor,
                                              const engine_options& options) {
  auto state = std::make_shared<engine_state>();
  state->executor = executor;
  state->options = options;
  state->version = options.version;
  state->random.seed(options.seed);
  ResetState(*state);
  if (const auto listening = Listen(state); !listening)
    return tl::unexpected(listening.error());
  asio::co_spawn(executor, SampleLoop(state), asio::detached);
  return engine{state, state->options.address};
}

void StopEngine(engine& instance) {
  instance.state->stopped = true;
  waxwing::CloseServer(instance.state->server);
  ResetState(*instance.state);
}

engine_faults& MutableFaults(engine& instance) {
  return instance.state->faults;
}

const engine_counts& GetCounts(const engine& instance) {
  return instance.state->counts;
}

const std::string& GetTranscript(const engine& instance) {
  return instance.state->transcript;
}

void CrashEngine(engine& instance) {
  CrashAndRestart(instance.state);
}

void StallConnections(engine& instance) {
  instance.state->stalled_before = Now();
}

std::uint64_t GetRunCount(const engine& instance,
                          const std::string& request_id) {
  const auto found = instance.state->run_counts.find(request_id);
  return found == instance.state->run_counts.end() ? 0 : found->second;
}

}  // namespace standin
