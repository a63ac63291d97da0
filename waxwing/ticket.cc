#include "waxwing/ticket.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "waxwing/hash.h"

namespace waxwing {
namespace {

constexpr std::string_view kFormatVersion = "w1";
constexpr std::size_t kFieldCount = 9;
constexpr std::size_t kMaxTicketBytes = 512;
// Largest allowed difference between the wall clocks of two VMs.
constexpr std::int64_t kMaxClockSkewMs = 5'000;

std::string SignedFields(const ticket& issued) {
  std::string out(kFormatVersion);
  out += "." + issued.owner + "." + ToHex(issued.owner_incarnation);
  out += "." + issued.id.minter + "." + ToHex(issued.id.minter_incarnation);
  out += "." + std::to_string(issued.id.sequence);
  out += "." + ToHex(issued.account_hash);
  out += "." + std::to_string(issued.expires);
  return out;
}

std::string MacHex(std::string_view key, std::string_view text) {
  std::string out;
  char hex[4];
  for (const std::uint8_t byte : ComputeMac(key, text)) {
    std::snprintf(hex, sizeof hex, "%02x", byte);
    out += hex;
  }
  return out;
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
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

// Splits the text at dots. Returns false if the number of fields is wrong.
bool SplitFields(std::string_view text,
                 std::array<std::string_view, kFieldCount>& fields) {
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    const std::size_t dot = text.find('.');
    if ((dot == std::string_view::npos) != (i + 1 == kFieldCount))
      return false;
    fields[i] = text.substr(0, dot);
    if (i + 1 < kFieldCount)
      text.remove_prefix(dot + 1);
  }
  return true;
}

}  // namespace

std::string WriteTicket(const ticket& issued, std::string_view key) {
  const std::string text = SignedFields(issued);
  return text + "." + MacHex(key, text);
}

tl::expected<ticket, ticket_error> ReadTicket(std::string_view text,
                                              std::string_view key) {
  std::array<std::string_view, kFieldCount> fields;
  if (text.size() > kMaxTicketBytes || !SplitFields(text, fields) ||
      fields[0] != kFormatVersion)
    return tl::unexpected(ticket_error::kMalformed);
  const std::string_view mac = fields[kFieldCount - 1];
  const std::string_view signed_text =
      text.substr(0, text.size() - mac.size() - 1);
  if (!ConstantTimeEquals(mac, MacHex(key, signed_text)))
    return tl::unexpected(ticket_error::kForged);
  ticket out;
  out.owner = std::string(fields[1]);
  out.id.minter = std::string(fields[3]);
  if (!ParseNumber(fields[2], 16, out.owner_incarnation) ||
      !ParseNumber(fields[4], 16, out.id.minter_incarnation) ||
      !ParseNumber(fields[5], 10, out.id.sequence) ||
      !ParseNumber(fields[6], 16, out.account_hash) ||
      !ParseNumber(fields[7], 10, out.expires))
    return tl::unexpected(ticket_error::kMalformed);
  return out;
}

tl::expected<void, ticket_error> CheckTicket(const ticket& checked,
                                             std::string_view account,
                                             unix_ms now) {
  if (checked.account_hash != Hash64(account))
    return tl::unexpected(ticket_error::kOtherAccount);
  if (checked.expires > now + kTicketLifetime.count() + kMaxClockSkewMs)
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
