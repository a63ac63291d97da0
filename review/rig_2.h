// Stand-ins for the scripts of the second review: the platform's store, a
// client, and the processes of the system. All addresses are on 127.0.0.1.

#ifndef REVIEW_RIG_2_H_
#define REVIEW_RIG_2_H_

#include <sys/types.h>

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rig {

// Seconds since the first call, and since the epoch.
double Now();
double UnixNow();
void SleepMs(int ms);

// Writes lines with the time to the record.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

using headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, or an empty text.
std::string FindHeader(const headers& list, std::string_view name);

struct request {
  std::string method;
  std::string target;
  headers fields;
  std::string body;
};

struct response {
  // 0 if no head of a response arrived.
  int status = 0;
  headers fields;
  std::string body;
  // It ended as its framing says.
  bool is_complete = false;
};

std::string Address(int port);
int FreePort();
// Return a socket, or -1.
int Listen(int port);
int Connect(int port);
bool Send(int fd, std::string_view data);
// Reads a request until the time. `buffer` keeps what arrives after it.
bool ReadRequest(int fd, std::string& buffer, request& out, double until);
// Makes a call on a connection of its own.
response Call(int port, const std::string& text, double timeout_s);

// The platform's store, in this process.
struct store {
  struct object {
    boost::json::value spec;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct change {
    std::uint64_t revision = 0;
    std::string kind;
    bool is_removed = false;
    boost::json::object content;
  };
  // What the store holds.
  struct content {
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, object>> kinds;
    std::vector<change> changes;
  };

  int port = 0;
  std::mutex mutex;
  std::condition_variable changed;
  content held;
  // Stated in all responses.
  std::uint64_t era = 1;
  // All connections are closed without a response.
  bool is_away = false;
  // Increases when the calls that wait are cut off.
  int cuts = 0;
};

// Starts a store, which runs until the process ends.
store* StartStore();
void Put(store& s,
         const std::string& kind,
         const std::string& name,
         const boost::json::value& spec);
void Remove(store& s, const std::string& kind, const std::string& name);
// Cuts off the calls that wait, and while the store is away all others, too.
void CutCalls(store& s, bool is_away);
store::content Copy(store& s);
// Ends the store's absence with an older content, in the next era.
void ReturnFrom(store& s, const store::content& copy);

// A relay to a port on loopback.
struct relay {
  int port = 0;
  std::mutex mutex;
  // One for each connection: nothing passes any more, and its ends stay open.
  std::vector<std::shared_ptr<std::atomic<bool>>> silent;
};

// Starts a relay, which runs until the process ends.
relay* StartRelay(int to_port);
// Silences all open connections. New ones work.
void SilenceConnections(relay& r);

// Starts a process that ends with this one at the latest.
pid_t Start(const std::vector<std::string>& command,
            const std::vector<std::string>& environment);
// Ends such a process, and sets `pid` to 0.
void End(pid_t& pid, int signal_number = SIGKILL);

// An entry VM.
struct vm {
  std::string name;
  pid_t pid = 0;
  int callers = 0;
  int readiness = 0;
  int control = 0;
  int directory = 0;
};

struct deployment {
  // The root of the repository, and a temporary folder.
  std::string project;
  std::string folder;
  store* platform = nullptr;
  // Where the VMs reach it.
  int platform_port = 0;
  std::vector<vm> vms;
};

// Starts another VM of the deployment, with the deploy file's command.
void StartVm(deployment& d);
// Waits until all VMs are ready.
bool WaitUntilReady(const deployment& d, double timeout_s);

// The IDs of the events of a stream, in order.
std::vector<std::uint64_t> EventIds(const std::string& body);

}  // namespace rig

#endif  // REVIEW_RIG_2_H_
