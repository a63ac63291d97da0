// Keeps the origins of running streams in the store while services have several
// builds, and reads them after all VMs have ended (stored_streams.h).

#include <algorithm>
#include <boost/asio.hpp>

#include "waxwing/agent_state.h"
#include "waxwing/entry_state.h"
#include "waxwing/log.h"

namespace waxwing {

namespace asio = boost::asio;

namespace {

// Time between two writes: the larger of these, the second one for each VM that
// callers use.
constexpr milliseconds kMinWriteInterval{150};
constexpr milliseconds kWriteIntervalPerVm{8};
constexpr milliseconds kStoreTimeout{600};
constexpr milliseconds kWriteRetry{500};
// An object without news is written again after this part of a stream's life.
constexpr int kRenewalsPerLifetime = 3;
// What other VMs have stored is read again after this time.
constexpr milliseconds kReadPause{1'000};
constexpr milliseconds kNewReadPause{200};
// Time that a request waits for a read.
constexpr milliseconds kMaxReadWait{300};
constexpr milliseconds kReadPollPeriod{10};

milliseconds WriteInterval(const entry_state& state) {
  return std::max(
      kMinWriteInterval,
      kWriteIntervalPerVm * static_cast<int>(state.caller_load.total_listed));
}

// Returns what should be stored now.
stored_streams CollectStreams(const entry_state& state) {
  stored_streams out;
  out.written = UnixNow();
  for (const auto& [service, history] : state.builds) {
    if (history.builds.size() < 2)
      continue;
    for (const auto& [build, known] : history.builds)
      out.builds[service].insert(build);
  }
  if (out.builds.empty())
    return out;
  const unix_ms oldest = out.written - ToMs(state.stream_lifetime);
  for (const auto& [key, stream] : state.stream_store.inherited) {
    if (stream.began >= oldest)
      out.streams[key] = stream;
  }
  for (const auto& [key, record] : state.running_streams) {
    if (out.builds.contains(record.origin.service))
      out.streams[key] = {record.origin, record.attempt, ToUnix(record.began)};
  }
  return out;
}

bool IsWriteDue(const entry_state& state, const stored_streams& current) {
  if (current.builds.empty())
    return false;
  const stream_storage& store = state.stream_store;
  const bool has_news =
      current.builds != store.written.builds ||
      std::any_of(current.streams.begin(), current.streams.end(),
                  [&](const auto& entry) {
                    const auto known = store.written.streams.find(entry.first);
                    return known == store.written.streams.end() ||
                           known->second.attempt != entry.second.attempt;
                  });
  return has_news ||
         SuspendAwareNow() >=
             store.written_at + state.stream_lifetime / kRenewalsPerLifetime;
}

// Reads the object of this VM's previous run, which must not be lost.
asio::awaitable<void> Inherit(entry_ptr state) {
  stream_storage& store = state->stream_store;
  const auto current = co_await state->protocol.get(
      state->store, object_kind::kStreams, state->options.vm);
  if (!ObserveEra(*state, current))
    co_return;
  if (!current) {
    if (current.error().failure == store_failure::kAbsent)
      store.revision = 0;
    co_return;
  }
  store.revision = current->object.revision;
  const auto earlier = ReadStoredStreams(current->object.spec);
  if (!earlier) {
    LogWarning("stored_streams_unreadable",
               {{"vm", state->options.vm}, {"error", ToText(earlier.error())}});
    co_return;
  }
  for (const auto& [key, stream] : earlier->streams)
    store.inherited.emplace(key, stream);
}

// Returns false if the write failed.
asio::awaitable<bool> StoreStreams(entry_ptr state, stored_streams current) {
  stream_storage& store = state->stream_store;
  const stored_object object{state->options.vm, store.revision,
                             WriteStoredStreams(current)};
  const auto put = co_await state->protocol.put(
      state->store, object_kind::kStreams, object, kStoreTimeout);
  Count(state->stats, "waxwing_stream_writes_total");
  if (ObserveEra(*state, put) && put) {
    if (current.builds != store.written.builds)
      LogInfo("streams_stored", {{"services", current.builds.size()},
                                 {"streams", current.streams.size()},
                                 {"revision", put->revision}});
    store.revision = put->revision;
    store.written = std::move(current);
    store.written_at = SuspendAwareNow();
    co_return true;
  }
  // The write, or the one before, may have been applied without a response.
  co_await Inherit(state);
  co_return false;
}

// Applies what another VM, or the previous run of this one, has stored.
void ApplyStoredStreams(entry_state& state, const stored_streams& record) {
  for (const auto& [key, stream] : record.streams)
    RecordStream(state.stream_records, key,
                 {stream.origin, stream.attempt, FromUnix(stream.began), true},
                 SuspendAwareNow());
  for (const auto& [service, builds] : record.builds) {
    const auto history = state.builds.find(service);
    for (const std::string& build : builds) {
      if (history != state.builds.end())
        AddUsedBuild(history->second, build, FromUnix(record.written));
    }
  }
}

// Extends the history of the services whose streams can have begun at one build
// only, by what all VMs have stored.
void ConcludeFromStore(entry_state& state,
                       std::span<const stored_streams> stored) {
  const instant now = SuspendAwareNow();
  std::map<std::string, build_births, std::less<>> births;
  for (const auto& [id, target] : state.targets) {
    const target_record& record = target.record;
    auto [born, is_new] =
        births[record.service].emplace(record.build, record.incarnation);
    if (!is_new)
      born->second = std::min(born->second, record.incarnation);
  }
  for (auto& [service, history] : state.builds) {
    const bool is_proved = ProvesSoleBuild(stored, service, births[service],
                                           state.stream_lifetime, UnixNow());
    if (is_proved && history.observed_since)
      history.observed_since =
          std::min(*history.observed_since, now - state.stream_lifetime);
    LogInfo("stored_streams_read", {{"service", service},
                                    {"vms", stored.size()},
                                    {"builds", history.builds.size()},
                                    {"sole", is_proved}});
  }
}

// Returns false if the store does not respond. An object that can't be read may
// name any build, so nothing is concluded beside it; the others hold.
asio::awaitable<bool> ReadAll(entry_ptr state) {
  std::vector<stored_streams> relevant;
  bool is_complete = true;
  std::string after;
  bool has_more = true;
  while (has_more) {
    const auto page = co_await state->protocol.list(
        state->store, object_kind::kStreams, after);
    if (!ObserveEra(*state, page) || !page)
      co_return false;
    for (const stored_object& object : page->objects) {
      const auto record = ReadStoredStreams(object.spec);
      if (!record) {
        LogWarning("stored_streams_unreadable",
                   {{"vm", object.name}, {"error", ToText(record.error())}});
        is_complete = false;
        continue;
      }
      if (IsRelevant(*record, state->stream_lifetime, UnixNow()))
        relevant.push_back(*record);
    }
    has_more = page->has_more && !page->objects.empty();
    if (has_more)
      after = page->objects.back().name;
  }
  for (const stored_streams& record : relevant)
    ApplyStoredStreams(*state, record);
  state->stream_store.is_complete = is_complete;
  if (is_complete)
    ConcludeFromStore(*state, relevant);
  co_return true;
}

}  // namespace

asio::awaitable<void> RunStreamWriter(entry_ptr state) {
  while (!IsStopping(state->root)) {
    co_await Pause(state->root, WriteInterval(*state));
    stored_streams current = CollectStreams(*state);
    if (IsWriteDue(*state, current) &&
        !co_await StoreStreams(state, std::move(current)))
      co_await Pause(state->root, kWriteRetry);
  }
}

asio::awaitable<bool> ReadStoredStreamsOfAll(entry_ptr state,
                                             bool must_be_new) {
  stream_storage& store = state->stream_store;
  const instant called = SuspendAwareNow();
  const milliseconds pause = must_be_new ? kNewReadPause : kReadPause;
  const instant limit = called + kMaxReadWait;
  while (true) {
    const instant now = SuspendAwareNow();
    const bool is_recent = store.is_read && now < *store.read_at + pause;
    if (!store.is_reading &&
        (store.read_at >= called || (is_recent && !must_be_new)))
      co_return store.is_read;
    if (now >= limit)
      co_return false;
    if (store.is_reading || is_recent) {
      if (!co_await Pause(state->root, kReadPollPeriod))
        co_return false;
      continue;
    }
    store.is_reading = true;
    store.read_at = now;
    store.is_read = co_await ReadAll(state);
    store.is_reading = false;
  }
}

}  // namespace waxwing
