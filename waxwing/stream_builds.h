// Binds a stream to the build that began it.
//
// A target's build is the version of its software. What two builds write does
// not fit together, so a stream that a caller has received in part may go on
// only at targets of its build. Targets do not check this.
//
// A caller may take a stream up at any VM, also after the one that began it is
// gone. While all targets of a service have had one build for longer than a
// stream lives, every VM knows the build of its streams. Otherwise the VM that
// begins a stream sends a record of its origin to a few other VMs, the record
// keepers, chosen by rendezvous hashing, and the VM at which the stream is
// taken up asks them. The record is sent ahead of the first event and not when
// the target is chosen, since another target, or another VM, may begin the
// stream. A stream whose build nobody knows is not continued.
//
// A VM may conclude that a stream without a record was begun at the only build
// that it knows, because no VM begins streams at a new build before
// kBuildSettleTime has passed since it learned of the build, and each VM knows
// since when its list of targets is complete. A VM that can use no other build
// begins streams at a new one earlier, so the conclusion also needs the replies
// of VMs that would have got the record.
//
// Designed for: releases that replace targets one by one while VMs end alone,
// in series or many at once; 6 to 350 VMs.

#ifndef WAXWING_STREAM_BUILDS_H_
#define WAXWING_STREAM_BUILDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwing/hash.h"
#include "waxwing/membership.h"
#include "waxwing/target_view.h"
#include "waxwing/types.h"

namespace waxwing {

// The target that brought the first event of a stream.
struct stream_origin {
  std::string service;
  // Empty if the target's record states none.
  std::string build;
  std::string target;
  std::uint64_t incarnation = 0;

