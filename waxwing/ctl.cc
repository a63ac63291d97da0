#include "waxwing/ctl.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iomanip>

#include "waxwing/http_client.h"
#include "waxwing/json.h"
#include "waxwing/settings.h"

namespace waxwing {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto kUseTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kCallTimeout{10'000};
constexpr milliseconds kWaitPoll{50};
constexpr milliseconds kWatchPeriod{1'000};

struct ctl_session {
  asio::any_io_executor executor;
  ctl_command command;
  std::ostream& out;
  http_pool pool;
};

// Sends a request to the agent. Returns std::nullopt after a failure or a
// refusal, which has then been printed.
asio::awaitable<std::optional<json::object>> Call(ctl_session& session,
                                                  std::string method,
                                                  std::string target,
                                                  std::string body) {
  http_request request{
      std::move(method), std::move(target), {}, std::move(body)};
  request.headers.push_back({"Authorization", "Bearer " + session.command.key});
  request.headers.push_back({"X-Operator", session.command.operator_name});
  // The connection pool must not retry a request that changes state.
  const http_call_options options{kCallTimeout, request.method == "GET"};
  auto response =
      co_await Fetch(session.pool, session.command.agent, request, options);
  if (!response) {
    session.out << "error: no response from the agent at "
                << ToText(session.command.agent) << ": "
                << NameOf(response.error().failure) << "\n";
    co_return std::nullopt;
  }
  if (session.command.as_json)
    session.out << response->body << "\n";
  auto parsed = ParseObject(response->body);
  if (!parsed) {
    session.out << "error: the agent's response is not JSON\n";
    co_return std::nullopt;
  }
  if (response->status == 200)
    co_return std::move(*parsed);
  if (!session.command.as_json) {
    const json::value* error = parsed->if_contains("error");
    const json::object empty;
    const json::object& object =
        error && error->is_object() ? error->as_object() : empty;
    session.out << "refused: "
                << ReadStringOr(object, "type", "?").value_or("?") << ": "
                << ReadStringOr(object, "message", "").value_or("") << "\n";
    if (const json::array* changes = FindArray(*parsed, "changes")) {
      for (const json::value& change : *changes) {
        const json::object& entry = change.as_object();
        session.out
            << "  since then, generation "
            << ReadIntegerOr(entry, "generation", 0, 1LL << 53, 0).value_or(0)
            << " by " << ReadStringOr(entry, "operator", "?").value_or("?")
            << ": " << ReadStringOr(entry, "summary", "").value_or("") << "\n";
      }
    }
  }
  co_return std::nullopt;
}

std::string Text(const json::object& object, std::string_view field) {
  return ReadStringOr(object, field, "").value_or("");
}

std::int64_t Number(const json::object& object, std::string_view field) {
  return ReadIntegerOr(object, field, 0, std::int64_t{1} << 53, 0).value_or(0);
}

bool Flag(const json::object& object, std::string_view field) {
  return ReadBoolOr(object, field, false).value_or(false);
}

void PrintStatus(std::ostream& out, const json::object& status) {
  out << "generation " << Number(status, "generation") << ", "
      << Number(status, "models") << " models, " << Number(status, "accounts")
      << " client accounts\n\n";
  out << std::left << std::setw(16) << "VM" << std::setw(12) << "ZONE"
      << std::setw(12) << "STATUS"
      << "ROUTER\n";
  if (const json::array* members = FindArray(status, "members")) {
    for (const json::value& entry : *members) {
      const json::object& vm = entry.as_object();
      out << std::setw(16) << Text(vm, "vm") << std::setw(12)
          << Text(vm, "zone") << std::setw(12) << Text(vm, "status")
          << Text(vm, "router") << "\n";
    }
  }
  out << "\n"
      << std::setw(16) << "TARGET" << std::setw(12) << "ZONE" << std::setw(12)
      << "SERVES" << std::setw(16) << "RUNS/WANTED" << std::setw(10) << "BUSY"
      << "STATE\n";
  if (const json::array* targets = FindArray(status, "targets")) {
    for (const json::value& entry : *targets) {
      const json::object& target = entry.as_object();
      std::string state = "no report";
      if (target.contains("reachable"))
        state = Flag(target, "reachable") ? "reachable" : "unreachable";
      if (Flag(target, "leaving"))
        state = "leaving";
      out << std::setw(16) << Text(target, "target") << std::setw(12)
          << Text(target, "zone") << std::setw(12) << Text(target, "serves")
          << std::setw(16)
          << Text(target, "runs_version") + "/" + Text(target, "version")
          << std::setw(10)
          << std::to_string(Number(target, "in_flight")) + "/" +
                 std::to_string(Number(target, "slots"))
          << state << "\n";
    }
  }
}

void PrintPlan(std::ostream& out, const json::object& plan) {
  out << "plan " << Text(plan, "plan") << ", made for generation "
      << Number(plan, "parent_generation") << ", would change:\n";
  if (const json::array* lines = FindArray(plan, "lines")) {
    for (const json::value& line : *lines)
      out << "  - " << std::string_view(line.as_string()) << "\n";
  }
  out << "to put it in force: waxwingctl confirm " << Text(plan, "plan")
      << "\n";
}

void PrintAudit(std::ostream& out, const json::object& object) {
  const json::array* audit = FindArray(object, "audit");
  if (!audit)
    return;
  for (const json::value& value : *audit) {
    const json::object& entry = value.as_object();
    out << "generation " << Number(entry, "generation") << " at "
        << Number(entry, "at") << " by " << Text(entry, "operator")
        << " from plan " << Text(entry, "plan") << ": "
        << Text(entry, "summary") << "\n";
  }
}

// Waits until all VMs have the generation in force, or until the command's wait
// time has passed, and prints the result.
asio::awaitable<int> WaitInForce(ctl_session& session,
                                 const std::string& generation) {
  const instant deadline =
      std::chrono::steady_clock::now() + session.command.wait;
  while (true) {
    auto response = co_await Call(session, "GET",
                                  "/v1/in-force?generation=" + generation, "");
    if (!response)
      co_return kExitFailure;
    const std::int64_t in_force = Number(*response, "in_force");
    const std::int64_t total = Number(*response, "of");
    const bool done = in_force == total;
    if (done || std::chrono::steady_clock::now() >= deadline) {
      if (!session.command.as_json) {
        session.out << "generation " << Number(*response, "generation")
                    << " in force on " << in_force << " of " << total << " VMs";
        const json::array* missing = FindArray(*response, "missing");
        if (missing && !missing->empty()) {
          session.out << ", missing:";
          for (const json::value& vm : *missing)
            session.out << " " << std::string_view(vm.as_string());
        }
        session.out << "\n";
      }
      co_return done ? kExitSuccess : kExitFailure;
    }
    asio::steady_timer pause(session.executor, kWaitPoll);
    co_await pause.async_wait(kUseTuple);
  }
}

asio::awaitable<int> Confirm(ctl_session& session) {
  auto response =
      co_await Call(session, "POST",
                    "/v1/plans/" + session.command.argument + "/confirm", "");
  if (!response)
    co_return kExitFailure;
  const std::string generation =
      std::to_string(Number(*response, "generation"));
  if (!session.command.as_json)
    session.out << "plan " << session.command.argument
                << " accepted as generation " << generation << "\n";
  co_return co_await WaitInForce(session, generation);
}

asio::awaitable<int> Status(ctl_session& session) {
  auto response = co_await Call(session, "GET", "/v1/status", "");
  if (!response)
    co_return kExitFailure;
  if (!session.command.as_json)
    PrintStatus(session.out, *response);
  co_return kExitSuccess;
}

asio::awaitable<int> Intent(ctl_session& session) {
  auto response =
      co_await Call(session, "POST", "/v1/intents", session.command.argument);
  if (!response)
    co_return kExitFailure;
  if (!session.command.as_json)
    PrintPlan(session.out, *response);
  co_return kExitSuccess;
}

asio::awaitable<int> Audit(ctl_session& session) {
  auto response = co_await Call(session, "GET", "/v1/audit", "");
  if (!response)
    co_return kExitFailure;
  if (!session.command.as_json)
    PrintAudit(session.out, *response);
  co_return kExitSuccess;
}

asio::awaitable<int> Watch(ctl_session& session) {
  while (true) {
    if (!session.command.as_json)
      session.out << "\x1b[2J\x1b[H";
    co_await Status(session);
    session.out.flush();
    asio::steady_timer pause(session.executor, kWatchPeriod);
    co_await pause.async_wait(kUseTuple);
  }
}

}  // namespace

asio::awaitable<int> RunCtl(asio::any_io_executor executor,
                            ctl_command command,
                            std::ostream& out) {
  ctl_session session{executor, std::move(command), out,
                      MakeHttpPool(executor, {})};
  const std::string verb = session.command.verb;
  if (verb == "status")
    co_return co_await Status(session);
  if (verb == "intent" && !session.command.argument.empty())
    co_return co_await Intent(session);
  if (verb == "confirm" && !session.command.argument.empty())
    co_return co_await Confirm(session);
  if (verb == "wait")
    co_return co_await WaitInForce(session, session.command.argument);
  if (verb == "audit")
    co_return co_await Audit(session);
  if (verb == "watch")
    co_return co_await Watch(session);
  co_return kExitBadSettings;
}

}  // namespace waxwing
