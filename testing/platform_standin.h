// Small stand-ins for what the users' platform puts around an entry: the object
// store and targets, in the test's own process.

#ifndef TESTING_PLATFORM_STANDIN_H_
#define TESTING_PLATFORM_STANDIN_H_

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "waxwing/http.h"
#include "waxwing/http_server.h"

namespace testing_support {

// The object store. Objects are kept by kind and name.
struct object_store_standin {
  struct object {
    std::uint64_t revision = 0;
    std::string spec;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    bool is_removed = false;
  };
  boost::asio::io_context* context = nullptr;
  waxwing::http_server server;
  std::uint64_t revision = 1;
  std::map<std::string, std::map<std::string, object>> objects_by_kind;
  std::vector<change> changes;
  // Every call is answered 503.
  bool is_down = false;
  // Calls so far.
  std::uint64_t calls = 0;
  // Watches from before this revision are answered 410.
  std::uint64_t oldest_revision = 0;
};

std::unique_ptr<object_store_standin> StartObjectStore(
    boost::asio::io_context& context);

void PutObject(object_store_standin& store,
               const std::string& kind,
               const std::string& name,
               const std::string& spec);
void RemoveObject(object_store_standin& store,
                  const std::string& kind,
                  const std::string& name);

// What a target does with one request: it writes the bytes, piece by piece, and
// then keeps or closes the connection.
struct scripted_response {
  std::vector<std::string> pieces;
  bool closes_connection = false;
};

// A target that answers by a script.
struct scripted_target {
  boost::asio::ip::tcp::acceptor acceptor;
  std::function<scripted_response(const waxwing::http_request&)> script;
  // Requests that it has read, beside those of the entry's own duties.
  std::vector<waxwing::http_request> requests;

  explicit scripted_target(boost::asio::io_context& context);
  waxwing::endpoint Address() const;
};

std::shared_ptr<scripted_target> StartTarget(
    boost::asio::io_context& context,
    std::function<scripted_response(const waxwing::http_request&)> script);

// Answers as targets write them.
std::string PlainResponse(unsigned status,
                          std::string_view id,
                          std::string_view body,
                          std::string_view more_headers = "");
std::string StreamHead(std::string_view id);
std::string StreamEvent(int id, std::string_view data);
std::string StreamEnd();

// What the operator and targets write to the store: a configuration with a
// streaming, a resumable, a once-only and a repeatable route on two services,
// and the record of a target.
boost::json::object EntryRoute(std::string_view name,
                               std::string_view prefix,
                               std::string_view kind,
                               std::string_view service,
                               int attempts,
                               bool can_resume);
std::string EntryConfig(int version,
                        const boost::json::array& extra_routes = {});
std::string EntryTargetRecord(const waxwing::endpoint& address,
                              std::string_view service,
                              int weights,
                              std::string_view state = "ready");

}  // namespace testing_support

#endif  // TESTING_PLATFORM_STANDIN_H_
