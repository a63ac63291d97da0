// Chooses the VM to which a request is forwarded when this VM reaches no
// target.
//
// VMs of the own zone come first, unless some of them have said that they reach
// no target either. Of two random VMs the one with fewer requests of this VM is
// chosen, so that many VMs that are cut off spread their requests evenly. After
// a VM has declined a request, one that has served others is preferred.

#ifndef WAXWING_PEER_CHOICE_H_
#define WAXWING_PEER_CHOICE_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "waxwing/membership.h"
#include "waxwing/types.h"

namespace waxwing {

// What this VM knows of the VMs to which it forwards requests.
struct peer_load {
  int in_flight = 0;
  // The VM has declined requests, and gets none before this time.
  instant avoided_until;
  // The VM has served requests, and is likely to serve more until this time.
  instant served_until;
};

struct peer_loads {
  std::map<std::string, peer_load, std::less<>> peers;
};

// How long a VM that has declined a request, or could not be reached, gets no
// further ones while there are others.
inline constexpr milliseconds kPeerAvoidance{1'000};
// How long a VM that has served a request is preferred.
inline constexpr milliseconds kPeerTrust{3'000};
// VMs to which one request is forwarded at most.
inline constexpr int kMaxPeers = 5;

// Record that a VM has declined a request or could not be reached, and that it
// has served one.
void RecordDeclined(peer_loads& loads, std::string_view vm, instant now);
void RecordServed(peer_loads& loads, std::string_view vm, instant now);

// Records that another VM has named this one as having served requests.
void RecordHint(peer_loads& loads, std::string_view vm, instant now);

// Returns the name of a VM that has served requests, for a VM whose request is
// declined, or kNoHint.
inline constexpr std::string_view kNoHint = "-";
std::string_view ChooseHint(const peer_loads& loads, instant now);

// Returns a VM that accepts callers and is not in `tried`. Returns std::nullopt
// if there is none.
std::optional<member> ChoosePeer(const membership& table,
                                 const peer_loads& loads,
                                 const std::set<std::string>& tried,
                                 std::mt19937_64& random,
                                 instant now);

}  // namespace waxwing

#endif  // WAXWING_PEER_CHOICE_H_
