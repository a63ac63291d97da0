#include "testing/platform_standin.h"

#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <cstdio>

namespace testing_support {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

using waxwing::http_exchange;
using waxwing::http_request;
using waxwing::JsonResponse;
using waxwing::PathOf;
using waxwing::QueryValue;

namespace {

constexpr std::string_view kObjectsPath = "/api/objects/";
// A waiting watch looks for changes this often.
constexpr auto kPollInterval = std::chrono::milliseconds(5);
// The longest head that a target reads.
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;

std::string ToJson(const std::string& name,
                   const object_store_standin::object& object) {
  const json::object metadata{{"name", name}, {"revision", object.revision}};
  return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" +
         object.spec + R"(,"status":)" + object.status + "}";
}

// Replaces the escaped characters of a query's value.
std::string Unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      out += static_cast<char>(
          std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string ListPage(const object_store_standin& store,
                     const std::string& kind,
                     const std::string& after) {
  std::string items;
  std::size_t count = 0;
  bool has_more = false;
  const auto found = store.objects_by_kind.find(kind);
  if (found != store.objects_by_kind.end()) {
    const auto& objects = found->second;
    auto object = objects.upper_bound(after);
    for (; object != objects.end() && count < store.page_size; ++object)
      items += (count++ > 0 ? "," : "") + ToJson(object->first, object->second);
    has_more = object != objects.end();
  }
  return R"({"items":[)" + items + R"(],"more_pages":)" +
         (has_more ? "true" : "false") + R"(,"current_rev":)" +
         std::to_string(store.revision) + "}";
}

// Returns the events as the elements of an array.
std::string EventsSince(const object_store_standin& store,
                        const std::string& kind,
                        std::uint64_t revision) {
  std::string out;
  for (const auto& change : store.changes) {
    if (change.revision <= revision || change.kind != kind)
      continue;
    object_store_standin::object current{change.revision, "null"};
    const auto found = store.objects_by_kind.find(kind);
    if (found != store.objects_by_kind.end() &&
        found->second.contains(change.name))
      current = found->second.at(change.name);
    out += std::string(out.empty() ? "" : ",") + R"({"object":)" +
           ToJson(change.name, current) + R"(,"removed":)" +
           (change.is_removed ? "true" : "false") + "}";
  }
  return out;
}

asio::awaitable<void> Reply(object_store_standin& store,
                            http_exchange& exchange,
                            waxwing::http_response response) {
  if (store.era > 0)
    response.headers.push_back({"Store-Era", std::to_string(store.era)});
  co_await waxwing::Respond(exchange, std::move(response));
}

asio::awaitable<void> Watch(object_store_standin& store,
                            const bool& is_refused,
                            http_exchange& exchange,
                            const std::string& kind) {
  const std::string watch_text(QueryValue(exchange.request.target, "watch"));
  const std::uint64_t revision = std::stoull(watch_text);
  const std::string wait_text(QueryValue(exchange.request.target, "wait_ms"));
  const auto wait_end = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(std::stoi(wait_text));
  const std::uint64_t call = store.calls;
  asio::steady_timer timer(*store.context);
  while (true) {
    if (call <= store.muted_calls) {
      timer.expires_after(kPollInterval);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      continue;
    }
    if (store.is_down || is_refused || revision < store.oldest_revision ||
        revision > store.revision)
      break;
    const std::string events = EventsSince(store, kind, revision);
    if (!events.empty() || std::chrono::steady_clock::now() >= wait_end) {
      auto response =
          JsonResponse(200, R"({"events":[)" + events + R"(],"current_rev":)" +
                                std::to_string(store.revision) + "}");
      co_await Reply(store, exchange, response);
      co_return;
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  auto response = JsonResponse(store.is_down || is_refused ? 503 : 410, "{}");
  co_await Reply(store, exchange, response);
}

waxwing::http_response Write(object_store_standin& store,
                             const http_request& request,
                             const std::string& kind) {
  const json::object body = json::parse(request.body).as_object();
  const json::object& metadata = body.at("metadata").as_object();
  const std::string name(metadata.at("name").as_string());
  const auto found = store.objects_by_kind[kind].find(name);
  const bool exists = found != store.objects_by_kind[kind].end();
  if (request.method == "POST" && exists)
    return JsonResponse(409, ToJson(name, found->second));
  if (request.method == "PUT" && !exists)
    return JsonResponse(404, "{}");
  if (metadata.contains("revision") &&
      metadata.at("revision").to_number<std::uint64_t>() !=
          found->second.revision)
    return JsonResponse(409, ToJson(name, found->second));
  const std::string spec = json::serialize(body.at("spec"));
  // A write that changes nothing leaves the revision as it is.
  if (!exists || found->second.spec != spec)
    PutObject(store, kind, name, spec);
  return JsonResponse(200, ToJson(name, store.objects_by_kind[kind][name]));
}

// Responds to a call; with status 503 while `is_refused`.
asio::awaitable<void> Serve(object_store_standin& store,
                            const bool& is_refused,
                            http_exchange& exchange) {
  ++store.calls;
  std::string path(PathOf(exchange.request.target).substr(kObjectsPath.size()));
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const bool is_get = exchange.request.method == "GET";
  waxwing::http_response response = JsonResponse(503, "{}");
  if (is_get && !QueryValue(exchange.request.target, "watch").empty()) {
    co_await Watch(store, is_refused, exchange, kind);
    co_return;
  }
  const bool is_served = !store.is_down && !is_refused;
  if (is_served && is_get && slash == std::string::npos) {
    response = JsonResponse(
        200, ListPage(store, kind,
                      Unescape(QueryValue(exchange.request.target, "after"))));
  } else if (is_served && is_get) {
    const std::string name = Unescape(path.substr(slash + 1));
    const bool exists = store.objects_by_kind[kind].contains(name);
    response =
        exists
            ? JsonResponse(200, ToJson(name, store.objects_by_kind[kind][name]))
            : JsonResponse(404, "{}");
  } else if (is_served) {
    response = Write(store, exchange.request, kind);
  }
  co_await Reply(store, exchange, response);
}

// Waits for the delay of a response. Returns false if the client has closed the
// connection by then.
asio::awaitable<bool> WaitToStart(asio::ip::tcp::socket& socket,
                                  std::chrono::milliseconds delay) {
  asio::steady_timer timer(socket.get_executor(), delay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  char byte = 0;
  const auto received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  co_return received < 0 && errno == EAGAIN;
}

asio::awaitable<void> ServeConnection(
    std::shared_ptr<scripted_target> target,
    std::shared_ptr<asio::ip::tcp::socket> connection) {
  asio::ip::tcp::socket& socket = *connection;
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.header_limit(kMaxHeadBytes);
    auto [error, bytes] = co_await http::async_read(
        socket, buffer, parser, asio::as_tuple(asio::use_awaitable));
    if (error)
      co_return;
    const auto& message = parser.get();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    for (const auto& field : message)
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    if (!request.target.starts_with("/api/"))
      target->requests.push_back(request);
    const scripted_response response = target->script(request);
    if (response.delay.count() > 0 &&
        !co_await WaitToStart(socket, response.delay))
      co_return;
    if (response.on_start)
      response.on_start();
    for (const std::string& piece : response.pieces) {
      auto [write_error, written] = co_await asio::async_write(
          socket, asio::buffer(piece), asio::as_tuple(asio::use_awaitable));
      if (write_error)
        co_return;
    }
    if (response.resets_connection) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
      co_return;
    }
    if (response.closes_connection)
      co_return;
  }
}

asio::awaitable<void> AcceptConnections(
    std::shared_ptr<scripted_target> target) {
  while (target->acceptor.is_open()) {
    auto [error, socket] = co_await target->acceptor.async_accept(
        asio::as_tuple(asio::use_awaitable));
    if (error)
      co_return;
    auto connection =
        std::make_shared<asio::ip::tcp::socket>(std::move(socket));
    target->connections.push_back(connection);
    asio::co_spawn(target->acceptor.get_executor(),
                   ServeConnection(target, connection), asio::detached);
  }
}

std::string Chunk(std::string_view data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + std::string(data) + "\r\n";
}

}  // namespace

std::unique_ptr<object_store_standin> StartObjectStore(
    asio::io_context& context) {
  auto store = std::make_unique<object_store_standin>();
  store->context = &context;
  object_store_standin* raw = store.get();
  store->server =
      *waxwing::StartHttpServer(context.get_executor(), {"127.0.0.1", 0}, {},
                                [raw](http_exchange& exchange) {
                                  return Serve(*raw, raw->is_down, exchange);
                                });
  return store;
}

std::unique_ptr<store_access> OpenStoreAccess(object_store_standin& store) {
  auto access = std::make_unique<store_access>();
  access->server = *waxwing::StartHttpServer(
      store.context->get_executor(), {"127.0.0.1", 0}, {},
      [&store, raw = access.get()](http_exchange& exchange) {
        return Serve(store, raw->is_refused, exchange);
      });
  return access;
}

store_copy CopyStore(const object_store_standin& store) {
  return {store.revision, store.objects_by_kind, store.changes};
}

void RestoreStore(object_store_standin& store, const store_copy& copy) {
  store.revision = copy.revision;
  store.objects_by_kind = copy.objects_by_kind;
  store.changes = copy.changes;
  ++store.era;
}

void PutObject(object_store_standin& store,
               const std::string& kind,
               const std::string& name,
               const std::string& spec) {
  auto& object = store.objects_by_kind[kind][name];
  object.revision = ++store.revision;
  object.spec = spec;
  store.changes.push_back({store.revision, kind, name, false});
}

void RemoveObject(object_store_standin& store,
                  const std::string& kind,
                  const std::string& name) {
  store.objects_by_kind[kind].erase(name);
  store.changes.push_back({++store.revision, kind, name, true});
}

scripted_target::scripted_target(asio::io_context& context)
    : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {}

waxwing::endpoint scripted_target::Address() const {
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

std::shared_ptr<scripted_target> StartTarget(
    asio::io_context& context,
    std::function<scripted_response(const http_request&)> script) {
  auto target = std::make_shared<scripted_target>(context);
  target->script = std::move(script);
  asio::co_spawn(context, AcceptConnections(target), asio::detached);
  return target;
}

void EndTarget(scripted_target& target) {
  boost::system::error_code ignored;
  target.acceptor.close(ignored);
  for (const auto& weak : target.connections) {
    if (const auto connection = weak.lock())
      connection->close(ignored);
  }
  target.connections.clear();
}

std::string PlainResponse(unsigned status,
                          std::string_view id,
                          std::string_view body,
                          std::string_view more_headers) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: " + std::string(id) +
         "\r\nServer-Stamp: stamp\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + std::string(more_headers) +
         "\r\n" + std::string(body);
}

std::string StreamHead(std::string_view id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(id) +
         "\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string StreamEvent(int id, std::string_view data) {
  return Chunk("id: " + std::to_string(id) + "\ndata: " + std::string(data) +
               "\n\n");
}

std::string StreamEnd() {
  return "0\r\n\r\n";
}

json::object EntryRoute(std::string_view name,
                        std::string_view prefix,
                        std::string_view kind,
                        std::string_view service,
                        int attempts,
                        bool can_resume) {
  return {{"name", name},
          {"host", "calls.example"},
          {"path_prefix", prefix},
          {"route_type", kind},
          {"service", service},
          {"max_attempts", attempts},
          {"timeout_ms", 1'500},
          {"slo_ms", 300},
          {"gap_target_ms", 250},
          {"priority", 1},
          {"anonymous", false},
          {"sticky", service == "llm"},
          {"can_resume", can_resume}};
}

std::string EntryConfig(int version, const json::array& extra_routes) {
  json::array routes{
      EntryRoute("chat", "/chat/", "streaming", "llm", 1, false),
      EntryRoute("note", "/note/", "streaming", "llm", 2, true),
      EntryRoute("start", "/start/", "non_idempotent", "panel", 1, false),
      EntryRoute("status", "/status/", "idempotent", "panel", 2, false)};
  for (const json::value& extra : extra_routes)
    routes.push_back(extra);
  const json::object engine{
      {"slots", 8},
      {"kv_capacity", 100'000},
      {"kv_bytes", 96'256},
      {"link_mbps", 260'000.0},
      {"models", json::array{json::object{{"name", "m"}}}}};
  return json::serialize(json::object{
      {"version", version},
      {"routes", std::move(routes)},
      {"services",
       json::array{json::object{{"name", "llm"}, {"engine", engine}},
                   json::object{{"name", "panel"}}}},
      {"tenants", json::array{json::object{
                      {"name", "shop"}, {"api_keys", json::array{"key-1"}}}}}});
}

std::string EntryTargetRecord(const waxwing::endpoint& address,
                              std::string_view service,
                              int weights,
                              std::string_view state,
                              std::string_view build) {
  json::object out{{"service", service}, {"address", waxwing::ToText(address)},
                   {"zone", "a"},        {"version", build},
                   {"slots", 8},         {"state", state},
                   {"cold_left_ms", 0},  {"sequence", 0}};
  if (weights > 0)
    out["models"] =
        json::array{json::object{{"name", "m"}, {"version", weights}}};
  return json::serialize(out);
}

}  // namespace testing_support