  bool operator==(const stream_origin&) const = default;
};

// True if a stream with this origin may go on at the target. A stream without a
// known build fits only the same incarnation of the same target.
bool MayContinueAt(const stream_origin& origin, const target_view& view);

// What a request needs of its target because of the stream that it carries.
struct stream_needs {
  // Origin of the stream that the request continues, or null.
  const stream_origin* origin = nullptr;
  // The request begins a stream that may be taken up later.
  bool begins_resumable = false;
  // The only build at which the stream may begin, or null if it may at any.
  const std::string* told_build = nullptr;
};

// True if the target may run the request. As a last resort, a stream may begin
// at a build that has not settled.
bool FitsStream(const stream_needs& needs,
                const target_view& view,
                bool is_last_resort);

// --- The builds of a service. All times are of a clock that keeps running
// while the VM is suspended.

// Time from when a VM learns of a build until it begins streams there. Longer
// than kMaxListAge plus the time for a record to reach its keepers.
inline constexpr milliseconds kBuildSettleTime{4'000};
// A VM whose list of targets was confirmed longer ago sends records.
inline constexpr milliseconds kMaxListAge{2'500};

struct known_build {
  // When this VM may begin streams there, and the earliest time at which any VM
  // may have begun one.
  instant usable_since;
  instant possible_since;
  // When a target of the build was last listed.
  instant last_listed;
};

struct build_history {
  // Since when no build can have come and gone unseen. Empty before the
  // service's first targets are listed.
  std::optional<instant> observed_since;
  // Up to when the list was complete at the last update.
  std::optional<instant> complete_until;
  std::map<std::string, known_build, std::less<>> builds;
};

// Targets of a service, by build.
using build_counts = std::map<std::string, std::size_t, std::less<>>;

// Returns the history of a service at the first start of the whole system,
// before which there were no streams.
build_history MakeFirstHistory();

// Updates the history from the targets that are listed at `now`. Builds that
// are new in `listed` were added after `complete_until`, up to which time the
// list before was complete; empty if that is not known. A build that is not
// listed for `stream_lifetime` is forgotten.
void ObserveBuilds(build_history& history,
                   const build_counts& listed,
                   std::optional<instant> complete_until,
                   duration stream_lifetime,
                   instant now);

// Adds a build at which other VMs have begun streams, and which they last saw
// at `last_listed`.
void AddUsedBuild(build_history& history,
                  const std::string& build,
                  instant last_listed);

// Returns the build at which every stream that may still be taken up was begun,
// if there is only one. The list of targets is complete until
// `complete_until`.
std::optional<std::string> SoleBuild(const build_history& history,
                                     std::optional<instant> complete_until,
                                     duration stream_lifetime,
                                     instant now);

// Returns the builds at which streams can have begun that may still be taken
// up, as far as this VM knows.
std::vector<std::string> PossibleBuilds(const build_history& history,
                                        instant now);

// True if the origins of streams must be recorded, because other VMs may not
// be able to conclude them.
bool NeedsRecords(const build_history& history,
                  std::optional<instant> complete_until,
                  duration stream_lifetime,
                  instant now);

// --- Records of origins.

// Identifies a stream by the account and the caller's attempt that brought its
// first event, so that no account can name a stream of another one.
using stream_key = hash128;
stream_key StreamKey(std::string_view account, std::string_view request_id);

struct stream_record {
  stream_origin origin;
  // Number of the attempt that began the stream, counted over all VMs that the
  // request came to. Of two records the one with the higher number counts: no
  // event of the attempts before has reached the caller.
  std::uint32_t attempt = 0;
  // When the request was sent to the target.
  instant began;
  // Read from the store after the VM that began the stream had ended.
  bool is_stored = false;
};

// Beyond this number, the oldest records are dropped.
inline constexpr std::size_t kMaxStreamRecords = 32'768;

struct stream_table {
  std::map<stream_key, stream_record> records;
  // Keys in the order in which they were added.
  std::deque<std::pair<instant, stream_key>> added;
};

// Returns true if the record is news.
bool RecordStream(stream_table& table,
                  const stream_key& key,
                  const stream_record& record,
                  instant now);

// Null if there is no record.
const stream_record* FindStream(const stream_table& table,
                                const stream_key& key);

// Drops records that were added more than `stream_lifetime` ago.
void AgeStreams(stream_table& table, duration stream_lifetime, instant now);

// VMs that keep a copy of each record, besides the one that began the stream,
// and VMs that are asked for one: more, since VMs disagree about the members
// and keepers are replaced when VMs come and go.
inline constexpr std::size_t kRecordCopies = 3;
inline constexpr std::size_t kRecordQueries = 8;
// Record keepers of a deployment. Limits the links of a VM to others.
inline constexpr std::size_t kMaxRecordKeepers = 24;

// Returns at most `count` other VMs that keep the record of a stream, best
// first, spread over the availability zones.
std::vector<std::string> ChooseRecordKeepers(const membership& table,
                                             const stream_key& key,
                                             std::size_t count);

// Number of other VMs that may have begun streams since `since`.
std::size_t CountOtherVms(const membership& table, instant since);

// --- Conclusions about a stream without a record.

// What other VMs have replied that have no record of the stream.
struct stream_replies {
  std::size_t count = 0;
  // True if one came of a VM that should have got the record.
  bool has_keeper = false;
  std::set<std::string> sole_builds;
  std::set<std::string> possible_builds;
};

// True if so many of the other VMs have replied that a VM which is cut off, or
// has not yet read what was sent to it, does not conclude from its own list of
// targets.
bool HasEnoughReplies(const stream_replies& replies, std::size_t other_vms);

// True if the builds of the replies are those of one, or none are known.
bool Agree(const stream_replies& replies);

// Returns the only build at which the stream can have begun, by what this VM
// and the others know, if there were enough replies.
std::optional<std::string> ConcludeBuild(
    const stream_replies& replies,
    const std::optional<std::string>& own_sole_build,
    std::span<const std::string> own_possible_builds,
    std::size_t other_vms);

}  // namespace waxwing

#endif  // WAXWING_STREAM_BUILDS_H_
