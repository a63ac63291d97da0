// Stand-ins for the services of the platform that an entry talks to: the object
// store and targets. They run in the test process.

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

// An object store in memory, with lists, watches and conditional writes.
struct object_store_standin {
  struct object {
    std::uint64_t revision = 0;
    // The text of the response, which may be invalid JSON.
    std::string spec;
    std::string status = "null";
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
  // By kind, then by name.
  std::map<std::string, std::map<std::string, object>> objects_by_kind;
  std::vector<change> changes;
  // Objects of a list's response.
  std::size_t page_size = 1'000;
  // All calls fail with status 503.
  bool is_down = false;
  // Stated in each response unless it is 0.
  std::uint64_t era = 0;
  // Calls received so far.
  std::uint64_t calls = 0;
  // Watches among the first calls get no response.
  std::uint64_t muted_calls = 0;
  // Watches that start before this revision fail with status 410.
  std::uint64_t oldest_revision = 0;
};

std::unique_ptr<object_store_standin> StartObjectStore(
    boost::asio::io_context& context);

// An address of a store for one VM, which the store may refuse.
struct store_access {
  waxwing::http_server server;
  bool is_refused = false;
};

std::unique_ptr<store_access> OpenStoreAccess(object_store_standin& store);

void PutObject(object_store_standin& store,
               const std::string& kind,
               const std::string& name,
               const std::string& spec);
void RemoveObject(object_store_standin& store,
                  const std::string& kind,
                  const std::string& name);

// What a store held at some time.
struct store_copy {
  std::uint64_t revision = 0;
  std::map<std::string, std::map<std::string, object_store_standin::object>>
      objects_by_kind;
  std::vector<object_store_standin::change> changes;
};

store_copy CopyStore(const object_store_standin& store);

// Replaces the content of the store by the copy, in the next era.
void RestoreStore(object_store_standin& store, const store_copy& copy);

// A target's response to one request: bytes that are written piece by piece,
// after which the connection is kept open or closed.
struct scripted_response {
  std::vector<std::string> pieces;
  bool closes_connection = false;
  // Time before the first piece. If the client closes the connection meanwhile,
  // the target drops the request.
  std::chrono::milliseconds delay{0};
  // Called before the first piece, unless null.
  std::function<void()> on_start;
  // After the last piece, some of which the client may then lose.
  bool resets_connection = false;
};

// A target whose responses a function produces.
struct scripted_target {
  boost::asio::ip::tcp::acceptor acceptor;
  std::function<scripted_response(const waxwing::http_request&)> script;
  // Requests received so far, except the entry's own calls below /api/.
  std::vector<waxwing::http_request> requests;
  // Connections, open or closed.
  std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>> connections;

  explicit scripted_target(boost::asio::io_context& context);
  waxwing::endpoint Address() const;
};

std::shared_ptr<scripted_target> StartTarget(
    boost::asio::io_context& context,
    std::function<scripted_response(const waxwing::http_request&)> script);

// Closes the target's port and all of its connections, as if its process had
// ended.
void EndTarget(scripted_target& target);

// Responses in the form in which targets write them.
std::string PlainResponse(unsigned status,
                          std::string_view id,
                          std::string_view body,
                          std::string_view more_headers = "");
std::string StreamHead(std::string_view id);
std::string StreamEvent(int id, std::string_view data);
std::string StreamEnd();

// Objects that operators and targets write to the store. EntryConfig() has a
// streaming, a resumable streaming, a non-idempotent and an idempotent route to
// two services; EntryTargetRecord() is the record of one target.
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
                              std::string_view state = "ready",
                              std::string_view build = "v1");

}  // namespace testing_support

#endif  // TESTING_PLATFORM_STANDIN_H_
