#include "waxwing/ticket.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

constexpr std::string_view kFormat = "w1";
constexpr std::size_t kParts = 9;
constexpr std::size_t kMaxTicketBytes = 512;
// Allowed difference between the wall clocks of two VMs.
constexpr std::int64_t kClockSlackMs = 5'000;

std::string SignedPart(const ticket& from) {
  std::string out(kFormat);
  out += "." + from.owner + "." + ToHex(from.owner_incarnation);
  out += "." + from.id.minter + "." + ToHex(from.id.minter_incarnation);
  out += "." + std::to_string(from.id.sequence);
  out += "." + ToHex(from.account_hash);
  out += "." + std::to_string(from.expires);
  return out;
}

std::string MacText(std::string_view key, std::string_view text) {
  std::string out;
  char hex[4];
  for (const std::uint8_t byte : ComputeMac(key, text)) {
    std::snprintf(hex, sizeof hex, "%02x", byte);
    out += hex;
  }
  return out;
}

bool SameText(std::string_view a, std::string_view b) {
  unsigned difference = a.size() != b.size();
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i)
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  return difference == 0;
}

template <typename T>
bool ParseNumber(std::string_view text, int base, T& out) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), out, base);
  return error == std::errc() && end == text.data() + text.size();
}

// Splits at dots; false if the number of parts differs.
bool SplitParts(std::string_view text,
                std::array<std::string_view, kParts>& parts) {
  for (std::size_t i = 0; i < kParts; ++i) {
    const std::size_t dot = text.find('.');
    if ((dot == std::string_view::npos) != (i + 1 == kParts))
      return false;
    parts[i] = text.substr(0, dot);
    if (i + 1 < kParts)
      text.remove_prefix(dot + 1);
  }
  return true;
}

}  // namespace

std::string WriteTicket(const ticket& from, std::string_view key) {
  const std::string text = SignedPart(from);
  return text + "." + MacText(key, text);
}

tl::expected<ticket, ticket_error> ReadTicket(std::string_view text,
                                              std::string_view key) {
  std::array<std::string_view, kParts> parts;
  if (text.size() > kMaxTicketBytes || !SplitParts(text, parts) ||
      parts[0] != kFormat)
    return tl::unexpected(ticket_error::kMalformed);
  const std::string_view mac = parts[kParts - 1];
  const std::string_view signed_part =
      text.substr(0, text.size() - mac.size() - 1);
  if (!SameText(mac, MacText(key, signed_part)))
    return tl::unexpected(ticket_error::kForged);
  ticket out;
  out.owner = std::string(parts[1]);
  out.id.minter = std::string(parts[3]);
  if (!ParseNumber(parts[2], 16, out.owner_incarnation) ||
      !ParseNumber(parts[4], 16, out.id.minter_incarnation) ||
      !ParseNumber(parts[5], 10, out.id.sequence) ||
      !ParseNumber(parts[6], 16, out.account_hash) ||
      !ParseNumber(parts[7], 10, out.expires))
    return tl::unexpected(ticket_error::kMalformed);
  return out;
}

tl::expected<void, ticket_error> CheckTicket(const ticket& checked,
                                             std::string_view account,
                                             unix_ms now) {
  if (checked.account_hash != Hash64(account))
    return tl::unexpected(ticket_error::kOtherAccount);
  if (checked.expires > now + kTicketLifetime.count() + kClockSlackMs)
    return tl::unexpected(ticket_error::kTooLongLived);
  return {};
}

std::string_view NameOf(ticket_error error) {
  switch (error) {
    case ticket_error::kMalformed:
      return "ticket_malformed";
    case ticket_error::kForged:
      return "ticket_forged";
    case ticket_error::kOtherAccount:
      return "ticket_of_other_account";
    case ticket_error::kTooLongLived:
      return "ticket_too_long_lived";
  }
  return "ticket_invalid";
}

std::string ToText(const ticket_id& id) {
  return id.minter + "-" + ToHex(id.minter_incarnation) + "-" +
         std::to_string(id.sequence);
}

}  // namespace waxwing
