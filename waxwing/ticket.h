// Tickets: permission to run one non-idempotent request, once.
//
// A ticket names its owner, the only entry VM (in one incarnation) that may run
// the request; its minter and a sequence number, which make it unique; the
// client account; and an expiry. Any router mints tickets for the entry VMs it
// names to a caller. A MAC under a key from the settings protects them.
//
// At-most-once RPC with server incarnations goes back to Birrell and Nelson.

#ifndef WAXWING_TICKET_H_
#define WAXWING_TICKET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

// What makes a ticket unique.
struct ticket_id {
  std::string minter;
  std::uint64_t minter_incarnation = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const ticket_id&) const = default;
};

struct ticket {
  ticket_id id;
  std::string owner;
  std::uint64_t owner_incarnation = 0;
  std::uint64_t account_hash = 0;
  unix_ms expires = 0;

  bool operator==(const ticket&) const = default;
};

enum class ticket_error {
  kMalformed,
  kForged,
  kOtherAccount,
  kTooLongLived,
};

// Longest time between minting and expiry.
inline constexpr milliseconds kTicketLifetime{120'000};

// The ticket as text, with its MAC.
std::string WriteTicket(const ticket& issued, std::string_view key);

// Reads a ticket and checks its MAC. Whether it has expired is up to the
// ledger.
tl::expected<ticket, ticket_error> ReadTicket(std::string_view text,
                                              std::string_view key);

// Checks that the ticket belongs to the account, and that its expiry is no
// further off than a ticket minted now would have.
tl::expected<void, ticket_error> CheckTicket(const ticket& checked,
                                             std::string_view account,
                                             unix_ms now);

// Short word for an error, for callers and logs.
std::string_view NameOf(ticket_error error);

// "minter-incarnation-sequence", for logs and tables.
std::string ToText(const ticket_id& id);

}  // namespace waxwing

#endif  // WAXWING_TICKET_H_
