#include "review/rig_2.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace rig {

namespace json = boost::json;

namespace {

std::mutex record_mutex;
std::ofstream record_file;

}  // namespace

double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

double UnixNow() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  record_file.open(path);
  Now();
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", Now());
  record_file << time << line << std::endl;
}

// --- Sockets and messages.

namespace {

bool IsSameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

sockaddr_in Loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// Appends what arrives next. Returns false at the end or after the time.
bool ReadMore(int fd, std::string& buffer, double until) {
  const int wait = static_cast<int>((until - Now()) * 1000);
  pollfd waiting{fd, POLLIN, 0};
  if (wait <= 0 || ::poll(&waiting, 1, wait) <= 0)
    return false;
  char bytes[16 * 1024];
  const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0)
    return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

// Reads the first line and the headers of a message.
bool ReadHead(int fd,
              std::string& buffer,
              std::string& first_line,
              headers& fields,
              double until) {
  std::size_t end = buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(fd, buffer, until))
      return false;
    end = buffer.find("\r\n\r\n");
  }
  const std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  std::size_t at = 0;
  while (at < head.size()) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(": ");
    if (at == 0)
      first_line = line;
    else if (colon != std::string::npos)
      fields.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    at = line_end + 2;
  }
  return true;
}

std::size_t BodyLength(const headers& fields) {
  return std::strtoull(FindHeader(fields, "Content-Length").c_str(), nullptr,
                       10);
}

void ReadChunks(int fd, std::string& buffer, response& out, double until) {
  while (true) {
    std::size_t end = buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(fd, buffer, until))
        return;
      end = buffer.find("\r\n");
    }
    const std::size_t size = std::strtoull(buffer.c_str(), nullptr, 16);
    const std::size_t whole = end + 2 + size + 2;
    while (buffer.size() < whole) {
      if (!ReadMore(fd, buffer, until))
        return;
    }
    out.body += buffer.substr(end + 2, size);
    buffer.erase(0, whole);
    if (size == 0) {
      out.is_complete = true;
      return;
    }
  }
}

response ReadResponse(int fd, double until) {
  response out;
  std::string buffer;
  std::string first_line;
  if (!ReadHead(fd, buffer, first_line, out.fields, until))
    return out;
  out.status = std::atoi(first_line.substr(first_line.find(' ') + 1).c_str());
  if (IsSameName(FindHeader(out.fields, "Transfer-Encoding"), "chunked")) {
    ReadChunks(fd, buffer, out, until);
    return out;
  }
  const std::size_t length = BodyLength(out.fields);
  while (buffer.size() < length && ReadMore(fd, buffer, until)) {
  }
  out.body = buffer.substr(0, length);
  out.is_complete = out.body.size() == length;
  return out;
}

}  // namespace

std::string FindHeader(const headers& list, std::string_view name) {
  for (const auto& [key, value] : list) {
    if (IsSameName(key, name))
      return value;
  }
  return "";
}

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

int Listen(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) ==
          0 &&
      ::listen(fd, 256) == 0)
    return fd;
  ::close(fd);
  return -1;
}

int FreePort() {
  // Below the ports that the system gives to outgoing connections.
  constexpr int kFirst = 14'000;
  constexpr int kPerProcess = 200;
  constexpr int kProcesses = 60;
  static int next = kFirst + (::getpid() % kProcesses) * kPerProcess;
  while (true) {
    const int fd = Listen(++next);
    if (fd < 0)
      continue;
    ::close(fd);
    return next;
  }
}

