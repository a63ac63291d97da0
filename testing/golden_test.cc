// Compares complete sessions with golden files: the messages between a caller,
// a router and an engine, and the output of an operator's commands from intent
// to audit. Identifiers and times that differ between runs are replaced by
// numbered placeholders.
//
// WAXWING_WRITE_GOLDEN=1 rewrites the files. Review the diff before committing.

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include "testing/cluster.h"
#include "waxwing/ctl.h"

namespace testing_support {
namespace {

using waxwing::http_request;
using waxwing::http_response;

// Replaces each distinct match by NAME-1, NAME-2, ... in order of first
// appearance.
void Normalize(std::string& text,
               const std::string& pattern,
               const std::string& name) {
  const std::regex expression(pattern);
  std::map<std::string, std::string> names;
  std::string out;
  auto at = text.cbegin();
  std::smatch match;
  while (std::regex_search(at, text.cend(), match, expression)) {
    out.append(at, match[0].first);
    const auto [entry, is_new] = names.emplace(match.str(), "");
    if (is_new)
      entry->second = name + "-" + std::to_string(names.size());
    out += entry->second;
    at = match[0].second;
  }
  out.append(at, text.cend());
  text = out;
}

void CompareWithGolden(std::string session, const std::string& file) {
  Normalize(session, "127\\.0\\.0\\.1:[0-9]+", "ADDRESS");
  Normalize(session, "w1\\.[0-9a-z.-]+", "TICKET");
  Normalize(session, "vm-[0-9]+-[0-9a-f]{16}-[0-9]+", "REQUEST");
  Normalize(session, "\\b[0-9a-f]{16}\\b", "ID");
  Normalize(session, "\\b1[0-9]{12}\\b", "TIME");
  Normalize(session, "X-Boot-Id: [0-9]+", "X-Boot-Id: BOOT");
  const std::string path = std::string(WAXWING_GOLDEN_DIR) + "/" + file;
  if (std::getenv("WAXWING_WRITE_GOLDEN")) {
    std::ofstream(path) << session;
    return;
  }
  std::ifstream stored(path);
  std::stringstream expected;
  expected << stored.rdbuf();
  EXPECT_EQ(session, expected.str()) << path;
}

std::string Show(const std::string& title, const http_request& request) {
  std::string out =
      ">>> " + title + "\n" + request.method + " " + request.target + "\n";
  for (const auto& header : request.headers)
    out += header.name + ": " + header.value + "\n";
  return out + "\n" + request.body + "\n";
}

std::string Show(const http_response& response) {
  std::string out = "<<< " + std::to_string(response.status) + "\n";
  for (const auto& header : response.headers)
    out += header.name + ": " + header.value + "\n";
  return out + "\n" + response.body + "\n";
}

TEST(SystemTestGolden, CallerSession) {
  cluster_options options;
  options.vms = 1;
  options.engines = 1;
  options.deployment = standin::deployment::kErgastirio;
  options.keep_transcript = true;
  const auto c = StartCluster(options);
  std::string session;
  const auto step = [&](const std::string& title, const http_request& request) {
    session += Show(title, request);
    auto response = Call(*c, c->vms[0].router_address, request);
    session += Show(response);
    return response;
  };
  step("a buffered response", ChatRequest(*c, "What crashed?", 3, false));
  step("a streamed response", ChatRequest(*c, "What crashed?", 3, true));
  const auto ticket_response =
      step("a call without a ticket", ServiceRequest(*c, "{\"s\":1}", ""));
  const std::string ticket(FindHeader(ticket_response.headers, "X-Ticket"));
  step("the same call with the ticket",
       ServiceRequest(*c, "{\"s\":1}", ticket));
  step("a duplicate of that call", ServiceRequest(*c, "{\"s\":1}", ticket));
  standin::MutableFaults(c->services[0]).lose_answer = 1;
  const std::string second_ticket = RequestTicket(*c, 0);
  step("a call whose response is lost",
       ServiceRequest(*c, "{\"s\":2}", second_ticket));
  step("a duplicate of the call without a response",
       ServiceRequest(*c, "{\"s\":2}", second_ticket));
  http_request unknown_caller = ChatRequest(*c, "hello", 1, false);
  unknown_caller.headers[0].value = "Bearer nobody";
  step("an unknown key", unknown_caller);
  session += "=== messages between the router and the engine\n" +
             standin::GetTranscript(c->engines[0]);
  CompareWithGolden(session, "caller_session.txt");
  EXPECT_EQ(standin::GetRunCount(c->services[0], "{\"s\":2}"), 1u);
}

TEST(SystemTestGolden, OperatorSession) {
  const auto c = StartCluster({});
  // Waits until all targets have reported, so that the status is complete.
  RunFor(*c, waxwing::milliseconds(1'500));
  std::ostringstream out;
  const auto ctl = [&](const std::string& verb, const std::string& argument) {
    waxwing::ctl_command command;
    command.agent = c->vms[0].operator_address;
    command.key = "test-operator-key";
    command.operator_name = "kari";
    command.verb = verb;
    command.argument = argument;
    out << "$ waxwingctl " << verb << (argument.empty() ? "" : " ") << argument
        << "\n";
    const int code =
        Await(*c, waxwing::RunCtl(c->context.get_executor(), command, out));
    out << "exit " << code << "\n\n";
  };
  const auto plan_id = [&] {
    const std::string text = out.str();
    const std::size_t at = text.rfind("confirm ");
    return text.substr(at + 8, 16);
  };
  ctl("status", "");
  ctl("intent", R"({"kind":"raise_priority","account":"contractor-1",)"
                R"("priority":8,"until":1900000000000})");
  const std::string first_plan = plan_id();
  ctl("intent", R"({"kind":"remove_target","target":"engine-2"})");
  const std::string second_plan = plan_id();
  ctl("confirm", second_plan);
  ctl("confirm", first_plan);
  ctl("confirm", second_plan);
  ctl("intent", R"({"kind":"remove_target","target":"engine-9"})");
  ctl("wait", "2");
  ctl("audit", "");
  std::string session = out.str();
  // The number of padding spaces depends on the length of the address.
  session = std::regex_replace(session, std::regex(" +\n"), "\n");
  CompareWithGolden(session, "operator_session.txt");
}

}  // namespace
}  // namespace testing_support
