// Tickets: each permits one execution of one non-idempotent request.
//
// A ticket contains its owner, which is the only entry VM, in one incarnation,
// that may run the request; the router that minted it and a sequence number,
// which make it unique; the client account; and an expiry time. Any router
// mints tickets for the entry VMs that it returns to a caller. A MAC with a key
// from the settings protects a ticket against forgery.
//
// At-most-once RPC with server incarnations follows Birrell and Nelson.

#ifndef WAXWING_TICKET_H_
#define WAXWING_TICKET_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "waxwing/types.h"

namespace waxwing {

// Identifies a ticket uniquely.
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

// Time between minting and expiry.
inline constexpr milliseconds kTicketLifetime{120'000};

// Serializes the ticket, with its MAC.
std::string WriteTicket(const ticket& issued, std::string_view key);

// Parses a ticket and checks its MAC. The expiry is checked by the ledger; see
// TryClaim().
tl::expected<ticket, ticket_error> ReadTicket(std::string_view text,
                                              std::string_view key);

// Checks that the ticket belongs to the account, and that it does not expire
// later than a ticket minted now would, apart from clock skew.
tl::expected<void, ticket_error> CheckTicket(const ticket& checked,
                                             std::string_view account,
                                             unix_ms now);

// The error's name in responses and logs.
std::string_view NameOf(ticket_error error);

// "minter-incarnation-sequence", for logs and tables.
std::string ToText(const ticket_id& id);

}  // namespace waxwing

#endif  // WAXWING_TICKET_H_