int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool Send(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t count = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool ReadRequest(int fd, std::string& buffer, request& out, double until) {
  out = {};
  std::string line;
  if (!ReadHead(fd, buffer, line, out.fields, until))
    return false;
  const std::size_t length = BodyLength(out.fields);
  while (buffer.size() < length) {
    if (!ReadMore(fd, buffer, until))
      return false;
  }
  out.body = buffer.substr(0, length);
  buffer.erase(0, length);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  out.method = line.substr(0, first);
  out.target = line.substr(first + 1, second - first - 1);
  return true;
}

response Call(int port, const std::string& text, double timeout_s) {
  const int fd = Connect(port);
  if (fd < 0)
    return {};
  response out;
  if (Send(fd, text))
    out = ReadResponse(fd, Now() + timeout_s);
  ::close(fd);
  return out;
}

// --- The platform's store.

namespace {

struct store_reply {
  int status = 0;
  json::object body;
};

std::string QueryValue(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name + "=");
  if (at == std::string::npos)
    return "";
  const std::size_t begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

json::object ContentOf(const std::string& name, const store::object& object) {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"create_revision", object.created},
            {"finalizers", json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

void Change(store& s,
            const std::string& kind,
            const std::string& name,
            const json::value& spec) {
  store::object& object = s.held.kinds[kind][name];
  object.spec = spec;
  object.revision = ++s.held.revision;
  if (object.created == 0)
    object.created = object.revision;
  s.held.changes.push_back(
      {object.revision, kind, false, ContentOf(name, object)});
  s.changed.notify_all();
}

store_reply Watch(store& s,
                  std::unique_lock<std::mutex>& lock,
                  const std::string& kind,
                  std::uint64_t since,
                  int wait_ms) {
  if (since > s.held.revision)
    return {410, {}};
  json::array events;
  const int cuts = s.cuts;
  s.changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    events.clear();
    for (const store::change& each : s.held.changes) {
      if (each.revision > since && each.kind == kind)
        events.push_back(
            {{"removed", each.is_removed}, {"object", each.content}});
    }
    return s.cuts != cuts || !events.empty();
  });
  return {200, {{"events", events}, {"current_rev", s.held.revision}}};
}

store_reply Write(store& s,
                  const std::string& kind,
                  const std::string& name,
                  const request& call) {
  boost::system::error_code error;
  const json::value body = json::parse(call.body, error);
  if (error || !body.is_object())
    return {400, {}};
  const json::object& metadata = body.at("metadata").as_object();
  auto& objects = s.held.kinds[kind];
  if (call.method == "POST") {
    const std::string created(metadata.at("name").as_string());
    if (objects.contains(created))
      return {409, ContentOf(created, objects.at(created))};
    Change(s, kind, created, body.at("spec"));
    return {201, ContentOf(created, objects.at(created))};
  }
  const auto found = objects.find(name);
  if (call.method != "PUT" || found == objects.end())
    return {404, {}};
  if (metadata.contains("revision") &&
      metadata.at("revision").to_number<std::uint64_t>() !=
          found->second.revision)
    return {409, ContentOf(name, found->second)};
  if (found->second.spec != body.at("spec"))
    Change(s, kind, name, body.at("spec"));
  return {200, ContentOf(name, objects.at(name))};
}

store_reply Answer(store& s, const request& call) {
  constexpr std::string_view kPrefix = "/api/objects/";
  const std::string path = call.target.substr(0, call.target.find('?'));
  if (!path.starts_with(kPrefix))
    return {404, {}};
  const std::string rest = path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  std::unique_lock lock(s.mutex);
  if (call.method != "GET")
    return Write(s, kind, name, call);
  if (const std::string since = QueryValue(call.target, "watch");
      !since.empty())
    return Watch(s, lock, kind, std::strtoull(since.c_str(), nullptr, 10),
                 std::atoi(QueryValue(call.target, "wait_ms").c_str()));
  const auto& objects = s.held.kinds[kind];
  if (name.empty()) {
    json::array items;
    for (const auto& [key, object] : objects)
      items.push_back(ContentOf(key, object));
    return {200,
            {{"items", items},
             {"more_pages", false},
             {"current_rev", s.held.revision}}};
  }
  const auto found = objects.find(name);
  if (found == objects.end())
    return {404, {}};
  return {200, ContentOf(name, found->second)};
}

void ServeStore(store& s, int fd) {
  std::string buffer;
  request call;
  while (ReadRequest(fd, buffer, call, Now() + 60)) {
    int cuts = 0;
    {
      const std::lock_guard lock(s.mutex);
      cuts = s.cuts;
      if (s.is_away)
        break;
    }
    const store_reply reply = Answer(s, call);
    const std::string body = json::serialize(reply.body);
    std::string head;
    {
      const std::lock_guard lock(s.mutex);
      if (s.is_away || s.cuts != cuts)
        break;
      head = "HTTP/1.1 " + std::to_string(reply.status) +
             " X\r\nContent-Type: application/json\r\nStore-Era: " +
             std::to_string(s.era) +
             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    }
    if (!Send(fd, head + body))
      break;
  }
  ::close(fd);
}

}  // namespace

store* StartStore() {
  static store instance;
  instance.port = FreePort();
  const int listener = Listen(instance.port);
  std::thread([listener] {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        std::thread([fd] { ServeStore(instance, fd); }).detach();
    }
  }).detach();
  return &instance;
}

void Put(store& s,
         const std::string& kind,
         const std::string& name,
         const json::value& spec) {
  const std::lock_guard lock(s.mutex);
  Change(s, kind, name, spec);
}

void Remove(store& s, const std::string& kind, const std::string& name) {
  const std::lock_guard lock(s.mutex);
  auto& objects = s.held.kinds[kind];
  const auto found = objects.find(name);
  if (found == objects.end())
    return;
  s.held.changes.push_back(
      {++s.held.revision, kind, true, ContentOf(name, found->second)});
  objects.erase(found);
  s.changed.notify_all();
}

void CutCalls(store& s, bool is_away) {
  const std::lock_guard lock(s.mutex);
  s.is_away = is_away;
  ++s.cuts;
  s.changed.notify_all();
}

store::content Copy(store& s) {
  const std::lock_guard lock(s.mutex);
  return s.held;
}

void ReturnFrom(store& s, const store::content& copy) {
  const std::lock_guard lock(s.mutex);
  s.held = copy;
  ++s.era;
  s.is_away = false;
}

// --- The relay.

namespace {

// Passes on what arrives at one socket to the other.
void Pass(int from, int to, const std::atomic<bool>& is_silent) {
  constexpr int kPollMs = 20;
  while (true) {
    pollfd waiting{from, POLLIN, 0};
    const bool has_data = ::poll(&waiting, 1, kPollMs) > 0;
    if (is_silent) {
      SleepMs(kPollMs);
      continue;
    }
    if (!has_data)
      continue;
    char bytes[16 * 1024];
    const ssize_t count = ::recv(from, bytes, sizeof bytes, 0);
    if (count <= 0 ||
        !Send(to, std::string_view(bytes, static_cast<std::size_t>(count))))
      break;
  }
  ::shutdown(from, SHUT_RDWR);
  ::shutdown(to, SHUT_RDWR);
}

void RelayConnection(relay& r, int fd, int to_port) {
  const int other = Connect(to_port);
  if (other < 0) {
    ::close(fd);
    return;
  }
  auto is_silent = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard lock(r.mutex);
    r.silent.push_back(is_silent);
  }
  std::thread back([=] { Pass(other, fd, *is_silent); });
  Pass(fd, other, *is_silent);
  back.join();
  ::close(fd);
  ::close(other);
}

}  // namespace

relay* StartRelay(int to_port) {
  static relay instance;
  instance.port = FreePort();
  const int listener = Listen(instance.port);
  std::thread([=] {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        std::thread([=] { RelayConnection(instance, fd, to_port); }).detach();
    }
  }).detach();
  return &instance;
}

void SilenceConnections(relay& r) {
  const std::lock_guard lock(r.mutex);
  for (const auto& each : r.silent)
    *each = true;
}

// --- Processes.

pid_t Start(const std::vector<std::string>& command,
            const std::vector<std::string>& environment) {
  std::vector<char*> argv;
  std::vector<char*> env;
  argv.reserve(command.size() + 1);
  env.reserve(environment.size() + 1);
  for (const std::string& word : command)
    argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  for (const std::string& word : environment)
    env.push_back(const_cast<char*>(word.c_str()));
  env.push_back(nullptr);
  const bool has_log = std::getenv("RIG_LOG") != nullptr;
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid != 0)
    return pid;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent)
    ::_exit(1);
  const int null = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
  if (!has_log)
    ::dup2(null, STDERR_FILENO);
  ::dup2(STDERR_FILENO, STDOUT_FILENO);
  ::execve(argv[0], argv.data(), env.data());
  ::_exit(1);
}

void End(pid_t& pid, int signal_number) {
  if (pid <= 0)
    return;
  ::kill(pid, signal_number);
  ::waitpid(pid, nullptr, 0);
  pid = 0;
}

// --- The system.

namespace {

json::object SettingsOf(const deployment& d, const vm& v) {
  const int first_control = d.vms.empty() ? v.control : d.vms.front().control;
  return {{"node_name", v.name},
          {"role", "entry"},
          {"machine_class", "front"},
          {"serves", {"front", "control", "directory"}},
          {"ip", "127.0.0.1"},
          {"zone", "bergen-a"},
          {"region", "vestland"},
          {"zones", {{"bergen-a", "vestland"}}},
          {"listen",
           {{"front", Address(v.callers)},
            {"ready", Address(v.readiness)},
            {"control", Address(v.control)},
            {"directory", Address(v.directory)}}},
          {"seeds", json::array{Address(first_control)}},
          {"bootstrap", true},
          {"limits",
           {{"cpu_share", 0.25},
            {"cores", 1},
            {"memory_mb", 110},
            {"max_fds", 4100},
            {"link_mbps", 1000.0},
            {"disk_mb", 0}}},
          {"heartbeat_ms", 1200},
          {"bounds",
           {{"seed_lag_s", 3},
            {"reuse_after_s", 2},
            {"contact_ms", 3000},
            {"drain_ms", 2000},
            {"grace_s", 8},
            {"loss_slack_ms", 200},
            {"config_apply_ms", 2000},
            {"retry_ratio", 0.2},
            {"retry_window_s", 10},
            {"retry_slack", 54},
            {"lease_ms", 3000},
            {"version_ms", 8000},
            {"version_all_ms", 11000},
            {"ttl_max_s", 5}}},
          {"platform",
           {{"address", Address(d.platform_port)},
            {"form", "objects"},
            {"writes_per_s", 400},
            {"reads_per_s", 2000},
            {"history_s", 20},
            {"value_bytes", 1048576}}}};
}

}  // namespace

void StartVm(deployment& d) {
  vm v;
  v.name = "front-bergen-a-" + std::to_string(d.vms.size() + 1);
  v.callers = FreePort();
  v.readiness = FreePort();
  v.control = FreePort();
  v.directory = FreePort();
  const std::string path = d.folder + "/" + v.name + ".json";
  std::ofstream(path) << json::serialize(SettingsOf(d, v));
  v.pid = Start(
      {d.project + "/target/waxwing-entry"},
      {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
       "WAXWINGPASS_SETTINGS=" + path,
       "WAXWING_KEY=" + Address(d.platform_port), "WAXWING_LOG_LEVEL=info"});
  d.vms.push_back(v);
}

bool WaitUntilReady(const deployment& d, double timeout_s) {
  const double limit = Now() + timeout_s;
  for (const vm& each : d.vms) {
    while (Call(each.readiness, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 1)
               .status != 200) {
      if (Now() > limit)
        return false;
      SleepMs(50);
    }
  }
  return true;
}

std::vector<std::uint64_t> EventIds(const std::string& body) {
  std::vector<std::uint64_t> out;
  std::size_t at = 0;
  while (at < body.size()) {
    const std::size_t end = std::min(body.find('\n', at), body.size());
    const std::string line = body.substr(at, end - at);
    if (line.starts_with("id:"))
      out.push_back(std::strtoull(line.c_str() + 3, nullptr, 10));
    at = end + 1;
  }
  return out;
}

}  // namespace rig
